"""The copies of records that are on their way to the partner entry."""

from collections import deque
from collections.abc import Callable, Iterable

from gevent.event import Event as Signal

from bulrushdrum._internal.peering.messages import RecordCopies
from bulrushdrum._internal.records.flushing import Flusher, PendingObject
from bulrushdrum._internal.records.record import (
    RequestRecord,
    decode_record,
    encode_record,
)

# Keeps one frame well under the limit of 16 MB.
_MAX_BATCH = 2_000
# Bounds the memory for frames when all records of a long outage are copied again.
_MAX_UNACKNOWLEDGED = 4


class Copies:
    """Records to be copied to one partner, in batches that it acknowledges.

    `wake` is set when there is something to send.
    """

    def __init__(self, flusher: Flusher, wake: Signal):
        self._flusher = flusher
        self._wake = wake
        self._unsent: dict[str, str] = {}
        # Objects to copy to a new partner, kept compressed until they are sent.
        self._backlog: deque[PendingObject] = deque()
        self._restart = False
        self._restarting = False
        self._batch = 0
        self._in_flight: dict[int, tuple[str, ...]] = {}
        self._latest_batch: dict[str, int] = {}
        self._waiting: dict[str, Signal] = {}

    @property
    def unacknowledged(self) -> int:
        """Batches that are on their way."""
        return len(self._in_flight)

    @property
    def complete(self) -> bool:
        """Whether the partner has acknowledged everything."""
        return not (self._to_send or self._in_flight)

    @property
    def _to_send(self):
        return bool(self._restart or self._backlog or self._unsent)

    def is_copied(self, request_id: str) -> bool:
        """Whether the partner has acknowledged the newest state of a record."""
        return (
            not self._backlog
            and request_id not in self._unsent
            and request_id not in self._latest_batch
        )

    def add(self, record: RequestRecord):
        self._unsent[record.request_id] = encode_record(record)
        self._wake.set()

    def start_over(self, records: Iterable[RequestRecord]):
        """Copy `records` and all objects that are not written to a new partner."""
        self.clear()
        self._restart = True
        self._backlog.extend(self._flusher.pending)
        for record in records:
            self.add(record)
        self._wake.set()

    def clear(self):
        """Forget everything: there is no partner."""
        self._restart = self._restarting = False
        self._unsent.clear()
        self._backlog.clear()
        self._in_flight.clear()
        self._latest_batch.clear()

    def wait(self, request_id: str, timeout_seconds: float) -> bool:
        """Wait until the partner holds the newest state of a record."""
        signal = self._waiting[request_id] = Signal()
        try:
            return bool(signal.wait(timeout_seconds))
        finally:
            self._waiting.pop(request_id, None)

    def send(self, send: Callable[[RecordCopies], bool]):
        """Send what waits, in as few frames as possible; `send` returns success.

        No more than `_MAX_UNACKNOWLEDGED` frames are on the way at a time. After a
        failure nothing more is sent: the loss of the connection leads to `start_over`.
        """
        while self._to_send and len(self._in_flight) < _MAX_UNACKNOWLEDGED:
            copies = self._next_copies()
            self._batch += 1
            self._in_flight[self._batch] = tuple(copies)
            self._latest_batch.update(dict.fromkeys(copies, self._batch))
            restart, self._restart = self._restart, False
            self._restarting = self._restarting or restart
            complete = self._restarting and not self._to_send
            self._restarting = self._restarting and not complete
            texts = tuple(copies.values())
            if not send(RecordCopies(self._batch, texts, restart, complete)):
                return

    def acknowledge(self, batch: int):
        for request_id in self._in_flight.pop(batch, ()):
            # A batch with the open record does not confirm the closed one.
            if self._latest_batch.get(request_id) != batch:
                continue
            del self._latest_batch[request_id]
            if request_id not in self._unsent:
                self._confirm(request_id)
        self._wake.set()

    def drop_flushed(self, ids: Iterable[str]):
        """Do not copy records that are in the object store.

        A copy sent after the notice would stay with the partner.
        """
        for request_id in ids:
            if self._unsent.pop(request_id, None):
                self._confirm(request_id)

    def _confirm(self, request_id):
        if request_id in self._waiting:
            self._waiting[request_id].set()

    def _next_copies(self):
        """Take the records for one frame, by id."""
        while self._backlog:
            pending = self._backlog.popleft()
            # The partner was told already to forget what has been written since.
            if self._flusher.is_pending(pending):
                lines = pending.lines().decode().splitlines()
                return {decode_record(line).request_id: line for line in lines}
        ids = tuple(self._unsent)[:_MAX_BATCH]
        return {request_id: self._unsent.pop(request_id) for request_id in ids}
