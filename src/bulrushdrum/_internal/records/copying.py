"""Copying of records to the partner entry."""

from collections import deque
from collections.abc import Callable, Iterable

from gevent.event import Event as Signal

from bulrushdrum._internal.peering.shared_state_messages import RecordCopies
from bulrushdrum._internal.records.flushing import Flusher, PendingObject
from bulrushdrum._internal.records.record import (
    RequestRecord,
    decode_record,
    encode_record,
)

# Keeps each frame well below the 16 MB limit.
_MAX_RECORDS_PER_BATCH = 2_000
# Bounds the memory for frames when all records are copied again after a long outage.
_MAX_UNACKNOWLEDGED_BATCHES = 4


class CopyQueue:
    """Queue of records to copy to one partner, in batches that it acknowledges.

    `wake` is set whenever a record is queued or a batch is acknowledged.
    """

    def __init__(self, flusher: Flusher, wake: Signal):
        self._flusher = flusher
        self._wake = wake
        self._unsent: dict[str, str] = {}
        # Objects to copy to a new partner; decompressed only when they are sent.
        self._backlog: deque[PendingObject] = deque()
        self._full_copy_pending = False
        self._full_copy_in_progress = False
        self._last_batch = 0
        self._in_flight: dict[int, tuple[str, ...]] = {}
        self._latest_batch: dict[str, int] = {}
        self._waiters: dict[str, Signal] = {}

    @property
    def unacknowledged_batch_count(self) -> int:
        """Number of batches that were sent and are not acknowledged."""
        return len(self._in_flight)

    @property
    def complete(self) -> bool:
        """Whether all records are sent and acknowledged."""
        return not (self._has_unsent or self._in_flight)

    @property
    def _has_unsent(self):
        return bool(self._full_copy_pending or self._backlog or self._unsent)

    def is_copied(self, request_id: str) -> bool:
        """Whether the partner has acknowledged the latest state of a record."""
        return (
            not self._backlog
            and request_id not in self._unsent
            and request_id not in self._latest_batch
        )

    def add(self, record: RequestRecord):
        """Queue a record; it replaces an unsent earlier state."""
        self._unsent[record.request_id] = encode_record(record)
        self._wake.set()

    def start_full_copy(self, records: Iterable[RequestRecord]):
        """Queue `records` and all pending objects for a new partner."""
        self.clear()
        self._full_copy_pending = True
        self._backlog.extend(self._flusher.pending)
        for record in records:
            self.add(record)
        self._wake.set()

    def clear(self):
        """Drop all queued and unacknowledged records, because there is no partner."""
        self._full_copy_pending = self._full_copy_in_progress = False
        self._unsent.clear()
        self._backlog.clear()
        self._in_flight.clear()
        self._latest_batch.clear()

    def wait(self, request_id: str, timeout_seconds: float) -> bool:
        """Wait until the partner acknowledges the latest state of a record.

        Returns false after `timeout_seconds`.
        """
        signal = self._waiters[request_id] = Signal()
        try:
            return bool(signal.wait(timeout_seconds))
        finally:
            self._waiters.pop(request_id, None)

    def send(self, send: Callable[[RecordCopies], bool]):
        """Send queued records in as few frames as possible.

        `send` returns whether it succeeded. At most `_MAX_UNACKNOWLEDGED_BATCHES`
        batches are unacknowledged at a time. Sending stops at the first failure; the
        replicator calls `start_full_copy` when it handles the lost connection.
        """
        while self._has_unsent and len(self._in_flight) < _MAX_UNACKNOWLEDGED_BATCHES:
            copies = self._next_batch()
            self._last_batch += 1
            self._in_flight[self._last_batch] = tuple(copies)
            self._latest_batch.update(dict.fromkeys(copies, self._last_batch))
            restart, self._full_copy_pending = self._full_copy_pending, False
            self._full_copy_in_progress = self._full_copy_in_progress or restart
            complete = self._full_copy_in_progress and not self._has_unsent
            self._full_copy_in_progress = self._full_copy_in_progress and not complete
            texts = tuple(copies.values())
            if not send(RecordCopies(self._last_batch, texts, restart, complete)):
                return

    def acknowledge(self, batch: int):
        """Process the partner's acknowledgement of a batch."""
        for request_id in self._in_flight.pop(batch, ()):
            # Acknowledging the open record does not confirm the closed one.
            if self._latest_batch.get(request_id) != batch:
                continue
            del self._latest_batch[request_id]
            if request_id not in self._unsent:
                self._notify_waiter(request_id)
        self._wake.set()

    def drop_flushed(self, ids: Iterable[str]):
        """Remove records from the queue that are now in the object store.

        The partner would never drop a copy that arrives after `RecordsFlushed`.
        """
        for request_id in ids:
            if self._unsent.pop(request_id, None):
                self._notify_waiter(request_id)

    def _notify_waiter(self, request_id):
        if request_id in self._waiters:
            self._waiters[request_id].set()

    def _next_batch(self):
        """Dequeue the records of the next batch, encoded and by request id."""
        while self._backlog:
            pending = self._backlog.popleft()
            # Objects written in the meantime were announced with `RecordsFlushed`.
            if self._flusher.is_pending(pending):
                lines = pending.lines().decode().splitlines()
                return {decode_record(line).request_id: line for line in lines}
        ids = tuple(self._unsent)[:_MAX_RECORDS_PER_BATCH]
        return {request_id: self._unsent.pop(request_id) for request_id in ids}
