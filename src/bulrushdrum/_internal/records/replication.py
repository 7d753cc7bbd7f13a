"""Keeping the records of requests until they are in the object store.

Each record is copied to a partner entry when its request is accepted and again when it
is closed. If this entry is lost, the partner takes over what was not flushed.
"""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.messages import (
    EntryMember,
    RecordCopies,
    RecordsAck,
    RecordsFlushed,
)
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.records.copying import Copies
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
    """The records of one entry, and those that it holds as a partner.

    `is_known_dead(member)` says whether an `EntryMember` is known dead.
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
        self._refused_alike: dict[tuple[str, str, str], RequestRecord] = {}
        self._partner = ""
        self._former_partners: set[str] = set()
        self._wake = Signal()
        self._copies = Copies(self._flusher, self._wake)
        self._held: dict[str, HeldRecords] = {}
        self._greenlets = []
        self._store_up = True
        self._full = False
        hub.register(RecordCopies, self._on_copies)
        hub.register(RecordsAck, self._on_ack)
        hub.register(RecordsFlushed, self._on_flushed)
        hub.on_connected(self._on_connected)
        hub.on_lost(self._on_lost)

    @property
    def unflushed(self) -> int:
        """Records of this entry that are not known to be in the object store."""
        return len(self._open) + len(self._closed) + self._flusher.records

    @property
    def partner(self) -> str:
        """The incarnation that records are copied to; empty if there is none."""
        return self._partner

    def has_room(self) -> bool:
        """Whether one more request can be accepted and its record kept."""
        return self.unflushed < self._settings.max_unflushed

    def start(self):
        """Send copies and flush in greenlets."""
        self._greenlets = [gevent.spawn(self._run_copies), gevent.spawn(self._run)]

    def stop(self):
        gevent.killall(self._greenlets)

    def open(self, record: RequestRecord):
        """Keep the record of an accepted request.

        Raises `RecordBufferFull`; the request must then be refused.
        """
        if not self.has_room():
            self._note_full(True)
            raise RecordBufferFull(
                f"{self.unflushed} records wait for the object store, the limit is "
                f"{self._settings.max_unflushed}"
            )
        self._open[record.request_id] = record
        self._copy(record)

    def close(self, record: RequestRecord) -> bool:
        """Keep the closed record; return whether the partner holds it.

        Waits up to `close_wait` for the partner. A refused request need not
        have been opened. While there is no room, refusals of one customer
        with the same kind and reason share a record with a count.
        """
        if not record.closed:
            raise ValueError(f"record {record.request_id!r} has no outcome")
        was_open = self._open.pop(record.request_id, None) is not None
        if not was_open and not self.has_room():
            self._count_refusal(record)
            return False
        self._closed[record.request_id] = record
        self._copy(record)
        if not self._partner:
            return False
        return self._copies.wait(record.request_id, self._settings.close_wait)

    def is_copied(self, request_id: str) -> bool:
        """Whether the partner has acknowledged the newest state of a record."""
        return self._partner != "" and self._copies.is_copied(request_id)

    def drain(self) -> int:
        """Flush what is possible; return how many records are left to the partner.

        Also takes over for entries that are not connected: if they live, what they
        write themselves goes before.
        """
        connected = {peer.peer.incarnation for peer in self._hub.connections("entry")}
        for origin in [*self._held]:
            if origin not in connected:
                self._take_over(origin)
        self._keep_refusals()
        self.flush()
        self.send_copies()
        return self.unflushed

    def dump(self) -> dict:
        return {
            "open": len(self._open),
            "closed": len(self._closed),
            "pending_in_objects": self._flusher.records,
            "pending_bytes": self._flusher.bytes,
            "partner": self._partner,
            "unacknowledged_batches": self._copies.unacknowledged,
            "held": {origin: len(held) for origin, held in self._held.items()},
        }

    def flush(self) -> int:
        """Write all closed records; return how many are now in the object store."""
        if self.has_room():
            self._keep_refusals()
        self._flusher.add([*self._closed.values()])
        self._closed.clear()
        written = 0
        try:
            while (pending := self._flusher.write_next()) is not None:
                written += pending.records
                self._notify_flushed(pending)
        except StoreUnavailable as error:
            if self._store_up:
                log_event(Event.STORE_UNAVAILABLE, service="objects", error=str(error))
            self._store_up = False
            return written
        if not self._store_up:
            self._store_up = True
            log_event(Event.STORE_AVAILABLE, service="objects")
        if written:
            log_event(Event.RECORDS_FLUSHED, records=written)
        self._note_full(not self.has_room())
        return written

    def tick(self):
        """Take over the records of dead entries and let former partners drop theirs."""
        for origin, held in [*self._held.items()]:
            if self._is_known_dead(held.origin):
                self._take_over(origin)
        if not self._partner or not self._copies.complete:
            return
        for former in [*self._former_partners]:
            if self._send(former, RecordsFlushed((), True)):
                self._former_partners.discard(former)

    def send_copies(self):
        """Send all records that wait to be copied to the partner."""
        if self._partner:
            self._copies.send(lambda copies: self._send(self._partner, copies))

    def _run_copies(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            self.send_copies()

    def _run(self):
        flush_at = time.monotonic() + self._settings.flush_interval
        while True:
            gevent.sleep(min(1.0, self._settings.flush_interval))
            try:
                self.tick()
                if time.monotonic() >= flush_at:
                    flush_at = time.monotonic() + self._settings.flush_interval
                    self.flush()
            except Exception as error:  # the loop must outlive any fault of one round
                log_event(Event.INTERNAL_ERROR, error=repr(error))

    def _copy(self, record):
        if self._partner:
            self._copies.add(record)

    def _note_full(self, full):
        if full and not self._full:
            log_event(Event.RECORDS_FULL, records=self.unflushed)
        self._full = full

    def _keep_refusals(self):
        for record in self._refused_alike.values():
            self._closed[record.request_id] = record
        self._refused_alike.clear()

    def _count_refusal(self, record):
        key = (record.customer, record.kind, record.reason)
        first = self._refused_alike.get(key)
        if first is not None:
            record = first._replace(count=first.count + record.count)
        self._refused_alike[key] = record
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
        self._copies.drop_flushed(ids)
        for holder in {self._partner, *self._former_partners} - {""}:
            self._send(holder, RecordsFlushed(ids))

    def _take_over(self, origin):
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

    def _choose_partner(self):
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
        self._copy_everything()

    def _copy_everything(self):
        if not self._partner:
            self._copies.clear()
            return
        self._copies.start_over(
            [
                *self._closed.values(),
                *self._open.values(),
                *self._refused_alike.values(),
            ]
        )

    def _on_connected(self, connection):
        peer = connection.peer
        if peer.kind != "entry":
            return
        if peer.incarnation == self._partner:
            # A connection that replaced another may have lost what was on the way.
            self._copy_everything()
        else:
            self._choose_partner()

    def _on_lost(self, connection):
        if connection.peer.incarnation == self._partner:
            self._choose_partner()

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
            # Without an acknowledgement the sender knows that they are not held.
            log_event(Event.RECORDS_UNREADABLE, peer=peer.node, error=str(error))
            return
        if message.restart:
            held.begin_copy()
        for record, text in records:
            held.add(record, text)
        if message.complete:
            held.end_copy()
        connection.send(RecordsAck(message.batch))

    def _on_ack(self, connection, message):
        if connection.peer.incarnation != self._partner:
            return
        self._copies.acknowledge(message.batch)

    def _on_flushed(self, connection, message):
        held = self._held.get(connection.peer.incarnation)
        if held is None:
            return
        if message.all:
            del self._held[connection.peer.incarnation]
        else:
            held.drop(message.ids)
