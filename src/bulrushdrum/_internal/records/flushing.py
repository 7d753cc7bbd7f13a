"""Writing of closed records to the object store.

The name and content of an object are fixed before the first write attempt, so writes
are idempotent: a write with an unknown outcome is retried, and an object that already
exists has the same content.
"""

import zlib
from collections import deque
from typing import NamedTuple

from gevent.lock import BoundedSemaphore

from bulrushdrum._internal.platform.errors import StoreUnavailable, WriteOutcomeUnknown
from bulrushdrum._internal.records.record import RequestRecord, encode_record

# Limits an object, and the frame that copies it, to about 300 KB.
MAX_RECORDS_PER_OBJECT = 2_000
# Level 1 takes a fifth of the default level's time and produces 10% more bytes.
_COMPRESSION_LEVEL = 1


class PendingObject(NamedTuple):
    """An object to write; `content` is compressed to save memory in a long outage."""

    name: str
    content: bytes
    record_count: int

    def lines(self) -> bytes:
        """Return the uncompressed content, one encoded record per line."""
        return zlib.decompress(self.content)


class Flusher:
    """Queue of objects of one entry incarnation until they are known to be written."""

    def __init__(self, objects, incarnation: str):
        self._objects = objects
        self._incarnation = incarnation
        self._sequence = 0
        self._pending: deque[PendingObject] = deque()
        # A stop and a report flush beside the regular flush. Without the lock, all of
        # them write the same object, and each removes one from the queue.
        self._write_lock = BoundedSemaphore(1)

    @property
    def record_count(self) -> int:
        """Number of records in pending objects."""
        return sum(pending.record_count for pending in self._pending)

    @property
    def byte_count(self) -> int:
        """Compressed size of the pending objects in bytes."""
        return sum(len(pending.content) for pending in self._pending)

    @property
    def pending(self) -> tuple[PendingObject, ...]:
        return tuple(self._pending)

    def is_pending(self, pending: PendingObject) -> bool:
        return any(pending is other for other in self._pending)

    def add(self, records: list[RequestRecord]):
        """Queue objects for `records`.

        Each holds records of one day, at most `MAX_RECORDS_PER_OBJECT`.
        """
        by_day = {}
        for record in records:
            by_day.setdefault(record.day, []).append(record)
        for day in sorted(by_day):
            day_records = by_day[day]
            for start in range(0, len(day_records), MAX_RECORDS_PER_OBJECT):
                self._add_object(
                    day, day_records[start : start + MAX_RECORDS_PER_OBJECT]
                )

    def _add_object(self, day, records):
        self._sequence += 1
        name = f"records/{day}/{self._incarnation}/{self._sequence:08d}.jsonl"
        lines = "".join(encode_record(record) + "\n" for record in records)
        content = zlib.compress(lines.encode(), _COMPRESSION_LEVEL)
        self._pending.append(PendingObject(name, content, len(records)))

    def write_next(self) -> PendingObject | None:
        """Write the oldest object and return it, or `None` if nothing is pending.

        Raises `StoreUnavailable` if the write failed or its outcome is unknown. The
        object then stays first in the queue.
        """
        with self._write_lock:
            if not self._pending:
                return None
            pending = self._pending[0]
            try:
                # False means that an earlier attempt succeeded, because
                # the name contains this incarnation.
                self._objects.put_if_absent(pending.name, pending.lines())
            except WriteOutcomeUnknown as error:
                raise StoreUnavailable(str(error)) from error
            self._pending.popleft()
            return pending
