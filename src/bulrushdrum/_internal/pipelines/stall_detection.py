"""Finds the upstream that a stalled path waits for.

The first upstream of a path reports the addresses that its requests wait for; if it
does not answer, it is itself at fault. Tasks whose paths share a first upstream share
one report.
"""

import time

from gevent.event import AsyncResult

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop

# A report is as of some hundred ms ago, so asking again sooner tells nothing new.
_REPORT_AGE_SECONDS = 0.3


class StallDetector:
    """Asks first upstreams; `report(address)` returns an engine's report or None."""

    def __init__(self, fleet: Fleet, report, set_slowdown):
        self._fleet = fleet
        self._report = report
        self._set_slowdown = set_slowdown
        self._asked: dict[str, tuple[float, AsyncResult]] = {}

    def check_path(self, path: tuple[Hop, ...]):
        """Avoid the upstreams of a path that are at fault, if any is found."""
        first = path[0].upstream
        asked = self._asked.get(first.id)
        if asked is not None and time.monotonic() - asked[0] < _REPORT_AGE_SECONDS:
            asked[1].wait()
            return
        result = AsyncResult()
        self._asked[first.id] = (time.monotonic(), result)
        try:
            self._ask(first)
        finally:
            result.set(None)

    def _ask(self, first):
        report = self._report(first.address)
        if report is None:
            log_event(Event.UPSTREAM_SILENT, upstream=first.id, asked=first.id)
            self._fleet.mark_unresponsive(first.id)
            return
        self._set_slowdown(first.id, report.slowdown)
        for address in report.stalled:
            upstream = self._fleet.find_by_address(address)
            log_event(
                Event.UPSTREAM_SILENT,
                upstream=None if upstream is None else upstream.id,
                address=address,
                asked=first.id,
            )
            if upstream is not None:
                self._fleet.mark_unresponsive(upstream.id)
