"""Heartbeats with each connected peer, in both directions.

A connection is closed when nothing was heard for `missed_heartbeats` intervals. Both
sides do so, and the end of the connection reaches a peer that is still heard, so a link
that is cut in one direction needs no numbers echoed in the beats.
"""

import time
from collections.abc import Callable

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import Beat
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import spawn_loop
from bulrushdrum._internal.sidecar.next_hops import NextHops


class Heartbeats:
    """Sends `make_beat()` on every connection and watches what comes back."""

    def __init__(
        self,
        hub: PeerHub,
        next_hops: NextHops,
        settings: SidecarSettings,
        make_beat: Callable[[], Beat],
        on_tick: Callable[[float], None],
    ):
        self._hub = hub
        self._next_hops = next_hops
        self._settings = settings
        self._make_beat = make_beat
        self._on_tick = on_tick
        self._heard_at: dict[PeerConnection, float] = {}
        self._due = time.monotonic()
        hub.register(Beat, self.on_beat)

    def start(self):
        spawn_loop("heartbeats", self._tick)

    def on_beat(self, connection: PeerConnection, beat: Beat):
        self._heard_at[connection] = time.monotonic()

    def heard_at(self, connection: PeerConnection) -> float | None:
        """Return when the peer was last heard, on the monotonic clock."""
        return self._heard_at.get(connection)

    def beat_now(self):
        """Send a beat on every connection."""
        now = time.monotonic()
        beat = self._make_beat()
        for connection in self._connections():
            self._heard_at.setdefault(connection, now)
            try:
                connection.send(beat)
            except ConnectionLost:
                pass  # its reader greenlet reports the loss

    def dump(self) -> dict:
        now = time.monotonic()
        return {
            connection.peer.node: {
                "kind": connection.peer.kind,
                "incarnation": connection.peer.incarnation,
                "heard_seconds_ago": round(now - heard_at, 3),
                "sent_bytes": connection.sent_bytes,
            }
            for connection, heard_at in self._heard_at.items()
        }

    def _connections(self):
        return self._hub.connections() + self._next_hops.connections()

    def _tick(self):
        interval = self._settings.heartbeat_interval
        now = time.monotonic()
        late = now - self._due
        if late > self._settings.missed_heartbeats * interval:
            # After a pause of this process, silence says nothing of the peers.
            log_event(Event.CLOCK_GAP, seconds=round(late, 3))
            self._heard_at = dict.fromkeys(self._heard_at, now)
        self._due = now + interval
        self._close_silent(now)
        self.beat_now()
        self._on_tick(now)
        gevent.sleep(max(0.0, self._due - time.monotonic()))

    def _close_silent(self, now):
        limit = self._settings.missed_heartbeats * self._settings.heartbeat_interval
        for connection, heard_at in list(self._heard_at.items()):
            if connection.closed:
                del self._heard_at[connection]
                continue
            silent = now - heard_at
            if silent > limit:
                log_event(
                    Event.PEER_SILENT,
                    peer=connection.peer.node,
                    silent_seconds=round(silent, 3),
                )
                connection.close()
