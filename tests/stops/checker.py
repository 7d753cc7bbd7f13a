"""Checks what callers and servers recorded around planned stops of routers.

A request that a router passed on must get its whole answer, unless it belongs to the
streams that a router may cut when its grace ends: those sent within `EXCUSED_SENDING`
of the signal whose server was still at work in the last sixth of the grace.
"""

import json
import math
from collections import defaultdict
from operator import attrgetter
from pathlib import Path
from typing import NamedTuple

from tests.stops.records import CallerRecord, ServerRecord, StopRecord

EXCUSED_SENDING_SECONDS = 3.0
# A stop counts until this long after the end of the grace.
_AFTER_GRACE_SECONDS = 1.0
# A request that no server got is lost if its connection ends later than this.
_LOSS_SLACK_SECONDS = 0.2


class Cut(NamedTuple):
    """A request without a whole answer around a stop; times relative to the signal.

    `excuse` is empty for a request that had to be answered. `lines` are the numbers of
    the log events that name it.
    """

    request: CallerRecord
    router: str
    sent: float
    closed: float
    runs: tuple[ServerRecord, ...]
    server_ended: float
    excuse: str
    lines: tuple[int, ...]

    def describe(self) -> str:
        ended = f"{self.server_ended:+.3f}" if self.runs else "never"
        return (
            f"{self.request.id} {self.request.kind} at {self.router}: sent "
            f"{self.sent:+.3f} closed {self.closed:+.3f} status {self.request.status} "
            f"events {self.request.events} {self.request.end}; server "
            f"{[(r.server, r.events, r.end) for r in self.runs]} ended "
            f"{ended}; excuse: {self.excuse or 'NONE'}; log events "
            f"{list(self.lines)}"
        )


def read_log_events(paths: list[Path]) -> dict[str, list[int]]:
    """Return the numbers of the log events that name each request."""
    events = defaultdict(list)
    for path in paths:
        for line in path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            for name in [entry.get("request"), *_named_together(entry)]:
                if name is not None:
                    events[name].append(entry["event"])
    return events


def _named_together(entry):
    names = entry.get("requests")
    return names if isinstance(names, list) else []


def find_cuts(
    callers: list[CallerRecord],
    runs: list[ServerRecord],
    stops: list[StopRecord],
    grace: float,
    log_events: dict[str, list[int]],
) -> list[Cut]:
    """Return the requests without a whole answer around a stop of their router."""
    runs_by_id = defaultdict(list)
    for run in runs:
        runs_by_id[run.id].append(run)
    stops_by_router = defaultdict(list)
    for stop in stops:
        stops_by_router[stop.router].append(stop)
    cuts = []
    for request in callers:
        if request.end not in ("closed", "reset"):
            continue
        # A request may belong to two stops of a router, of which the second one cut it.
        of_stops = []
        for stop in stops_by_router[request.router]:
            at = stop.signalled
            if request.closed < at or request.sent > at + grace + _AFTER_GRACE_SECONDS:
                continue
            of_request = tuple(runs_by_id[request.id])
            # Neither a server nor the log shows that the router had read the others.
            is_late = request.closed > request.sent + _LOSS_SLACK_SECONDS
            if not of_request and not (is_late and request.id in log_events):
                continue
            ended = max((run.ended for run in of_request), default=-math.inf)
            of_stops.append(
                Cut(
                    request,
                    stop.router,
                    request.sent - at,
                    request.closed - at,
                    of_request,
                    ended - at,
                    _excuse(request, of_request, ended, at, grace),
                    tuple(log_events.get(request.id, ())),
                )
            )
        excuse = next((cut.excuse for cut in of_stops if cut.excuse), "")
        cuts += [cut._replace(excuse=excuse) for cut in of_stops]
    return cuts


def _excuse(request, runs, ended, at, grace):
    if runs and max(runs, key=attrgetter("ended")).end == "broken":
        return "the server broke off"
    is_early = request.sent <= at + EXCUSED_SENDING_SECONDS
    if is_early and ended >= at + grace * 5.0 / 6.0:
        return "at work in the last sixth of the grace"
    return ""
