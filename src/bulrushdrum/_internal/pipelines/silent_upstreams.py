"""Infers which upstreams are silent from the streams of one router that are.

Load: an upstream falls silent, and dozens of streams over it stop within milliseconds.
Asking the upstreams for the cause takes longer than callers accept pauses, but each
stream that still delivers shows that all upstreams of its path work. What is left are
the candidates: those on a path that fell silent and on no path that has delivered since
(Boolean network tomography).
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from bulrushdrum._internal.pipelines.memory_reservations import Hop


class ObservedAttempt:
    """An attempt in progress over the upstreams `ids`; times are of the clock."""

    def __init__(self, ids: frozenset[str], now: float):
        self.ids = ids
        self.last_event_at = now
        self.has_events = False


class Silence(NamedTuple):
    """Upstreams that may have silenced a path, and what else the router received.

    `delivers` tells whether another path of this router has delivered since.
    """

    candidates: frozenset[str]
    delivers: bool


class SilentUpstreams:
    """The attempts in progress at one router.

    `last_heard()` returns when a datagram of another router was last received, a time
    of the clock, and `has_peers()` whether there are live ones.
    """

    def __init__(
        self,
        last_heard: Callable[[], float],
        has_peers: Callable[[], bool],
        clock=time.monotonic,
    ):
        self._last_heard = last_heard
        self._has_peers = has_peers
        self._clock = clock
        self._attempts: set[ObservedAttempt] = set()

    @property
    def attempts(self) -> int:
        return len(self._attempts)

    def begin(self, path: tuple[Hop, ...]) -> ObservedAttempt:
        """Observe an attempt that is sent over `path`."""
        ids = frozenset(hop.upstream.id for hop in path)
        attempt = ObservedAttempt(ids, self._clock())
        self._attempts.add(attempt)
        return attempt

    def record_event(self, attempt: ObservedAttempt):
        attempt.last_event_at, attempt.has_events = self._clock(), True

    def end(self, attempt: ObservedAttempt):
        self._attempts.discard(attempt)

    def working(self, seconds: float) -> frozenset[str]:
        """Return the upstreams over which an event arrived in the last `seconds`."""
        oldest = self._clock() - seconds
        return frozenset().union(
            *(
                attempt.ids
                for attempt in self._attempts
                if attempt.has_events and attempt.last_event_at > oldest
            )
        )

    def explain(self, attempt: ObservedAttempt, usual_pause: float) -> Silence | None:
        """Return which upstreams may have silenced an attempt.

        None means that this router may have lost its own link. An event of another path
        counts only `usual_pause` after the last one of this path: an upstream that is
        silent now may have delivered it before.
        """
        silent_since = attempt.last_event_at + usual_pause
        working: set[str] = set()
        delivers = False
        for other in self._attempts:
            if other.has_events and other.last_event_at > silent_since:
                working |= other.ids
                delivers = True
        if not delivers and self._has_peers() and self._last_heard() <= silent_since:
            return None
        return Silence(attempt.ids - working, delivers)
