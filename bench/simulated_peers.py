"""Simulated network, table and configuration for many entries in one process.

Messages between two entries keep their order, as on a TCP connection, and are queued
until a `deliver` call. Cutting a link discards its queued messages.
"""

from collections import deque

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Row
from bulrushdrum._internal.world.contracts import Contract


class Connection:
    """One direction of a simulated connection."""

    def __init__(self, network, source, peer):
        self._network, self._source, self.peer = network, source, peer
        self.closed = False

    def send(self, message):
        if self.closed:
            raise ConnectionLost("cut")
        self._network.count += 1
        self._network.queues[self._source, self.peer.incarnation].append(message)


class Hub:
    """Stands in for the `PeerHub` of one entry."""

    def __init__(self, network, identity):
        self.local_identity = identity
        self.by_peer, self.handlers = {}, {}
        self.connected, self.lost = [], []
        network.hubs[identity.incarnation] = self

    def register(self, kind, handler):
        assert kind not in self.handlers
        self.handlers[kind] = handler

    def on_connected(self, callback):
        self.connected.append(callback)

    def on_lost(self, callback):
        self.lost.append(callback)

    def connections(self, kind=""):
        return list(self.by_peer.values())

    def connection_to(self, incarnation):
        return self.by_peer.get(incarnation)

    def send(self, incarnation, message):
        if incarnation not in self.by_peer:
            raise ConnectionLost("not connected")
        self.by_peer[incarnation].send(message)


class Network:
    """Connects simulated hubs and delivers their messages on request."""

    def __init__(self):
        self.hubs, self.queues, self.count = {}, {}, 0

    def hub(self, incarnation, data_centre="d1"):
        node = incarnation.split(".")[0]
        return Hub(
            self, PeerIdentity("entry", node, incarnation, data_centre, f"{node}:1")
        )

    def connect(self, one, other):
        if other in self.hubs[one].by_peer:
            return
        for source, target in ((one, other), (other, one)):
            self.queues[source, target] = deque()
            self.hubs[source].by_peer[target] = Connection(
                self, source, self.hubs[target].local_identity
            )
        for source, target in ((one, other), (other, one)):
            hub = self.hubs[source]
            for callback in hub.connected:
                callback(hub.by_peer[target])

    def cut(self, one, other):
        for source, target in ((one, other), (other, one)):
            self.queues.pop((source, target), None)
            connection = self.hubs[source].by_peer.pop(target, None)
            if connection is not None:
                connection.closed = True
                for callback in self.hubs[source].lost:
                    callback(connection)

    def replace(self, one, other):
        """Replace a connection before the loss of the old one is detected."""
        if other in self.hubs[one].by_peer:
            for source, target in ((one, other), (other, one)):
                self.hubs[source].by_peer.pop(target).closed = True
            self.connect(one, other)

    def deliver(self, source, target):
        message = self.queues[source, target].popleft()
        hub = self.hubs[target]
        handler = hub.handlers.get(type(message))
        if handler is not None and source in hub.by_peer:
            handler(hub.by_peer[source], message)

    def deliver_all(self):
        while any(self.queues.values()):
            for (source, target), queue in list(self.queues.items()):
                while queue:
                    self.deliver(source, target)


class SimulatedTable:
    """A table in memory with injected faults.

    `fault` is `""`; `"down"` for an outage; or, for an unknown outcome of writes,
    `"lost"` (they took effect) or `"refused"` (they did not).
    """

    def __init__(self):
        self.rows, self.fault = {}, ""

    def read(self, key):
        if self.fault == "down":
            raise StoreUnavailable("down")
        return self.rows.get(key)

    def transact(self, conditions, writes):
        if self.fault == "down":
            raise StoreUnavailable("down")
        if self.fault == "refused":
            raise WriteOutcomeUnknown("no response")
        for key, version in conditions:
            row = self.rows.get(key)
            if (row.version if row else 0) != version:
                raise WriteConflict([row])
        for key, value in writes:
            row = self.rows.get(key)
            self.rows[key] = Row(key, value, (row.version if row else 0) + 1)
        if self.fault == "lost":
            raise WriteOutcomeUnknown("no response")
        return [self.rows[key].version for key, _ in writes]


class Entry:
    """An entry of the configuration log with a customer's contract."""

    def __init__(self, revision, customer, concurrency, home):
        self.revision, self.kind, self.key = revision, "contract", customer
        self.contract = Contract(customer, concurrency=concurrency, home_region=home)


class Replica:
    """One entry's replica of the configuration log `log`."""

    def __init__(self, log):
        self._log, self.revision = log, len(log)
        self._callbacks = []

    def contract(self, customer):
        for entry in reversed(self._log[: self.revision]):
            if entry.key == customer:
                return entry.contract
        return None

    def subscribe(self, callback):
        self._callbacks.append(callback)

    def apply(self, count):
        """Apply up to `count` log entries and notify subscribers once.

        Several at once are like a snapshot.
        """
        count = min(count, len(self._log) - self.revision)
        self.revision += count
        if count:
            for callback in self._callbacks:
                callback(self._log[self.revision - 1])
