"""Finds upstreams that run slower than their kind, and tells the other routers.

Load: some upstreams become many times slower for a while. Requests queue at them, and
every path over one of them is late, although most of the fleet is as fast as before.

When an attempt starts slowly, the engines of its path are asked for their pace. One
that is slow is asked again, by the router that found it, until it is not. What a router
learns reaches the others, so that each engine is asked about once a second for all.
"""

import math
import time
from collections.abc import Callable

import gevent

from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.platform.engine_calls import EngineReport
from bulrushdrum._internal.world.engines import PoolUpstream

PACES_KIND = "paces"
# An engine is not asked again within this time, by any router. Its report is some
# hundred milliseconds old, so another one earlier says little that is new.
_ASK_INTERVAL_SECONDS = 1.0
# What is known of a slow engine counts for this long: the router that asks it may stop.
_LIFETIME_SECONDS = 2.5
# An engine counts as slow if its steps take this many times as long as usual.
_SLOW_PACE = 1.5
# No engine counts as slower than this, whatever it or another router says.
_MAX_PACE = 100.0


class SlowUpstreams:
    """The pace of upstreams; `report(address)` returns an engine's report or None.

    `set_slowdown(upstream_id, pace)` changes what paths over an upstream cost.
    """

    def __init__(
        self,
        fleet: Fleet,
        messages: PeerMessages,
        report: Callable[[str], EngineReport | None],
        set_slowdown: Callable[[str, float], None],
        clock=time.monotonic,
    ):
        self._fleet = fleet
        self._messages = messages
        self._report = report
        self._set_slowdown = set_slowdown
        self._clock = clock
        self._asked_at: dict[str, float] = {}
        # Until when an upstream counts as slow.
        self._slow_until: dict[str, float] = {}
        # The upstreams that this router found and asks again.
        self._own: set[str] = set()
        messages.register(PACES_KIND, self._on_pace)

    @property
    def count(self) -> int:
        return len(self._slow_until)

    def check_path(self, path: tuple[Hop, ...]):
        """Ask the engines of a slow path for their pace, in the background."""
        for hop in path:
            if self._is_due(hop.upstream.id):
                self._asked_at[hop.upstream.id] = self._clock()
                gevent.spawn(self._ask, hop.upstream)

    def run_maintenance(self):
        """Ask the slow upstreams that this router found again, and forget old paces."""
        now = self._clock()
        for upstream_id, until in list(self._slow_until.items()):
            upstream = self._fleet.get(upstream_id)
            if upstream is None or until <= now:
                self._forget(upstream_id)
            elif upstream_id in self._own and self._is_due(upstream_id):
                self._asked_at[upstream_id] = now
                gevent.spawn(self._ask, upstream)
        oldest = now - _ASK_INTERVAL_SECONDS
        self._asked_at = {k: at for k, at in self._asked_at.items() if at > oldest}

    def _is_due(self, upstream_id):
        asked_at = self._asked_at.get(upstream_id, -math.inf)
        return self._clock() - asked_at >= _ASK_INTERVAL_SECONDS * 0.9

    def _ask(self, upstream: PoolUpstream):
        report = self._report(upstream.address)
        known = self._fleet.get(upstream.id)
        if report is None or known is None or known.born != upstream.born:
            return
        pace = report.slowdown
        is_slow = pace >= _SLOW_PACE
        if is_slow:
            self._own.add(upstream.id)
        self._messages.broadcast(
            PACES_KIND, [upstream.id, upstream.born, round(pace, 2)]
        )
        self._apply(upstream.id, pace)

    def _on_pace(self, _name, _incarnation, body):
        upstream_id, born, pace = body
        known, pace = self._fleet.get(str(upstream_id)), float(pace)
        if not 0.0 < pace:
            raise ValueError(f"{body!r} has no pace")
        if known is not None and known.born == int(born):
            self._asked_at[known.id] = self._clock()
            self._own.discard(known.id)
            self._apply(known.id, pace)

    def _apply(self, upstream_id, pace):
        if pace < _SLOW_PACE:
            self._forget(upstream_id)
            return
        if upstream_id not in self._slow_until:
            log_event(Event.UPSTREAM_SLOW, upstream=upstream_id, pace=round(pace, 2))
        self._slow_until[upstream_id] = self._clock() + _LIFETIME_SECONDS
        self._set_slowdown(upstream_id, min(pace, _MAX_PACE))

    def _forget(self, upstream_id):
        self._own.discard(upstream_id)
        if self._slow_until.pop(upstream_id, None) is not None:
            self._set_slowdown(upstream_id, 1.0)
