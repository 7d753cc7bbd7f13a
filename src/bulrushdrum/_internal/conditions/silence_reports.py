"""Infers which upstreams are silent from the streams of all routers that fell silent.

Load: an upstream falls silent under streams of dozens of routers, each of which has too
few streams to tell which one it is. Each reports the upstreams that may have silenced a
stream; the one that most reports have in common is the most likely cause.
"""

import time
from collections import Counter, deque
from typing import NamedTuple

# Streams over a silent upstream are reported within about one pause of each other.
_WINDOW_SECONDS = 1.0


class SilenceReport(NamedTuple):
    """Upstreams of which one has silenced a stream of a router.

    `delivers` tells whether another stream of that router has delivered since.
    """

    reporter: str
    candidates: frozenset[str]
    delivers: bool


class Accusation(NamedTuple):
    """Upstreams that are silent, and those that cannot be told apart."""

    silent: dict[str, str]
    suspects: frozenset[str]


def accuse(reports: list[SilenceReport]) -> Accusation:
    """Return the fewest upstreams that explain the reports, found greedily.

    `silent` names for each upstream the first router that reported it. A router behind
    a cut reports all of its streams, so it counts only if it still gets events or if
    another router reports something as well.

    >>> reports = [SilenceReport("r1", frozenset("ab"), True),
    ...            SilenceReport("r2", frozenset("bc"), True),
    ...            SilenceReport("r2", frozenset("de"), True)]
    >>> accusation = accuse(reports)
    >>> accusation.silent, sorted(accusation.suspects)
    ({'b': 'r1'}, ['d', 'e'])
    """
    several_routers = len({report.reporter for report in reports}) > 1
    left = [report for report in reports if report.delivers or several_routers]
    silent: dict[str, str] = {}
    suspects: set[str] = set()
    while left:
        counts = Counter(name for report in left for name in report.candidates)
        if not counts:
            break
        most = max(counts.values())
        names = {name for name, count in counts.items() if count == most}
        explained = [report for report in left if report.candidates & names]
        if len(names) == 1:
            (name,) = names
            if most > 1 or any(report.candidates == names for report in explained):
                silent[name] = min(report.reporter for report in explained)
            else:
                suspects |= names
        else:
            suspects |= names
        left = [report for report in left if not report.candidates & names]
    return Accusation(silent, frozenset(suspects))


class SilenceReports:
    """The reports of the last second, of this router and its peers."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._reports: deque[tuple[float, SilenceReport]] = deque()

    def add(self, report: SilenceReport):
        self._reports.append((self._clock(), report))

    def accuse(self, working: frozenset[str] = frozenset()) -> Accusation:
        """Return what the reports accuse, without the upstreams that are `working`."""
        oldest = self._clock() - _WINDOW_SECONDS
        while self._reports and self._reports[0][0] < oldest:
            self._reports.popleft()
        reports = [
            report._replace(candidates=report.candidates - working)
            for _, report in self._reports
        ]
        return accuse([report for report in reports if report.candidates])
