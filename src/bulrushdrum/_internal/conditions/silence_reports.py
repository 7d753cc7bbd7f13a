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


# An upstream's id and when it started.
_Incarnation = tuple[str, int]


class SilenceReport(NamedTuple):
    """Upstreams of which one has silenced a stream of a router.

    `delivers` tells whether another stream of that router has delivered since.
    """

    reporter: str
    candidates: frozenset[_Incarnation]
    delivers: bool
    received_at: float = 0.0


class Accused(NamedTuple):
    """Who first reported an upstream, by name, and when the latest report arrived."""

    reporter: str
    reported_at: float


class Accusation(NamedTuple):
    """Upstreams that are silent, and those that cannot be told apart."""

    silent: dict[_Incarnation, Accused]
    suspects: frozenset[_Incarnation]


def accuse(reports: list[SilenceReport]) -> Accusation:
    """Return the fewest upstreams that explain the reports, found greedily.

    Several that explain the same report equally well are suspects.

    >>> reports = [SilenceReport("r1", frozenset("ab"), True),
    ...            SilenceReport("r2", frozenset("bc"), True),
    ...            SilenceReport("r2", frozenset("de"), True)]
    >>> accusation = accuse(reports)
    >>> list(accusation.silent), sorted(accusation.suspects)
    (['b'], ['d', 'e'])
    """
    left = _without_cut_routers(reports)
    silent: dict[_Incarnation, Accused] = {}
    suspects: set[_Incarnation] = set()
    while left:
        certain = {
            name
            for report in left
            if report.delivers and len(report.candidates) == 1
            for name in report.candidates
        }
        names, ambiguous = certain, set()
        if not certain:
            names, ambiguous = _most_common(left)
        for name in names - ambiguous:
            explained = [report for report in left if name in report.candidates]
            silent[name] = Accused(
                min(report.reporter for report in explained),
                max(report.received_at for report in explained),
            )
        suspects |= ambiguous
        left = [report for report in left if not report.candidates & names]
    return Accusation(silent, frozenset(suspects))


def _without_cut_routers(reports):
    """Return the reports with the candidates that count.

    A router behind a cut reports all of its streams. If none of them delivers, only
    candidates that another router reports as well count.
    """
    routers: dict[_Incarnation, set[str]] = {}
    for report in reports:
        for name in report.candidates:
            routers.setdefault(name, set()).add(report.reporter)
    agreed = frozenset(name for name, found in routers.items() if len(found) > 1)
    counted = [
        report
        if report.delivers
        else report._replace(candidates=report.candidates & agreed)
        for report in reports
    ]
    return [report for report in counted if report.candidates]


def _most_common(reports):
    """Return the most common candidates, and those that only may be silent."""
    counts = Counter(name for report in reports for name in report.candidates)
    most = max(counts.values())
    names = {name for name, count in counts.items() if count == most}
    if most == 1:
        return names, names
    ambiguous = set()
    for report in reports:
        tied = report.candidates & names
        if len(tied) > 1:
            ambiguous |= tied
    return names, ambiguous


class SilenceReports:
    """The reports of the last second, of this router and its peers."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._reports: deque[SilenceReport] = deque()

    def add(
        self,
        reporter: str,
        candidates: frozenset[_Incarnation],
        delivers: bool,
        working: frozenset[_Incarnation] = frozenset(),
    ):
        """Add a report; `working` are upstreams that have delivered to this router.

        One that delivers only later clears itself, and not at the expense of the other
        candidates: it may have been silent before.
        """
        report = SilenceReport(reporter, candidates - working, delivers, self._clock())
        if report.candidates:
            self._reports.append(report)

    def accuse(self) -> Accusation:
        oldest = self._clock() - _WINDOW_SECONDS
        while self._reports and self._reports[0].received_at < oldest:
            self._reports.popleft()
        return accuse(list(self._reports))
