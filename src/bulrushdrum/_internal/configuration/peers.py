"""Exchange of configuration entries and snapshots with the other entries."""

import itertools
import random
import time

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.configuration.store import ConfigStore, unpack_row
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import (
    ConfigConfirm,
    ConfigEntries,
    ConfigEntry,
    ConfigQuery,
)

# Above every revision, so that the answer has the peer's head and no entries.
_HEAD_ONLY = 2**64 - 1
# While the table is down, each of 380 entries asks every 2 s. To ask all others would
# take 23 KB/s; heartbeats carry their revisions as well.
_CONFIRMING_PEERS = 3
# The sender pauses after each part, to keep serving requests and to leave the writer
# time to send it: a part takes about 4 ms and all contracts together 20 MB.
_SNAPSHOT_PART_ENTRIES = 200
_SNAPSHOT_PAUSE_SECONDS = 0.01
# One that is cut off may look connected for some seconds; a change must be in force
# within 10 s.
_FILLING_PEERS = 3


class _Query:
    """A question to one peer; `answer` is set to the last message of the answer."""

    def __init__(self):
        self.asked_at = time.monotonic()
        self.answer = AsyncResult()
        self.store: ConfigStore | None = None
        self.parts = 0


class ConfigPeers:
    """The other entries, as far as the configuration is concerned.

    Registers the handlers for the configuration messages with `hub`. What arrives is
    handed to `replica`.
    """

    def __init__(
        self, hub: PeerHub, replica, wait_seconds: float, source: random.Random
    ):
        self._hub = hub
        self._replica = replica
        self._wait_seconds = wait_seconds
        self._random = source
        self._revisions: dict[str, int] = {}
        self._queries: dict[int, _Query] = {}
        # Heads of pushes that are not yet in force here, by the entry to be told.
        self._unconfirmed: dict[str, int] = {}
        self._tokens = itertools.count(1)
        replica.subscribe(lambda entry: self._send_confirmations())
        hub.register(ConfigEntries, self._on_entries)
        hub.register(ConfigQuery, self._on_query)
        hub.register(ConfigConfirm, self._on_confirm)
        hub.on_lost(self._on_lost)

    @property
    def wait_seconds(self) -> float:
        return self._wait_seconds

    def note_revision(self, incarnation: str, revision: int):
        self._revisions[incarnation] = max(
            self._revisions.get(incarnation, 0), revision
        )

    def confirmed_by(self, revision: int) -> set[str]:
        return {
            connection.peer.node
            for connection in self._hub.connections("entry")
            if self._revisions.get(connection.peer.incarnation, -1) >= revision
        }

    def push(self, entry: ConfigEntry):
        """Send a new entry to all entries; each confirms it when it is in force."""
        message = ConfigEntries((entry,), head=self._replica.revision, last=True)
        self._hub.broadcast("entry", message)

    def ask_heads(self):
        """Ask all entries for their heads; return the connections and answers."""
        return self._ask_each(self._hub.connections("entry"), _HEAD_ONLY)

    def ask_some_heads(self):
        """Ask a few entries for their heads; an answer may confirm the revision."""
        connections = self._hub.connections("entry")
        few = min(_CONFIRMING_PEERS, len(connections))
        self._ask_each(self._random.sample(connections, few), _HEAD_ONLY)

    def load_highest(self) -> bool:
        """Load the highest snapshot among the reachable entries."""
        heads = [
            (message.head, connection)
            for connection, message in self.ask_heads()
            if message.ready
        ]
        for _, connection in sorted(heads, key=lambda pair: -pair[0]):
            answer = self._ask(connection, 0)
            if answer is not None and answer.ready:
                return self._replica.ready
        return False

    def fill(self, after: int) -> bool:
        """Ask the entries with the highest revisions for what follows `after`."""
        connections = [
            (self._revisions.get(connection.peer.incarnation, 0), connection)
            for connection in self._hub.connections("entry")
        ]
        newer = [pair for pair in connections if pair[0] > after]
        newer.sort(key=lambda pair: -pair[0])
        return any(
            self._ask(connection, after) is not None
            for _, connection in newer[:_FILLING_PEERS]
        )

    def _ask_each(self, connections, after):
        waiting = [
            (connection, gevent.spawn(self._ask, connection, after))
            for connection in connections
        ]
        gevent.joinall([greenlet for _, greenlet in waiting])
        return [
            (connection, greenlet.value)
            for connection, greenlet in waiting
            if greenlet.value is not None
        ]

    def _ask(self, connection, after):
        """Return the last message of the answer, or `None` if the peer falls silent."""
        token = next(self._tokens)
        query = self._queries[token] = _Query()
        try:
            connection.send(ConfigQuery(after, token))
            received = -1
            while query.parts > received:
                received = query.parts
                if query.answer.wait(timeout=self._wait_seconds) is not None:
                    return query.answer.value
            return None
        except ConnectionLost:
            return None
        finally:
            del self._queries[token]

    def _on_entries(self, connection: PeerConnection, message: ConfigEntries):
        incarnation = connection.peer.incarnation
        if not message.token:
            self.note_revision(incarnation, message.head)
            self._replica.offer(message.entries)
            self._replica.note_head(message.head)
            self._unconfirmed[incarnation] = message.head
            self._send_confirmations()
            return
        query = self._queries.get(message.token)
        if query is None:
            return  # answered too late
        if message.ready:
            self.note_revision(incarnation, message.head)
            if message.snapshot:
                self._take_part(query, message, connection.peer.node)
            else:
                self._replica.offer(message.entries)
        if message.last:
            if message.ready:
                self._replica.note_head(message.head)
                self._replica.note_confirmed(query.asked_at, message.head)
            query.answer.set(message)

    def _send_confirmations(self):
        if not self._replica.ready:
            return
        revision = self._replica.revision
        for incarnation, head in list(self._unconfirmed.items()):
            if head > revision:
                continue
            del self._unconfirmed[incarnation]
            try:
                self._hub.send(incarnation, ConfigConfirm(revision))
            except ConnectionLost:
                pass  # it learns the revision from the next heartbeat

    def _take_part(self, query, message, node):
        if message.part == 0:
            query.store = ConfigStore(message.head)
            query.parts = 0
        if query.store is None or message.part != query.parts:
            return  # a part is missing; the query ends without effect
        query.parts += 1
        for entry in message.entries:
            query.store.put(entry.kind, entry.key, entry.value, entry.revision)
        if message.last:
            self._replica.install(query.store, node)

    def _on_query(self, connection: PeerConnection, message: ConfigQuery):
        replica = self._replica
        head, token = replica.revision, message.token
        # 0 asks for everything, which a new system answers with an empty snapshot.
        if not replica.ready or (message.after and message.after >= head):
            connection.send(
                ConfigEntries(head=head, token=token, last=True, ready=replica.ready)
            )
            return
        recent = [entry for entry in replica.recent if entry.revision > message.after]
        if message.after and recent and recent[0].revision == message.after + 1:
            connection.send(
                ConfigEntries(tuple(recent), False, head, token, last=True, ready=True)
            )
            return
        gevent.spawn(self._send_snapshot, connection, token)

    def _send_snapshot(self, connection, token):
        head = self._replica.revision
        rows = self._replica.store.rows()
        for part in itertools.count():
            entries = tuple(
                ConfigEntry(revision, kind, key, value)
                for kind, key, packed in itertools.islice(rows, _SNAPSHOT_PART_ENTRIES)
                for revision, value in (unpack_row(packed),)
            )
            last = len(entries) < _SNAPSHOT_PART_ENTRIES
            try:
                connection.send(
                    ConfigEntries(entries, True, head, token, part, last, ready=True)
                )
            except ConnectionLost:
                return
            if last:
                return
            gevent.sleep(_SNAPSHOT_PAUSE_SECONDS)

    def _on_confirm(self, connection: PeerConnection, message: ConfigConfirm):
        self.note_revision(connection.peer.incarnation, message.revision)

    def _on_lost(self, connection: PeerConnection):
        self._revisions.pop(connection.peer.incarnation, None)
        self._unconfirmed.pop(connection.peer.incarnation, None)

    def dump(self) -> dict[str, int]:
        return {
            connection.peer.node: self._revisions.get(connection.peer.incarnation, 0)
            for connection in self._hub.connections("entry")
        }
