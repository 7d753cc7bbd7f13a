"""A limit on retries in a sliding window, shared by all routers.

Over any window, the retries of all routers together are at most `ratio` times the
number of requests plus `extra`. Each router applies the ratio to its own requests and
uses an equal share of `extra`. The last part of the limit is left to requests that have
delivered a part of their answer, which would be lost.

>>> window = RetryWindow(ratio=0.5, extra=3, seconds=10.0, clock=lambda: 0.0)
>>> window.record_request("ledger")
>>> window.try_spend("ledger", routers=1), window.try_spend("ledger", routers=1)
(True, True)
>>> window.try_spend("ledger", routers=1)
False
"""

import time
from collections import deque
from dataclasses import dataclass

# Fraction of `extra` that is used, because routers may discover each other late, and a
# restarted router does not know how many retries it has sent.
_USABLE_EXTRA_FRACTION = 0.6
# Fraction of the limit that requests may use whose failure loses nothing: what an
# answer has delivered is lost if the request is not sent again.
_UNDELIVERED_FRACTION = 0.8


@dataclass
class RetryCosts:
    """The sendings of one request that reached an upstream, and the retries counted.

    The first one is no retry, and neither is one after a refused connection.
    """

    sent: int = 0
    counted: int = 0

    @property
    def is_retry_due(self) -> bool:
        """Whether the next sending is a retry that was not counted yet."""
        return self.sent > self.counted


class RetryWindow:
    """Counts the requests and retries of each service in the last `seconds`."""

    def __init__(self, ratio, extra, seconds, clock=time.monotonic):
        self._ratio = ratio
        self._extra = extra
        self._seconds = seconds
        self._clock = clock
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str):
        self._requests.setdefault(service, deque()).append(self._clock())

    def try_spend(self, service: str, routers: int, has_delivered: bool = True) -> bool:
        """Count one retry if the limit allows it; return whether it does."""
        requests = self._recent(self._requests, service)
        retries = self._recent(self._retries, service)
        extra_share = self._extra * _USABLE_EXTRA_FRACTION / max(routers, 1)
        limit = self._ratio * len(requests) + extra_share
        if not has_delivered:
            limit *= _UNDELIVERED_FRACTION
        if len(retries) + 1 > limit:
            return False
        retries.append(self._clock())
        return True

    def try_count(
        self, costs: RetryCosts, service: str, routers: int, has_delivered: bool
    ) -> bool:
        """Count the next sending of a request if it is a retry and the limit allows it.

        Returns whether the request may be sent.
        """
        if costs.is_retry_due:
            if not self.try_spend(service, routers, has_delivered):
                return False
            costs.counted += 1
        return True

    def try_count_ahead(self, costs: RetryCosts, service: str, routers: int) -> bool:
        """Count the sending that follows the one in progress, if the limit allows it.

        The last part of the limit is left to requests that must be sent again.
        """
        if costs.sent < costs.counted:
            return True
        if not self.try_spend(service, routers, has_delivered=False):
            return False
        costs.counted += 1
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
                "repeats": len(self._recent(self._retries, service)),
            }
            for service in list(self._requests)
        }
