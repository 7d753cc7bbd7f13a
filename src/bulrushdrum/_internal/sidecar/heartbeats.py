"""Heartbeats with each connected peer, in both directions.

A connection is closed after `missed_heartbeats` intervals without a heartbeat or a part
of another message. Both sides check this. If a link fails in one direction only, the
side that receives nothing closes the connection and the other side sees the close, so
heartbeats don't need to echo sequence numbers.

A peer cannot tell a paused sidecar from a dead one, and starts its requests elsewhere.
After a pause, the sidecar therefore runs nothing until it knows which of its peers have
closed their connections.
"""

import time
from collections.abc import Callable

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.process_messages import Beat
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import spawn_loop
from bulrushdrum._internal.sidecar.next_hops import NextHops


class Heartbeats:
    """Sends heartbeats on every connection and closes silent ones.

    `build_heartbeat` returns the heartbeat to send. `on_tick` is called once per
    interval with the monotonic time and whether the process resumed in the last one.
    """

    def __init__(
        self,
        hub: PeerHub,
        next_hops: NextHops,
        settings: SidecarSettings,
        build_heartbeat: Callable[[], Beat],
        on_tick: Callable[[float, bool], None],
    ):
        self._hub = hub
        self._next_hops = next_hops
        self._settings = settings
        self._build_heartbeat = build_heartbeat
        self._on_tick = on_tick
        self._last_heard_at: dict[PeerConnection, float] = {}
        self._next_tick_at = time.monotonic()
        self._is_resuming = False
        hub.register(Beat, self.handle_heartbeat)

    @property
    def is_resuming(self) -> bool:
        """Whether this process was paused for so long that peers may have closed their
        connections, and has not yet read what they sent.
        """
        return self._is_resuming or self._was_paused(time.monotonic())

    def start(self):
        self._next_tick_at = time.monotonic()
        spawn_loop("heartbeats", self._tick)

    def handle_heartbeat(self, connection: PeerConnection, beat: Beat):
        self._last_heard_at[connection] = time.monotonic()

    def last_heard_at(self, connection: PeerConnection) -> float | None:
        """Return the monotonic time at which the peer was last heard from."""
        return self._last_heard_at.get(connection)

    def send_heartbeats(self):
        """Send a heartbeat on every connection."""
        now = time.monotonic()
        beat = self._build_heartbeat()
        for connection in self._connections():
            self._last_heard_at.setdefault(connection, now)
            try:
                connection.send(beat)
            except ConnectionLost:
                pass  # the greenlet that reads the connection reports the loss

    def dump(self) -> dict:
        now = time.monotonic()
        return {
            connection.peer.node: {
                "kind": connection.peer.kind,
                "incarnation": connection.peer.incarnation,
                "heard_seconds_ago": round(now - last_heard_at, 3),
                "sent_bytes": connection.sent_bytes,
            }
            for connection, last_heard_at in self._last_heard_at.items()
        }

    def _connections(self):
        return self._hub.connections() + self._next_hops.connections()

    def _was_paused(self, now):
        # Peers last heard from this process up to one interval before the missed tick.
        intervals = self._settings.missed_heartbeats - 1
        return now - self._next_tick_at > intervals * self._settings.heartbeat_interval

    def _tick(self):
        interval = self._settings.heartbeat_interval
        now = time.monotonic()
        overrun = now - self._next_tick_at
        if overrun > self._settings.missed_heartbeats * interval:
            # This process was paused, so the silence is not evidence of a lost peer.
            log_event(Event.CLOCK_GAP, seconds=round(overrun, 3))
            self._last_heard_at = dict.fromkeys(self._last_heard_at, now)
        # What peers sent during the pause is read within one interval.
        resumed, paused = self._is_resuming, self._was_paused(now)
        self._is_resuming = resumed or paused
        self._next_tick_at = now + interval
        self._close_silent_connections(now)
        self.send_heartbeats()
        self._on_tick(now, resumed and not paused)
        self._is_resuming = paused
        gevent.sleep(max(0.0, self._next_tick_at - time.monotonic()))

    def _close_silent_connections(self, now):
        limit = self._settings.missed_heartbeats * self._settings.heartbeat_interval
        for connection, last_heard_at in list(self._last_heard_at.items()):
            if connection.closed:
                del self._last_heard_at[connection]
                continue
            silent_seconds = now - max(last_heard_at, connection.received_at)
            if silent_seconds > limit:
                log_event(
                    Event.PEER_SILENT,
                    peer=connection.peer.node,
                    silent_seconds=round(silent_seconds, 3),
                )
                connection.close()
