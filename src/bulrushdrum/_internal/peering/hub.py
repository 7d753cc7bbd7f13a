"""Registry of the peer connections and message handlers of one process.

Each message type has at most one handler. There is one connection per peer incarnation:
a new connection replaces the previous one.
"""

import time
from collections.abc import Callable

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.messages import Message

_FINISH_POLL_SECONDS = 0.01

Handler = Callable[[PeerConnection, Message], None]


class PeerHub:
    """The peer connections and message handlers of one process."""

    def __init__(self, local_identity: PeerIdentity):
        self._local_identity = local_identity
        self._connections: dict[str, PeerConnection] = {}
        self._handlers: dict[type, Handler] = {}
        self._connected_callbacks = []
        self._lost_callbacks = []

    @property
    def local_identity(self) -> PeerIdentity:
        return self._local_identity

    def register(self, message_type: type, handler: Handler):
        """Call `handler(connection, message)` for each message of `message_type`.

        Handlers run in the reader greenlet of the connection, so a handler that blocks
        delays the messages that follow. Raises `ValueError` if the type already has a
        handler.
        """
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} already has a handler")
        self._handlers[message_type] = handler

    def on_connected(self, callback: Callable[[PeerConnection], None]):
        self._connected_callbacks.append(callback)

    def on_lost(self, callback: Callable[[PeerConnection], None]):
        """Call `callback` with the connection when the current one to a peer ends.

        It is not called for a connection that a newer one has replaced.
        """
        self._lost_callbacks.append(callback)

    def connections(self, kind: str = "") -> list[PeerConnection]:
        """Return the open connections to peers of `kind`, or to all peers if empty."""
        return [
            connection
            for connection in self._connections.values()
            if not connection.closed and kind in ("", connection.peer.kind)
        ]

    def connection_to(self, incarnation: str) -> PeerConnection | None:
        connection = self._connections.get(incarnation)
        return None if connection is None or connection.closed else connection

    def send(self, incarnation: str, message) -> None:
        """Send to one peer. Raises `ConnectionLost` if it is not connected."""
        connection = self.connection_to(incarnation)
        if connection is None:
            raise ConnectionLost(f"no connection to {incarnation!r}")
        connection.send(message)

    def broadcast(self, kind: str, message) -> int:
        """Queue `message` for every peer of `kind` and return the number of peers."""
        sent = 0
        for connection in self.connections(kind):
            try:
                connection.send(message)
                sent += 1
            except ConnectionLost:
                pass  # the reader greenlet of the connection reports the loss
        return sent

    def finish(self, seconds: float):
        """Send what is queued for all peers, and wait until they have received it.

        Returns after `seconds` at the latest.
        """
        deadline = time.monotonic() + seconds
        for connection in self.connections():
            connection.finish()
        while self.connections() and time.monotonic() < deadline:
            gevent.sleep(_FINISH_POLL_SECONDS)

    def serve(self, connection: PeerConnection):
        """Add `connection` and dispatch its messages until it ends."""
        peer = connection.peer
        previous = self._connections.get(peer.incarnation)
        self._connections[peer.incarnation] = connection
        if previous is not None:
            previous.close()
        log_event(Event.PEER_CONNECTED, peer=peer.node, incarnation=peer.incarnation)
        for callback in self._connected_callbacks:
            callback(connection)
        error = connection.serve(self._dispatch)
        if self._connections.get(peer.incarnation) is connection:
            del self._connections[peer.incarnation]
            log_event(Event.PEER_LOST, peer=peer.node, reason=str(error))
            for callback in self._lost_callbacks:
                callback(connection)

    def _dispatch(self, connection, message):
        handler = self._handlers.get(type(message))
        if handler is None:
            log_event(
                Event.PEER_REFUSED,
                peer=connection.peer.node,
                reason=f"no handler for {type(message).__name__}",
            )
            return
        handler(connection, message)
