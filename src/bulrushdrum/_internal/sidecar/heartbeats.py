"""Heartbeats with each connected peer, in both directions.

Each beat echoes the highest sequence number received from the peer. A connection is
closed when nothing was heard for `missed_heartbeats` intervals, or when the peer stops
echoing this side's beats although it still sends its own: then it does not hear us.
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
from bulrushdrum._internal.sidecar.loops import spawn_loop
from bulrushdrum._internal.sidecar.next_hops import NextHops


class _Pulse:
    """Sequence numbers and times of one connection."""

    __slots__ = ("echoed", "heard_at", "received", "sent", "verified_at")

    def __init__(self, now):
        self.sent = 0
        self.received = 0
        self.echoed = 0
        self.heard_at = now
        self.verified_at = now


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
        self._pulses: dict[PeerConnection, _Pulse] = {}
        self._due = time.monotonic()
        hub.register(Beat, self.on_beat)

    def start(self):
        spawn_loop("heartbeats", self._tick)

    def on_beat(self, connection: PeerConnection, beat: Beat):
        now = time.monotonic()
        pulse = self._pulses.setdefault(connection, _Pulse(now))
        pulse.heard_at = now
        pulse.received = max(pulse.received, beat.sequence)
        if beat.echoed > pulse.echoed:
            pulse.echoed = beat.echoed
            pulse.verified_at = now

    def heard_at(self, connection: PeerConnection) -> float | None:
        """Return when the peer was last heard, on the monotonic clock."""
        pulse = self._pulses.get(connection)
        return None if pulse is None else pulse.heard_at

    def beat_now(self):
        """Send a beat on every connection."""
        now = time.monotonic()
        beat = self._make_beat()
        for connection in self._connections():
            pulse = self._pulses.setdefault(connection, _Pulse(now))
            pulse.sent += 1
            try:
                connection.send(
                    beat._replace(sequence=pulse.sent, echoed=pulse.received)
                )
            except ConnectionLost:
                pass  # its reader greenlet reports the loss

    def dump(self) -> dict:
        now = time.monotonic()
        return {
            connection.peer.node: {
                "kind": connection.peer.kind,
                "incarnation": connection.peer.incarnation,
                "heard_seconds_ago": round(now - pulse.heard_at, 3),
                "verified_seconds_ago": round(now - pulse.verified_at, 3),
                "sent": pulse.sent,
                "echoed": pulse.echoed,
                "sent_bytes": connection.sent_bytes,
            }
            for connection, pulse in self._pulses.items()
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
            for pulse in self._pulses.values():
                pulse.heard_at = pulse.verified_at = now
        self._due = now + interval
        self._close_silent(now)
        self.beat_now()
        self._on_tick(now)
        gevent.sleep(max(0.0, self._due - time.monotonic()))

    def _close_silent(self, now):
        limit = self._settings.missed_heartbeats * self._settings.heartbeat_interval
        for connection, pulse in list(self._pulses.items()):
            if connection.closed:
                del self._pulses[connection]
                continue
            silent = now - pulse.heard_at
            # An echo is up to one interval older than the beat that carries it.
            unheard = now - pulse.verified_at - self._settings.heartbeat_interval
            if silent > limit or unheard > limit:
                log_event(
                    Event.PEER_SILENT,
                    peer=connection.peer.node,
                    silent_seconds=round(silent, 3),
                    unheard_seconds=round(unheard, 3),
                )
                connection.close()
