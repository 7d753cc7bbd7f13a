"""Replication of request records until they are in the object store.

Each record is copied to a partner entry when its request is accepted and again when it
is closed. If this entry dies, the partner adopts the records that were not flushed.
"""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.shared_state_messages import (
    EntryMember,
    RecordCopies,
    RecordsAck,
    RecordsFlushed,
)
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.records.copying import CopyQueue
from bulrushdrum._internal.records.errors import RecordBufferFull, RecordUnreadable
from bulrushdrum._internal.records.flushing import Flusher
from bulrushdrum._internal.records.partners import HeldRecords, choose_partner
from bulrushdrum._internal.records.record import (
    RequestRecord,
    close_for_dead_entry,
    decode_record,
    preferred,
)
from bulrushdrum._internal.records.settings import RecordSettings


class RecordReplicator:
    """Buffers and replicates the records of one entry.

    Also holds the records of entries that have chosen this one as their partner.
    `is_known_dead(member)` returns whether an `EntryMember` is known dead.
    """

    def __init__(
        self,
        hub,
        objects,
        settings: RecordSettings,
        is_known_dead: Callable[[EntryMember], bool],
    ):
        self._hub = hub
        self._settings = settings
        self._is_known_dead = is_known_dead
        self._flusher = Flusher(objects, hub.local_identity.incarnation)
        self._open: dict[str, RequestRecord] = {}
        self._closed: dict[str, RequestRecord] = {}
        self._aggregated_refusals: dict[tuple[str, str, str], RequestRecord] = {}
        self._partner = ""
        self._former_partners: set[str] = set()
        self._wake = Signal()
        self._copy_queue = CopyQueue(self._flusher, self._wake)
        self._held: dict[str, HeldRecords] = {}
        self._greenlets = []
        self._store_available = True
        self._full = False
        hub.register(RecordCopies, self._on_copies)
        hub.register(RecordsAck, self._on_ack)
        hub.register(RecordsFlushed, self._on_flushed)
        hub.on_connected(self._on_connected)
        hub.on_lost(self._on_lost)

    @property
    def unflushed(self) -> int:
        """Number of records of this entry that are not known to be flushed."""
        return len(self._open) + len(self._closed) + self._flusher.record_count

    @property
    def partner(self) -> str:
        """Incarnation of the partner entry, empty if there is none."""
        return self._partner

    def has_room(self) -> bool:
        """Whether the buffer can hold the record of one more request."""
        return self.unflushed < self._settings.max_unflushed

    def start(self):
        """Start the greenlets that copy and flush records."""
        self._greenlets = [
            gevent.spawn(self._run_sender),
            gevent.spawn(self._run_flusher),
        ]

    def stop(self):
        gevent.killall(self._greenlets)

    def open(self, record: RequestRecord):
        """Buffer the record of an accepted request and copy it to the partner.

        Raises `RecordBufferFull` if the request must be refused.
        """
        if not self.has_room():
            self._update_full_state(True)
            raise RecordBufferFull(
                f"{self.unflushed} records wait for the object store, the limit is "
                f"{self._settings.max_unflushed}"
            )
        self._open[record.request_id] = record
        self._copy(record)

    def close(self, record: RequestRecord) -> bool:
        """Buffer a closed record; return whether the partner has acknowledged it.

        Waits up to `close_wait` for the acknowledgement. The record of a refused
        request need not have been opened. While the buffer is full, refusals with the
        same customer, kind and reason are aggregated into one record with a count.
        """
        if not record.closed:
            raise ValueError(f"record {record.request_id!r} has no outcome")
        was_open = self._open.pop(record.request_id, None) is not None
        if not was_open and not self.has_room():
            self._aggregate_refusal(record)
            return False
        self._closed[record.request_id] = record
        self._copy(record)
        if not self._partner:
            return False
        return self._copy_queue.wait(record.request_id, self._settings.close_wait)

    def is_copied(self, request_id: str) -> bool:
        """Whether the partner has acknowledged the latest state of a record."""
        return self._partner != "" and self._copy_queue.is_copied(request_id)

    def drain(self) -> int:
        """Flush as many records as possible; return the number left to the partner.

        Also adopts the records of disconnected entries. If such an entry is alive, the
        records that it writes itself take precedence.
        """
        connected = {peer.peer.incarnation for peer in self._hub.connections("entry")}
        for origin in [*self._held]:
            if origin not in connected:
                self._adopt_records(origin)
        self._close_aggregated_refusals()
        self.flush()
        self.send_copies()
        return self.unflushed

    def dump(self) -> dict:
        return {
            "open": len(self._open),
            "closed": len(self._closed),
            "pending_in_objects": self._flusher.record_count,
            "pending_bytes": self._flusher.byte_count,
            "partner": self._partner,
            "unacknowledged_batches": self._copy_queue.unacknowledged_batch_count,
            "held": {origin: len(held) for origin, held in self._held.items()},
        }

    def flush(self) -> int:
        """Write all closed records; return the number written to the object store."""
        if self.has_room():
            self._close_aggregated_refusals()
        self._flusher.add([*self._closed.values()])
        self._closed.clear()
        written = 0
        try:
            while (pending := self._flusher.write_next()) is not None:
                written += pending.record_count
                self._notify_flushed(pending)
        except StoreUnavailable as error:
            if self._store_available:
                log_event(Event.STORE_UNAVAILABLE, service="objects", error=str(error))
            self._store_available = False
            return written
        if not self._store_available:
            self._store_available = True
            log_event(Event.STORE_AVAILABLE, service="objects")
        if written:
            log_event(Event.RECORDS_FLUSHED, records=written)
        self._update_full_state(not self.has_room())
        return written

    def tick(self):
        """Adopt records of dead entries; let former partners drop their copies."""
        for origin, held in [*self._held.items()]:
            if self._is_known_dead(held.origin):
                self._adopt_records(origin)
        if not self._partner or not self._copy_queue.complete:
            return
        for former in [*self._former_partners]:
            if self._send(former, RecordsFlushed((), True)):
                self._former_partners.discard(former)

    def send_copies(self):
        """Send queued records to the partner."""
        if self._partner:
            self._copy_queue.send(lambda copies: self._send(self._partner, copies))

    def _run_sender(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            self.send_copies()

    def _run_flusher(self):
        flush_at = time.monotonic() + self._settings.flush_interval
        while True:
            gevent.sleep(min(1.0, self._settings.flush_interval))
            try:
                self.tick()
                if time.monotonic() >= flush_at:
                    flush_at = time.monotonic() + self._settings.flush_interval
                    self.flush()
            except Exception as error:  # one failure must not end the loop
                log_event(Event.INTERNAL_ERROR, error=repr(error))

    def _copy(self, record):
        if self._partner:
            self._copy_queue.add(record)

    def _update_full_state(self, full):
        if full and not self._full:
            log_event(Event.RECORDS_FULL, records=self.unflushed)
        self._full = full

    def _close_aggregated_refusals(self):
        for record in self._aggregated_refusals.values():
            self._closed[record.request_id] = record
        self._aggregated_refusals.clear()

    def _aggregate_refusal(self, record):
        key = (record.customer, record.kind, record.reason)
        first = self._aggregated_refusals.get(key)
        if first is not None:
            record = first._replace(count=first.count + record.count)
        self._aggregated_refusals[key] = record
        self._copy(record)

    def _send(self, incarnation, message):
        try:
            self._hub.send(incarnation, message)
        except ConnectionLost:
            return False
        return True

    def _notify_flushed(self, pending):
        ids = tuple(
            decode_record(line).request_id for line in pending.lines().splitlines()
        )
        self._copy_queue.drop_flushed(ids)
        for holder in {self._partner, *self._former_partners} - {""}:
            self._send(holder, RecordsFlushed(ids))

    def _adopt_records(self, origin):
        held = self._held.pop(origin)
        records = held.records()
        for record in records:
            if not record.closed:
                record = close_for_dead_entry(record)
            known = self._closed.get(record.request_id, record)
            self._closed[record.request_id] = preferred(known, record)
            self._copy(self._closed[record.request_id])
        log_event(
            Event.RECORDS_TAKEN_OVER, origin=held.origin.node, records=len(records)
        )

    def _update_partner(self):
        peers = [connection.peer for connection in self._hub.connections("entry")]
        local = self._hub.local_identity
        current = next((p for p in peers if p.incarnation == self._partner), None)
        chosen = choose_partner(local, peers)
        if current is not None and (
            current.data_centre != local.data_centre
            or chosen.data_centre == local.data_centre
        ):
            return
        if self._partner:
            self._former_partners.add(self._partner)
        self._partner = chosen.incarnation if chosen else ""
        if not self._partner:
            log_event(Event.RECORDS_WITHOUT_PARTNER)
        self._former_partners.discard(self._partner)
        self._start_full_copy()

    def _start_full_copy(self):
        if not self._partner:
            self._copy_queue.clear()
            return
        self._copy_queue.start_full_copy(
            [
                *self._closed.values(),
                *self._open.values(),
                *self._aggregated_refusals.values(),
            ]
        )

    def _on_connected(self, connection):
        peer = connection.peer
        if peer.kind != "entry":
            return
        if peer.incarnation == self._partner:
            # Messages in transit may have been lost with the previous connection.
            self._start_full_copy()
        else:
            self._update_partner()

    def _on_lost(self, connection):
        if connection.peer.incarnation == self._partner:
            self._update_partner()

    def _on_copies(self, connection, message):
        peer = connection.peer
        if peer.kind != "entry":
            return
        held = self._held.get(peer.incarnation)
        if held is None:
            origin = EntryMember(
                peer.node, peer.incarnation, peer.address, peer.data_centre
            )
            held = self._held[peer.incarnation] = HeldRecords(origin)
        try:
            records = [(decode_record(text), text) for text in message.records]
        except RecordUnreadable as error:
            # Sends no acknowledgement, so the sender does not rely on this copy.
            log_event(Event.RECORDS_UNREADABLE, peer=peer.node, error=str(error))
            return
        if message.restart:
            held.begin_full_copy()
        for record, text in records:
            held.add(record, text)
        if message.complete:
            held.complete_full_copy()
        connection.send(RecordsAck(message.batch))

    def _on_ack(self, connection, message):
        if connection.peer.incarnation != self._partner:
            return
        self._copy_queue.acknowledge(message.batch)

    def _on_flushed(self, connection, message):
        held = self._held.get(connection.peer.incarnation)
        if held is None:
            return
        if message.all:
            del self._held[connection.peer.incarnation]
        else:
            held.drop(message.ids)
