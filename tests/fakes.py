"""In-memory fakes of the table and the peer network with injectable failures."""

from types import SimpleNamespace

import gevent
from bench.standins.table import TableState

from bulrushdrum._internal.peering.codec import decode, encode
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Row

SETTINGS = SimpleNamespace(seed=20261204)


class FakeTable:
    """Implements `Table`. `on_write` lists the failures of the next writes, in order.

    `lost`: the write takes effect and its response is lost. `dropped`: it has no effect
    and an unknown outcome. `late`: it has an unknown outcome and takes effect just
    before the next request.
    """

    def __init__(self, state=None):
        self.state = state or TableState()
        self.down = False
        self.on_write = []
        self.before_read = lambda key: None
        self.transactions = 0
        self._late = []

    def _begin(self):
        late, self._late = self._late, []
        for conditions, writes in late:
            self.state.transact(conditions, writes)
        if self.down:
            raise StoreUnavailable("down")
        gevent.sleep(0)

    def read(self, key):
        self.before_read(key)
        self._begin()
        row = Row(**self.state.read(key))
        return row if row.version else None

    def scan(self, prefix, after="", limit=1000):
        self.before_read(prefix)
        self._begin()
        return [Row(**row) for row in self.state.scan(prefix, after, limit)]

    def transact(self, conditions, writes):
        self._begin()
        self.transactions += 1
        conditions = [condition._asdict() for condition in conditions]
        writes = [write._asdict() for write in writes]
        failure = self.on_write.pop(0) if self.on_write else None
        if failure == "late":
            self._late.append((conditions, writes))
        if failure in ("late", "dropped"):
            raise WriteOutcomeUnknown(failure)
        versions, conflicts = self.state.transact(conditions, writes)
        if failure == "lost":
            raise WriteOutcomeUnknown(failure)
        if versions is None:
            raise WriteConflict([Row(**row) for row in conflicts])
        return versions


class FakeConnection:
    """One side of a link; a message is lost if `drop(message)` returns true."""

    def __init__(self, peer, deliver):
        self.peer = peer
        self.closed = False
        self.drop = lambda message: False
        self._deliver = deliver

    def send(self, message):
        data = encode(message)
        if not self.closed and not self.drop(message):
            gevent.spawn(self._deliver, decode(data))


class FakeHub:
    """Implements `PeerHub` with `FakeConnection`s that are created by `connect`."""

    def __init__(self, node, start=1):
        incarnation = f"{node}#{start}"
        self.local_identity = PeerIdentity(
            "entry", node, incarnation, "dc", "127.0.0.1:21000"
        )
        self.links = {}
        self._handlers = {}

    def connect(self, other):
        self._add(other)
        other._add(self)

    def _add(self, other):
        def deliver(message):
            back = other.links[self.local_identity.incarnation]
            other._handlers[type(message)](back, message)

        self.links[other.local_identity.incarnation] = FakeConnection(
            other.local_identity, deliver
        )

    def register(self, message_type, handler):
        self._handlers[message_type] = handler

    def on_lost(self, callback):
        pass

    def connections(self, kind=""):
        return [link for link in self.links.values() if not link.closed]

    def connection_to(self, incarnation):
        return self.links.get(incarnation)

    def send(self, incarnation, message):
        self.links[incarnation].send(message)

    def broadcast(self, kind, message):
        for link in self.connections(kind):
            link.send(message)
