"""Exchange of configuration log entries and snapshots with other entries."""

import itertools
import random
import time

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.configuration.store import ConfigStore, unpack_row
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.shared_state_messages import (
    ConfigConfirm,
    ConfigEntries,
    ConfigEntry,
    ConfigQuery,
)

# Above every revision, so that the response has the peer's head and no log entries.
_HEAD_ONLY = 2**64 - 1
# While the table is down, each of 380 entries sends queries every 2 s. Querying all
# others would use 23 KB/s, and heartbeats carry their revisions as well.
_CONFIRMATION_PEERS = 3
# Building a part takes about 4 ms and a snapshot of all contracts is 20 MB. The pause
# after each part lets the entry serve requests and the writer send the part.
_ENTRIES_PER_SNAPSHOT_PART = 200
_SNAPSHOT_PAUSE_SECONDS = 0.01
# An unreachable peer may appear connected for several seconds, and a change must be in
# force within 10 s.
_GAP_FILL_PEERS = 3


class _Query:
    """A query to one peer; `response` is set to the last message of its response."""

    def __init__(self):
        self.sent_at = time.monotonic()
        self.response = AsyncResult()
        self.store: ConfigStore | None = None
        self.parts = 0


class ConfigPeers:
    """Configuration protocol between entries.

    Registers the handlers of the configuration messages with `hub` and passes received
    log entries and snapshots to `replica`.
    """

    def __init__(
        self, hub: PeerHub, replica, response_timeout: float, source: random.Random
    ):
        self._hub = hub
        self._replica = replica
        self._response_timeout = response_timeout
        self._random = source
        self._revisions: dict[str, int] = {}
        self._queries: dict[int, _Query] = {}
        # Pushed heads that are not yet in force here, by the incarnation to confirm to.
        self._awaiting_confirmation: dict[str, int] = {}
        self._tokens = itertools.count(1)
        replica.subscribe(lambda entry: self._send_confirmations())
        hub.register(ConfigEntries, self._on_entries)
        hub.register(ConfigQuery, self._on_query)
        hub.register(ConfigConfirm, self._on_confirm)
        hub.on_lost(self._on_lost)

    @property
    def response_timeout(self) -> float:
        return self._response_timeout

    def record_revision(self, incarnation: str, revision: int):
        """Record that a peer has `revision` in force."""
        self._revisions[incarnation] = max(
            self._revisions.get(incarnation, 0), revision
        )

    def confirmed_by(self, revision: int) -> set[str]:
        """Return the names of connected entries that have `revision` in force."""
        return {
            connection.peer.node
            for connection in self._hub.connections("entry")
            if self._revisions.get(connection.peer.incarnation, -1) >= revision
        }

    def push(self, entry: ConfigEntry):
        """Send a new log entry to all peers; each confirms it when it is in force."""
        message = ConfigEntries((entry,), head=self._replica.revision, last=True)
        self._hub.broadcast("entry", message)

    def query_heads(self):
        """Query the heads of all entries; return (connection, response) pairs."""
        return self._query_each(self._hub.connections("entry"), _HEAD_ONLY)

    def query_some_heads(self):
        """Query the heads of a few entries; a response may confirm our revision."""
        connections = self._hub.connections("entry")
        sample_size = min(_CONFIRMATION_PEERS, len(connections))
        self._query_each(self._random.sample(connections, sample_size), _HEAD_ONLY)

    def load_newest_snapshot(self) -> bool:
        """Load the snapshot with the highest revision among the reachable entries.

        Returns whether the replica is ready.
        """
        heads = [
            (message.head, connection)
            for connection, message in self.query_heads()
            if message.ready
        ]
        for _, connection in sorted(heads, key=lambda pair: -pair[0]):
            response = self._query(connection, 0)
            if response is not None and response.ready:
                return self._replica.ready
        return False

    def fetch_missing(self, after: int) -> bool:
        """Query the most up-to-date peers, until one responds, for later log entries.

        Returns whether one responded.
        """
        connections = [
            (self._revisions.get(connection.peer.incarnation, 0), connection)
            for connection in self._hub.connections("entry")
        ]
        newer = [pair for pair in connections if pair[0] > after]
        newer.sort(key=lambda pair: -pair[0])
        return any(
            self._query(connection, after) is not None
            for _, connection in newer[:_GAP_FILL_PEERS]
        )

    def _query_each(self, connections, after):
        waiting = [
            (connection, gevent.spawn(self._query, connection, after))
            for connection in connections
        ]
        gevent.joinall([greenlet for _, greenlet in waiting])
        return [
            (connection, greenlet.value)
            for connection, greenlet in waiting
            if greenlet.value is not None
        ]

    def _query(self, connection, after):
        """Return the last message of the response, or `None` on timeout or disconnect.

        The timeout restarts with each part of a snapshot.
        """
        token = next(self._tokens)
        query = self._queries[token] = _Query()
        try:
            connection.send(ConfigQuery(after, token))
            received = -1
            while query.parts > received:
                received = query.parts
                if query.response.wait(timeout=self._response_timeout) is not None:
                    return query.response.value
            return None
        except ConnectionLost:
            return None
        finally:
            del self._queries[token]

    def _on_entries(self, connection: PeerConnection, message: ConfigEntries):
        incarnation = connection.peer.incarnation
        if not message.token:
            self.record_revision(incarnation, message.head)
            self._replica.offer(message.entries)
            self._replica.observe_head(message.head)
            self._awaiting_confirmation[incarnation] = message.head
            self._send_confirmations()
            return
        query = self._queries.get(message.token)
        if query is None:
            return  # the query has timed out
        if message.ready:
            self.record_revision(incarnation, message.head)
            if message.snapshot:
                self._add_snapshot_part(query, message, connection.peer.node)
            else:
                self._replica.offer(message.entries)
        if message.last:
            if message.ready:
                self._replica.observe_head(message.head)
                self._replica.record_confirmation(query.sent_at, message.head)
            query.response.set(message)

    def _send_confirmations(self):
        if not self._replica.ready:
            return
        revision = self._replica.revision
        for incarnation, head in list(self._awaiting_confirmation.items()):
            if head > revision:
                continue
            del self._awaiting_confirmation[incarnation]
            try:
                self._hub.send(incarnation, ConfigConfirm(revision))
            except ConnectionLost:
                pass  # the next heartbeat carries the revision

    def _add_snapshot_part(self, query, message, node):
        if message.part == 0:
            query.store = ConfigStore(message.head)
            query.parts = 0
        if query.store is None or message.part != query.parts:
            return  # a part was lost; the snapshot is discarded
        query.parts += 1
        for entry in message.entries:
            query.store.put(entry.kind, entry.key, entry.value, entry.revision)
        if message.last:
            self._replica.install(query.store, node)

    def _on_query(self, connection: PeerConnection, message: ConfigQuery):
        replica = self._replica
        head, token = replica.revision, message.token
        # 0 requests a snapshot, which is empty in a new system.
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
                for kind, key, packed in itertools.islice(
                    rows, _ENTRIES_PER_SNAPSHOT_PART
                )
                for revision, value in (unpack_row(packed),)
            )
            last = len(entries) < _ENTRIES_PER_SNAPSHOT_PART
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
        self.record_revision(connection.peer.incarnation, message.revision)

    def _on_lost(self, connection: PeerConnection):
        self._revisions.pop(connection.peer.incarnation, None)
        self._awaiting_confirmation.pop(connection.peer.incarnation, None)

    def dump(self) -> dict[str, int]:
        return {
            connection.peer.node: self._revisions.get(connection.peer.incarnation, 0)
            for connection in self._hub.connections("entry")
        }
