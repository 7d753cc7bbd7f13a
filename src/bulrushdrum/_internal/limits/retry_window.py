"""The bound on repeats in a sliding window, shared by all routers.

Over any window, all routers together may send `ratio` times the requests of it, plus
`extra`, beyond the first sending of each request. Each router keeps to the ratio of its
own requests and to an equal part of the extra.

>>> window = RetryWindow(ratio=0.5, extra=3, seconds=10.0, clock=lambda: 0.0)
>>> window.record_request("ledger")
>>> window.try_spend("ledger", routers=1), window.try_spend("ledger", routers=1)
(True, True)
>>> window.try_spend("ledger", routers=1)
False
"""

import time
from collections import deque

# Routers may see each other late, and one that restarts has forgotten what it spent:
# this part of the extra is used.
_USED_PART = 0.6


class RetryWindow:
    """Counts requests and repeats of the last `seconds`, by service."""

    def __init__(self, ratio, extra, seconds, clock=time.monotonic):
        self._ratio = ratio
        self._extra = extra
        self._seconds = seconds
        self._clock = clock
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def record_request(self, service: str):
        self._requests.setdefault(service, deque()).append(self._clock())

    def try_spend(self, service: str, routers: int) -> bool:
        """Count one repeat if the bound allows it."""
        requests = self._recent(self._requests, service)
        repeats = self._recent(self._repeats, service)
        part = self._extra * _USED_PART / max(routers, 1)
        if len(repeats) + 1 > self._ratio * len(requests) + part:
            return False
        repeats.append(self._clock())
        return True

    def _recent(self, times, service):
        recent = times.setdefault(service, deque())
        oldest = self._clock() - self._seconds
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent

    def dump(self) -> dict:
        return {
            service: {
                "requests": len(self._recent(self._requests, service)),
                "repeats": len(self._recent(self._repeats, service)),
            }
            for service in list(self._requests)
        }
