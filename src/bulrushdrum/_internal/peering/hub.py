"""All peer connections of one process, and the handlers for their messages.

Each message type has at most one handler. A peer that dials again replaces its earlier
connection, so there is one connection for each peer incarnation.
"""

from collections.abc import Callable

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.messages import Message

Handler = Callable[[PeerConnection, Message], None]


class PeerHub:
    """The connections of the process whose identity is `local`."""

    def __init__(self, local: PeerIdentity):
        self._local = local
        self._connections: dict[str, PeerConnection] = {}
        self._handlers: dict[type, Handler] = {}
        self._connected_callbacks = []
        self._lost_callbacks = []

    @property
    def local(self) -> PeerIdentity:
        return self._local

    def register(self, message_type: type, handler: Handler):
        """Let `handler(connection, message)` receive messages of one type.

        Handlers run in the reader greenlet of the connection; one that blocks delays
        the messages behind it.
        """
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} already has a handler")
        self._handlers[message_type] = handler

    def on_connected(self, callback: Callable[[PeerConnection], None]):
        self._connected_callbacks.append(callback)

    def on_lost(self, callback: Callable[[PeerConnection], None]):
        """Call `callback` when a peer's last connection has ended."""
        self._lost_callbacks.append(callback)

    def connections(self, kind: str = "") -> list[PeerConnection]:
        """Return the open connections to peers of `kind`, or to all."""
        return [
            connection
            for connection in self._connections.values()
            if not connection.closed and kind in ("", connection.peer.kind)
        ]

    def connection_to(self, incarnation: str) -> PeerConnection | None:
        connection = self._connections.get(incarnation)
        return None if connection is None or connection.closed else connection

    def send(self, incarnation: str, message) -> None:
        """Send to one peer; raises `ConnectionLost` if it is not connected."""
        connection = self.connection_to(incarnation)
        if connection is None:
            raise ConnectionLost(f"no connection to {incarnation!r}")
        connection.send(message)

    def broadcast(self, kind: str, message) -> int:
        """Send to every connected peer of `kind` and return how many there were."""
        sent = 0
        for connection in self.connections(kind):
            try:
                connection.send(message)
                sent += 1
            except ConnectionLost:
                pass  # its reader greenlet reports the loss
        return sent

    def serve(self, connection: PeerConnection):
        """Dispatch the messages of `connection` until it ends."""
        peer = connection.peer
        earlier = self._connections.get(peer.incarnation)
        self._connections[peer.incarnation] = connection
        if earlier is not None:
            earlier.close()
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
