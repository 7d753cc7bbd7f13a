"""Bounds how many streams of a router move at once.

Load: upstreams or links are slow everywhere, so that many streams are silent for a
while. Moving them would only add prompts to be read. Streams that one silent upstream
explains are not bounded, because each of them would be late.
"""

import time
from collections import deque
from typing import NamedTuple

_WINDOW_SECONDS = 1.0
# Of the streams that no common upstream explains, this fraction may move in a window,
# and at least `_MIN_MOVES`.
_MAX_MOVED_FRACTION = 0.5
_MIN_MOVES = 2


class _Fault(NamedTuple):
    """Upstreams of which one may have silenced all streams that moved for it."""

    candidates: frozenset[str]
    found_at: float


class MoveBound:
    """The moves of one router in the last second.

    >>> bound = MoveBound(clock=lambda: 0.0)
    >>> for candidates in ({"a", "b"}, {"b", "c"}, {"d"}):
    ...     bound.record(frozenset(candidates))
    >>> bound.allows(frozenset({"b", "e"}), attempts=4)
    True
    >>> bound.allows(frozenset({"a"}), attempts=4)
    False
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._faults: deque[_Fault] = deque()

    def allows(self, candidates: frozenset[str], attempts: int) -> bool:
        """Whether a stream may move, of a router with `attempts` in progress."""
        self._forget_old()
        if self._find_fault(candidates) is not None:
            return True
        limit = max(attempts * _MAX_MOVED_FRACTION, float(_MIN_MOVES))
        return len(self._faults) + 1 <= limit

    def record(self, candidates: frozenset[str]):
        """Record that a stream moves which one of `candidates` has silenced."""
        fault = self._find_fault(candidates)
        if fault is None:
            self._faults.append(_Fault(candidates, self._clock()))
        else:
            common = fault.candidates & candidates
            index = self._faults.index(fault)
            self._faults[index] = fault._replace(candidates=common)

    def _find_fault(self, candidates):
        for fault in self._faults:
            if fault.candidates & candidates:
                return fault
        return None

    def _forget_old(self):
        oldest = self._clock() - _WINDOW_SECONDS
        while self._faults and self._faults[0].found_at <= oldest:
            self._faults.popleft()
