"""Finds the upstream that blocks a stalled path.

The first upstream of a path reports the addresses that its requests wait for; if it
does not answer, it is itself at fault. Tasks whose paths have the same first upstream
share one report.
"""

import time

from gevent.event import AsyncResult

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop

# Reports are already some hundred milliseconds old, so another query within this time
# returns nothing new.
_MIN_QUERY_INTERVAL_SECONDS = 0.3


class StallDetector:
    """Queries first upstreams; `report(address)` returns an engine's report or None.

    `report_unresponsive(upstream)` passes on which upstreams stall paths.
    """

    def __init__(self, fleet: Fleet, report, set_slowdown, report_unresponsive):
        self._report_unresponsive = report_unresponsive
        self._fleet = fleet
        self._report = report
        self._set_slowdown = set_slowdown
        self._queries: dict[str, tuple[float, AsyncResult]] = {}

    def check_path(self, path: tuple[Hop, ...]):
        """Mark the upstreams that stall a path as unresponsive, if any are found."""
        first = path[0].upstream
        query = self._queries.get(first.id)
        if (
            query is not None
            and time.monotonic() - query[0] < _MIN_QUERY_INTERVAL_SECONDS
        ):
            query[1].wait()
            return
        result = AsyncResult()
        self._queries[first.id] = (time.monotonic(), result)
        try:
            self._query(first)
        finally:
            result.set(None)

    def _query(self, first):
        report = self._report(first.address)
        if report is None:
            log_event(Event.UPSTREAM_SILENT, upstream=first.id, asked=first.id)
            self._fleet.mark_unresponsive(first.id)
            self._report_unresponsive(first)
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
                self._report_unresponsive(upstream)
