"""The one record of a request.

>>> record = RequestRecord("a-1", "warwick", "chat", entry="a1", arrival=1700000000.0)
>>> decode_record(encode_record(record)) == record
True
"""

import json
import time
from typing import NamedTuple

from bulrushdrum._internal.records.errors import RecordUnreadable
from bulrushdrum._internal.world.requests import Outcome

# Reason of a record whose entry died before it could close it.
ENTRY_LOST = "entry_lost"


class RequestRecord(NamedTuple):
    """A request and how it ended. `outcome` is empty while the request is open.

    `entry` is the incarnation that accepted it. `arrival` is in seconds since the
    epoch; `wait` (in a queue, for `wait_cause`), `first_token` and `end` are in seconds
    after the arrival. `by_partner` marks a record that the partner closed for a dead
    entry. `count` is more than one for refusals that were alike while there was no room
    for a record of each.
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
        """The day of arrival in UTC, under which the record is filed."""
        return day_of(self.arrival)


_TYPES = {
    name: (int, float) if kind is float else kind
    for name, kind in RequestRecord.__annotations__.items()
}
_OUTCOMES = {"", *Outcome}
_RANKS = {Outcome.ANSWERED: 3, Outcome.NOT_RUN: 2, Outcome.UNKNOWN: 1, "": 0}


def day_of(seconds: float) -> str:
    """Return the UTC day, for example `"2026-12-04"`, of a time since the epoch."""
    return time.strftime("%Y-%m-%d", time.gmtime(seconds))


def encode_record(record: RequestRecord) -> str:
    """Return the record as one line of JSON, an object without the default values.

    The request's id is under "id". Times are kept to the millisecond.
    """
    values = {"id": record.request_id}
    for name, value in zip(RequestRecord._fields[1:], record[1:], strict=True):
        if value != RequestRecord._field_defaults.get(name):
            values[name] = round(value, 3) if isinstance(value, float) else value
    return json.dumps(values, separators=(",", ":"))


def decode_record(text: str | bytes) -> RequestRecord:
    """Return the record in `text`; raises `RecordUnreadable`.

    Fields that a newer release has added are left out.
    """
    try:
        values = json.loads(text)
    except ValueError as error:
        raise RecordUnreadable(f"{text!r} is not JSON: {error}") from error
    if not isinstance(values, dict) or not {"id", "customer"} <= values.keys():
        raise RecordUnreadable(f"{text!r} is not an object with id and customer")
    values["request_id"] = values.pop("id")
    values = {name: values[name] for name in _TYPES if name in values}
    for name, value in values.items():
        kind = _TYPES[name]
        if not isinstance(value, kind) or (
            isinstance(value, bool) and kind is not bool
        ):
            raise RecordUnreadable(f"{name}: {value!r} has the wrong type")
    record = RequestRecord(**values)
    if record.outcome not in _OUTCOMES:
        raise RecordUnreadable(f"outcome: {record.outcome!r} is not an outcome")
    return record


def close_for_dead_entry(record: RequestRecord) -> RequestRecord:
    """Return what a partner knows of a request that was open when its entry died."""
    return record._replace(
        outcome=Outcome.UNKNOWN.value, reason=ENTRY_LOST, by_partner=True
    )


def preferred(one: RequestRecord, other: RequestRecord) -> RequestRecord:
    """Return the truer of two records of the same request.

    A known outcome goes before an unknown one, and what the entry wrote itself before
    what its partner wrote. The rest of the order makes the choice independent of the
    order in which the records are read.
    """
    return max(
        one,
        other,
        key=lambda record: (_RANKS[record.outcome], not record.by_partner, record),
    )
