"""The record of a request and its JSON encoding.

>>> record = RequestRecord("a-1", "warwick", "chat", entry="a1", arrival=1700000000.0)
>>> decode_record(encode_record(record)) == record
True
"""

import json
import time
from typing import NamedTuple

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.records.errors import RecordUnreadable
from bulrushdrum._internal.world.requests import Outcome

# Reason of a record that was open when its entry died.
ENTRY_LOST = "entry_lost"


class RequestRecord(NamedTuple):
    """A request and its outcome, which is empty while the request is open.

    `entry` is the incarnation that accepted the request. `arrival` is in seconds since
    the epoch. `wait`, the time queued because of `wait_cause`, is a duration in
    seconds; `first_token` and `end` are in seconds after the arrival. `by_partner`
    marks a record that the partner closed for a dead entry. `count` is greater than one
    if equal refusals were aggregated because the buffer was full.
    """

    request_id: str
    customer: str
    kind: str = ""
    outcome: str = ""
    reason: str = ""
    entry: str = ""
    arrival: float = 0.0
    wait: float = 0.0
    wait_cause: str = ""
    first_token: float = 0.0
    end: float = 0.0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    attempts: int = 0
    by_partner: bool = False
    count: int = 1

    @property
    def closed(self) -> bool:
        return self.outcome != ""

    @property
    def day(self) -> str:
        """The day of arrival in UTC, which is part of the object name."""
        return utc_day(self.arrival)


_FIELD_TYPES = {
    name: (int, float) if kind is float else kind
    for name, kind in RequestRecord.__annotations__.items()
}
_OUTCOMES = {"", *Outcome}
_OUTCOME_RANKS = {Outcome.ANSWERED: 3, Outcome.NOT_RUN: 2, Outcome.UNKNOWN: 1, "": 0}


def utc_day(seconds: float) -> str:
    """Return the UTC day, for example `"2026-12-04"`, of a time since the epoch."""
    return time.strftime("%Y-%m-%d", time.gmtime(seconds))


def encode_record(record: RequestRecord) -> str:
    """Encode a record as a JSON object on one line, without default values.

    The request id is stored as "id". Times are rounded to milliseconds.
    """
    values = {"id": record.request_id}
    for name, value in zip(RequestRecord._fields[1:], record[1:], strict=True):
        if value != RequestRecord._field_defaults.get(name):
            values[name] = round(value, 3) if isinstance(value, float) else value
    return json.dumps(values, separators=(",", ":"))


def decode_record(text: str | bytes) -> RequestRecord:
    """Decode a record; raises `RecordUnreadable` if it is invalid.

    Unknown fields, which a newer release may have added, are ignored.
    """
    try:
        values = json.loads(text)
    except DECODING_ERRORS as error:
        raise RecordUnreadable(f"{text!r} is not JSON: {error}") from error
    if not isinstance(values, dict) or not {"id", "customer"} <= values.keys():
        raise RecordUnreadable(f"{text!r} is not an object with id and customer")
    values["request_id"] = values.pop("id")
    values = {name: values[name] for name in _FIELD_TYPES if name in values}
    for name, value in values.items():
        kind = _FIELD_TYPES[name]
        if not isinstance(value, kind) or (
            isinstance(value, bool) and kind is not bool
        ):
            raise RecordUnreadable(f"{name}: {value!r} has the wrong type")
    record = RequestRecord(**values)
    if record.outcome not in _OUTCOMES:
        raise RecordUnreadable(f"outcome: {record.outcome!r} is not an outcome")
    return record


def close_for_dead_entry(record: RequestRecord) -> RequestRecord:
    """Close a record, with unknown outcome, that was open when its entry died."""
    return record._replace(
        outcome=Outcome.UNKNOWN.value, reason=ENTRY_LOST, by_partner=True
    )


def preferred(first: RequestRecord, second: RequestRecord) -> RequestRecord:
    """Return the more reliable of two records of the same request.

    A known outcome takes precedence over an unknown one, then a record written by the
    entry over one written by its partner. Remaining ties are broken by comparing all
    fields, so that the result does not depend on the order of reading.
    """
    return max(
        first,
        second,
        key=lambda record: (
            _OUTCOME_RANKS[record.outcome],
            not record.by_partner,
            record,
        ),
    )
