"""A limit on retries in a sliding window, shared by all routers.

Over any window, the retries of all routers together are at most `ratio` times the
number of requests plus `extra`. Each router applies the ratio to its own requests and
uses an equal share of `extra`. The last part of the limit is left to requests that have
delivered a part of their answer, which would be lost. What a router leaves unused, it
may lend to another one (`retry_loans.py`).

>>> window = RetryWindow(ratio=0.5, extra=3, seconds=10.0, clock=lambda: 0.0)
>>> window.record_request("ledger")
>>> window.try_spend("ledger", routers=1), window.try_spend("ledger", routers=1)
(True, True)
>>> window.try_spend("ledger", routers=1)
False
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bulrushdrum._internal.limits.retry_loans import (
    LOAN_SECONDS,
    BorrowedRetries,
    LentRetries,
    lendable_retries,
)

# Fraction of `extra` that is used, because routers may discover each other late, and a
# restarted router does not know how many retries it has sent.
_USABLE_EXTRA_FRACTION = 0.6
# Fraction of the limit that requests may use whose failure loses nothing: what an
# answer has delivered is lost if the request is not sent again.
_UNDELIVERED_FRACTION = 0.8
# A stream that could not count a retry ahead asks again within this time.
_AHEAD_SECONDS = 0.025


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


@dataclass(eq=False)
class WaitingRetry:
    """A retry that the limit refused and that waits for a loan."""

    service: str
    has_delivered: bool
    arrived_at: float
    on_counted: Callable[[], None]
    is_counted: bool = False


class RetryWindow:
    """Counts the requests and retries of each service in the last `seconds`."""

    def __init__(self, ratio, extra, seconds, clock=time.monotonic):
        self._ratio = ratio
        self._extra = extra
        self._seconds = seconds
        self._clock = clock
        self._requests: dict[str, deque[float]] = {}
        # The retries that count here; borrowed ones count at their lender.
        self._retries: dict[str, deque[float]] = {}
        # All retries, and those that could not be counted ahead.
        self._used: dict[str, deque[float]] = {}
        self._refused_ahead: dict[str, deque[float]] = {}
        self._waiting: dict[str, list[WaitingRetry]] = {}
        self.lent = LentRetries(seconds, clock)
        self.borrowed = BorrowedRetries(clock)
        # An earlier incarnation may have lent or spent what this one does not know of.
        self._lends_from = clock() + seconds + LOAN_SECONDS
        # Set by the exchange of loans: called when a retry was refused, and to wait for
        # its loan.
        self.on_shortage: Callable[[str], None] = lambda service: None
        self.wait_for_loan: Callable[[str, bool, float], bool] = lambda *_: False

    def record_request(self, service: str):
        self._requests.setdefault(service, deque()).append(self._clock())

    def try_spend(self, service: str, routers: int, has_delivered: bool = True) -> bool:
        """Count one retry if the limit allows it; return whether it does."""
        # Requests that wait come before one that asks now.
        self.serve_waiting(service, routers)
        return self._try_spend(service, routers, has_delivered)

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

    def wait_to_count(
        self,
        costs: RetryCosts,
        service: str,
        routers: int,
        has_delivered: bool,
        arrived_at: float,
    ) -> bool:
        """Count the next sending as `try_count` does, but wait shortly for a loan.

        Of those that wait, requests that have delivered come first, and then the ones
        that arrived first.
        """
        if self.try_count(costs, service, routers, has_delivered):
            return True
        if not self.wait_for_loan(service, has_delivered, arrived_at):
            return False
        costs.counted += 1
        return True

    def try_count_ahead(self, costs: RetryCosts, service: str, routers: int) -> bool:
        """Count the sending that follows the one in progress, if the limit allows it.

        The last part of the limit is left to requests that must be sent again. One that
        is refused counts as a need for loans, and may be asked for again soon.
        """
        if costs.sent < costs.counted:
            return True
        if not self.try_spend(service, routers, has_delivered=False):
            self._refused_ahead.setdefault(service, deque()).append(self._clock())
            self.on_shortage(service)
            return False
        costs.counted += 1
        return True

    def can_count_ahead(
        self, costs: RetryCosts, service: str, routers: int, has_delivered: bool
    ) -> bool:
        """Whether the sending that follows the one in progress could be counted now.

        Asked before what else the sending needs is taken.
        """
        if costs.sent < costs.counted or self.borrowed.usable(service):
            return True
        limit = self._limit(service, routers, has_delivered)
        return self._spent(service) + 1 <= limit

    def wait_to_count_ahead(
        self,
        costs: RetryCosts,
        service: str,
        routers: int,
        has_delivered: bool,
        arrived_at: float,
    ) -> bool:
        """Count the sending that follows the one in progress, as `wait_to_count`."""
        if costs.sent < costs.counted:
            return True
        if not self.try_spend(
            service, routers, has_delivered
        ) and not self.wait_for_loan(service, has_delivered, arrived_at):
            return False
        costs.counted += 1
        return True

    def join(self, waiting: WaitingRetry):
        """Let a refused retry wait; `leave` must follow."""
        queue = self._waiting.setdefault(waiting.service, [])
        queue.append(waiting)
        queue.sort(key=lambda other: (not other.has_delivered, other.arrived_at))
        self.on_shortage(waiting.service)

    def leave(self, waiting: WaitingRetry):
        queue = self._waiting[waiting.service]
        if waiting in queue:
            queue.remove(waiting)

    def serve_waiting(self, service: str, routers: int):
        """Count the retries that wait, in their order, as far as the limit allows."""
        for waiting in list(self._waiting.get(service, ())):
            if self._try_spend(service, routers, waiting.has_delivered):
                self.leave(waiting)
                waiting.is_counted = True
                waiting.on_counted()

    def urgent_need(self, service: str) -> int:
        """Return how many requests wait for a retry, or ask again soon."""
        refused_ahead = self._recent(self._refused_ahead, service, _AHEAD_SECONDS)
        return len(self._waiting.get(service, ())) + len(refused_ahead)

    def waiting_delivered(self, service: str) -> int:
        """Return how many of the requests that wait have delivered."""
        return sum(waiting.has_delivered for waiting in self._waiting.get(service, ()))

    def shortage(self, service: str) -> int:
        """Return how many retries this router should borrow."""
        return max(self.urgent_need(service) - self.borrowed.usable(service), 0)

    @property
    def services(self) -> list[str]:
        """The services that had a request."""
        return list(self._requests)

    def lendable(self, service: str, routers: int, to_delivered: bool = False) -> int:
        """Return how many retries this router may lend and does not need itself.

        The last part of the limit is lent `to_delivered` only, to requests that have
        delivered a part of their answer.
        """
        if self._clock() < self._lends_from:
            return 0
        limit = self._limit(service, routers, has_delivered=to_delivered)
        return lendable_retries(
            self._fixed_share(routers),
            self.lent.total(service),
            limit - self._spent(service),
            len(self._recent(self._used, service, LOAN_SECONDS)),
        )

    def lend(self, service: str, routers: int, amount: int, delivered: int = 0) -> int:
        """Lend up to `amount` retries; return how many, which count from now on.

        `delivered` of them are for requests that have delivered.
        """
        to_delivered = self.lendable(service, routers, to_delivered=True)
        amount = min(
            amount, max(self.lendable(service, routers), min(delivered, to_delivered))
        )
        if amount > 0:
            self.lent.record(service, amount)
        return amount

    def dump(self) -> dict:
        return {
            service: {
                "requests": len(self._recent(self._requests, service, self._seconds)),
                "repeats": len(self._recent(self._retries, service, self._seconds)),
                "lent": self.lent.total(service),
                "borrowed": self.borrowed.usable(service),
            }
            for service in self.services
        }

    def _try_spend(self, service, routers, has_delivered):
        # Borrowed retries end soon, so they are used first.
        if not self.borrowed.try_use(service):
            limit = self._limit(service, routers, has_delivered)
            if self._spent(service) + 1 > limit:
                return False
            self._retries.setdefault(service, deque()).append(self._clock())
        self._recent(self._used, service, LOAN_SECONDS).append(self._clock())
        return True

    def _limit(self, service, routers, has_delivered):
        requests = self._recent(self._requests, service, self._seconds)
        limit = self._ratio * len(requests) + self._fixed_share(routers)
        return limit if has_delivered else limit * _UNDELIVERED_FRACTION

    def _fixed_share(self, routers):
        return self._extra * _USABLE_EXTRA_FRACTION / max(routers, 1)

    def _spent(self, service):
        """Return the retries of this router and the lent ones that still count."""
        retries = self._recent(self._retries, service, self._seconds)
        return len(retries) + self.lent.total(service)

    def _recent(self, times, service, seconds):
        recent = times.setdefault(service, deque())
        oldest = self._clock() - seconds
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent
