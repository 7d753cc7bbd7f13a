"""Writing closed records to the object store.

An object's name and content are fixed before the first attempt to write it, so a write
whose answer is lost is simply repeated: the object then exists and is the same.
"""

import zlib
from collections import deque
from typing import NamedTuple

from bulrushdrum._internal.platform.errors import StoreUnavailable, WriteOutcomeUnknown
from bulrushdrum._internal.records.record import RequestRecord, encode_record

# Bounds the size of one object and of one frame to about 300 KB.
MAX_RECORDS_IN_OBJECT = 2_000
# Level 1 takes a fifth of the time of the default level for a tenth more bytes.
_COMPRESSION_LEVEL = 1


class PendingObject(NamedTuple):
    """An object to be written; `content` is compressed to survive a long outage."""

    name: str
    content: bytes
    records: int

    def lines(self) -> bytes:
        return zlib.decompress(self.content)


class Flusher:
    """The objects of one entry incarnation that are not known to be written."""

    def __init__(self, objects, incarnation: str):
        self._objects = objects
        self._incarnation = incarnation
        self._sequence = 0
        self._pending: deque[PendingObject] = deque()

    @property
    def records(self) -> int:
        """Records in objects that are not known to be written."""
        return sum(pending.records for pending in self._pending)

    @property
    def bytes(self) -> int:
        return sum(len(pending.content) for pending in self._pending)

    @property
    def pending(self) -> tuple[PendingObject, ...]:
        return tuple(self._pending)

    def is_pending(self, pending: PendingObject) -> bool:
        return any(pending is other for other in self._pending)

    def add(self, records: list[RequestRecord]):
        """Fix the objects for `records`, one for each day and each so many records."""
        by_day = {}
        for record in records:
            by_day.setdefault(record.day, []).append(record)
        for day in sorted(by_day):
            of_day = by_day[day]
            for start in range(0, len(of_day), MAX_RECORDS_IN_OBJECT):
                self._add_object(day, of_day[start : start + MAX_RECORDS_IN_OBJECT])

    def _add_object(self, day, records):
        self._sequence += 1
        name = f"records/{day}/{self._incarnation}/{self._sequence:08d}.jsonl"
        lines = "".join(encode_record(record) + "\n" for record in records)
        content = zlib.compress(lines.encode(), _COMPRESSION_LEVEL)
        self._pending.append(PendingObject(name, content, len(records)))

    def write_next(self) -> PendingObject | None:
        """Write the oldest object and return it; `None` when there is none.

        Raises `StoreUnavailable` when it is not known to be written; it then stays the
        oldest.
        """
        if not self._pending:
            return None
        pending = self._pending[0]
        try:
            # False means that an earlier attempt has written it: the name is ours.
            self._objects.put_if_absent(pending.name, pending.lines())
        except WriteOutcomeUnknown as error:
            raise StoreUnavailable(str(error)) from error
        self._pending.popleft()
        return pending
