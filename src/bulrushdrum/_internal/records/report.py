"""Usage report of a customer, for finance and for operations.

Both parts are computed from the same records. Each request is counted once, even if
several copies of its record were written by the entry and its partner:

>>> records = [RequestRecord("r1", "warwick", outcome="answered", answer_tokens=7)]
>>> summarise(records * 2, "warwick", 0.0, 1.0).delivered
Delivered(requests=1, prompt_tokens=0, answer_tokens=7)
"""

import csv
import io
import json
from collections.abc import Iterable
from typing import NamedTuple

from bulrushdrum._internal.records.errors import RecordUnreadable
from bulrushdrum._internal.records.record import (
    RequestRecord,
    decode_record,
    preferred,
    utc_day,
)
from bulrushdrum._internal.world.requests import Outcome

_SECONDS_PER_DAY = 86_400


class Delivered(NamedTuple):
    """Totals over completely answered requests."""

    requests: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0


class Delay(NamedTuple):
    """Number of requests delayed by one cause, total and longest delay in seconds."""

    requests: int = 0
    seconds: float = 0.0
    longest: float = 0.0


class Report(NamedTuple):
    """Requests of `customer` that arrived in the interval [`start`, `end`).

    `refused` and `unknown` count requests by reason. Each request is counted in exactly
    one of `delivered`, `refused` and `unknown`. `delayed` is by cause and covers
    requests with any outcome.
    """

    customer: str
    start: float
    end: float
    delivered: Delivered
    refused: dict[str, int]
    unknown: dict[str, int]
    delayed: dict[str, Delay]

    @property
    def requests(self) -> int:
        refused, unknown = self.refused.values(), self.unknown.values()
        return self.delivered.requests + sum(refused) + sum(unknown)

    def to_json(self) -> dict:
        """Return the report as a JSON object with a part for each audience."""
        return {
            "customer": self.customer,
            "from": self.start,
            "to": self.end,
            "requests": self.requests,
            "finance": {"delivered": self.delivered._asdict()},
            "operations": {
                "refused": self.refused,
                "outcome_unknown": self.unknown,
                "delayed": {
                    cause: delay._asdict() for cause, delay in self.delayed.items()
                },
            },
        }


def report_of_json(raw: dict) -> Report:
    """Return the report from the output of `Report.to_json`.

    Raises `KeyError` or `TypeError` if a field is missing.
    """
    operations = raw["operations"]
    return Report(
        raw["customer"],
        raw["from"],
        raw["to"],
        Delivered(**raw["finance"]["delivered"]),
        operations["refused"],
        operations["outcome_unknown"],
        {cause: Delay(**delay) for cause, delay in operations["delayed"].items()},
    )


def build_report(objects, customer: str, start: float, end: float) -> Report:
    """Return the report for requests that arrived in the interval [`start`, `end`).

    Raises `StoreUnavailable`. A corrupt object raises `RecordUnreadable`, because a
    report without its records would be wrong.
    """
    return summarise(read_records(objects, customer, start, end), customer, start, end)


def read_records(objects, customer, start, end) -> Iterable[RequestRecord]:
    """Yield the records of one customer in the object store, including duplicates.

    Reads all objects of the days in the interval, one at a time.
    """
    day = start // _SECONDS_PER_DAY * _SECONDS_PER_DAY
    while day < end:
        for name in objects.names(f"records/{utc_day(day)}/", ""):
            yield from _parse_object(name, objects.get(name), customer)
        day += _SECONDS_PER_DAY


def _parse_object(name, data, customer):
    # Most lines belong to other customers. A substring search skips them at a tenth of
    # the cost of decoding. Matches are decoded, because the name may occur in another
    # field.
    encoded_customer = json.dumps(customer).encode()
    for number, line in enumerate(data.splitlines(), start=1):
        if encoded_customer not in line:
            continue
        try:
            record = decode_record(line)
        except RecordUnreadable as error:
            raise RecordUnreadable(f"{name}, line {number}: {error}") from error
        if record.customer == customer:
            if not record.closed:
                raise RecordUnreadable(f"{name}, line {number}: the record is open")
            yield record


def merge_records(records: Iterable[RequestRecord]) -> list[RequestRecord]:
    """Return the preferred record of each request, sorted by request id."""
    merged: dict[str, RequestRecord] = {}
    for record in records:
        known = merged.get(record.request_id)
        merged[record.request_id] = preferred(known, record) if known else record
    return [merged[request_id] for request_id in sorted(merged)]


def summarise(records: Iterable[RequestRecord], customer, start, end) -> Report:
    """Return the report for the records of `customer` in [`start`, `end`)."""
    report = Report(customer, start, end, Delivered(), {}, {}, {})
    delivered = report.delivered
    for record in merge_records(r for r in records if r.customer == customer):
        if not start <= record.arrival < end:
            continue
        match record.outcome:
            case Outcome.ANSWERED:
                delivered = Delivered(
                    delivered.requests + record.count,
                    delivered.prompt_tokens + record.prompt_tokens,
                    delivered.answer_tokens + record.answer_tokens,
                )
            case Outcome.NOT_RUN:
                _increment_reason(report.refused, record)
            case _:
                _increment_reason(report.unknown, record)
        if record.wait_cause:
            delay = report.delayed.get(record.wait_cause, Delay())
            report.delayed[record.wait_cause] = Delay(
                delay.requests + record.count,
                round(delay.seconds + record.wait, 3),
                max(delay.longest, record.wait),
            )
    return report._replace(delivered=delivered)


def _increment_reason(counts, record):
    reason = record.reason or "unspecified"
    counts[reason] = counts.get(reason, 0) + record.count


def _report_rows(report):
    """Yield a (reading, measure, reason or cause, value) row for each figure."""
    yield "both", "requests", "", report.requests
    for name, value in report.delivered._asdict().items():
        yield "finance", f"delivered {name.replace('_', ' ')}", "", value
    for reason, count in sorted(report.refused.items()):
        yield "operations", "refused requests", reason, count
    for reason, count in sorted(report.unknown.items()):
        yield "operations", "requests with unknown outcome", reason, count
    for cause, delay in sorted(report.delayed.items()):
        yield "operations", "delayed requests", cause, delay.requests
        yield "operations", "delay, sum in seconds", cause, delay.seconds
        yield "operations", "delay, longest in seconds", cause, delay.longest


def render_json(report: Report) -> str:
    return json.dumps(report.to_json(), indent=2, sort_keys=True)


def render_csv(report: Report) -> str:
    """Return the report as CSV; each row includes the customer and the interval."""
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(["customer", "from", "to", "reading", "measure", "by", "value"])
    for row in _report_rows(report):
        writer.writerow([report.customer, report.start, report.end, *row])
    return text.getvalue()


def render_table(report: Report) -> str:
    """Return the report as a plain-text table with aligned columns."""
    header = ("reading", "measure", "by", "value")
    rows = [header, *(tuple(map(str, row)) for row in _report_rows(report))]
    widths = [max(len(row[column]) for row in rows) for column in range(3)]
    lines = [f"customer {report.customer}, {report.start} to {report.end}"]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=False)]
        lines.append("  ".join([*cells, row[3]]).rstrip())
    return "\n".join(lines) + "\n"
