"""Connections that this sidecar dials to the sidecars of next stages.

They are stored separately from the hub, which holds the connections dialled by peers.
Two sidecars that are each other's next stage have one connection in each direction.
"""

import time
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection, dial
from bulrushdrum._internal.peering.errors import PeeringError
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys
from bulrushdrum._internal.peering.request_messages import ChainStage
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.errors import NextStageUnreachable


class NextHops:
    """One dialled connection per next stage, keyed by sidecar incarnation.

    `on_lost(incarnation, reason)` is called when a connection has ended, and
    `handle_message(connection, message)` for each message from the next stage.
    """

    def __init__(
        self,
        local: PeerIdentity,
        keys: PeeringKeys,
        settings: SidecarSettings,
        on_lost: Callable[[str, str], None],
        handle_message: Callable,
    ):
        self._local = local
        self._keys = keys
        self._settings = settings
        self._on_lost = on_lost
        self._handle_message = handle_message
        self._connections: dict[str, PeerConnection] = {}
        self._pending_dials: dict[str, AsyncResult] = {}
        self._last_used_at: dict[str, float] = {}

    def connections(self) -> list[PeerConnection]:
        return [
            connection
            for connection in self._connections.values()
            if not connection.closed
        ]

    def find_connection(self, stage: ChainStage) -> PeerConnection | None:
        """Return the open connection to `stage`, or None without dialling."""
        connection = self._connections.get(stage.incarnation)
        if connection is None or connection.closed:
            return None
        self._last_used_at[stage.incarnation] = time.monotonic()
        return connection

    def connect(self, stage: ChainStage) -> PeerConnection:
        """Return a connection to `stage`, dialling if there is none.

        Blocks. Concurrent callers for the same stage share one dial. Raises
        `NextStageUnreachable`.
        """
        connection = self.find_connection(stage)
        if connection is not None:
            return connection
        pending = self._pending_dials.get(stage.incarnation)
        if pending is not None:
            return pending.get()
        pending = self._pending_dials[stage.incarnation] = AsyncResult()
        try:
            connection = self._dial(stage)
        except NextStageUnreachable as error:
            pending.set_exception(error)
            raise
        finally:
            del self._pending_dials[stage.incarnation]
        self._connections[stage.incarnation] = connection
        self._last_used_at[stage.incarnation] = time.monotonic()
        gevent.spawn(self._serve, stage.incarnation, connection)
        pending.set(connection)
        return connection

    def close_idle(self, in_use: set[str]):
        """Close connections that have been unused for `next_hop_idle` seconds.

        `in_use` holds the incarnations that open attempts send to.
        """
        now = time.monotonic()
        for incarnation, connection in list(self._connections.items()):
            if incarnation in in_use:
                self._last_used_at[incarnation] = now
            elif now - self._last_used_at[incarnation] > self._settings.next_hop_idle:
                connection.close()

    def _dial(self, stage):
        try:
            connection = dial(
                stage.address, self._local, self._keys, self._settings.address_map
            )
        except (PeeringError, ValueError) as error:
            raise NextStageUnreachable(
                f"stage of {stage.upstream!r} at {stage.address!r}: {error}"
            ) from error
        if connection.peer.incarnation != stage.incarnation:
            connection.close()
            raise NextStageUnreachable(
                f"stage of {stage.upstream!r} has restarted as "
                f"{connection.peer.incarnation!r}"
            )
        return connection

    def _serve(self, incarnation, connection):
        error = connection.serve(self._handle_message)
        if self._connections.get(incarnation) is connection:
            del self._connections[incarnation]
            del self._last_used_at[incarnation]
        log_event(Event.PEER_LOST, peer=connection.peer.node, reason=str(error))
        self._on_lost(incarnation, str(error))
