"""Retries that routers lend to each other, as decisions without a network.

A lender counts a loan as spent from the moment that it grants it, whether or not the
message arrives, for the length of the window and the lifetime of the loan. A borrower
uses a loan only until the end of that lifetime, which by its own clock began before the
lender granted it. So each use, and the window after it, lies within the time for which
the lender counts it, whatever is lost, late, repeated or reordered.
"""

import time
from collections import deque
from typing import NamedTuple

# How long after its request a loan may be used.
LOAN_SECONDS = 2.0
# A request that was not answered within this time is taken as lost.
_ANSWER_SECONDS = 0.05


def lendable_retries(fixed_share: float, lent: int, left: float, expected: int) -> int:
    """Return how many retries a router may lend.

    `lent` are the loans that it still counts, `left` is what its limit leaves now, and
    `expected` what it needs itself. No more than the fixed share is ever lent, because
    the requests to which the ratio applies may leave the window before a loan is used.
    """
    return max(int(min(fixed_share - lent, left - expected)), 0)


class _Lent(NamedTuple):
    counted_until: float
    amount: int


class LentRetries:
    """The loans that this router has granted and still counts."""

    def __init__(self, window_seconds: float, clock=time.monotonic):
        self._counted_seconds = window_seconds + LOAN_SECONDS
        self._clock = clock
        self._lent: dict[str, deque[_Lent]] = {}
        # When each request was answered, by the borrower's incarnation and number.
        self._answered: dict[tuple[str, int], float] = {}
        # Counted for the metrics.
        self.granted = 0

    def total(self, service: str) -> int:
        """Return how many retries of `service` are lent and still counted."""
        lent, now = self._lent.get(service, ()), self._clock()
        while lent and lent[0].counted_until < now:
            lent.popleft()
        return sum(loan.amount for loan in lent)

    def record(self, service: str, amount: int):
        loan = _Lent(self._clock() + self._counted_seconds, amount)
        self._lent.setdefault(service, deque()).append(loan)
        self.granted += amount

    def is_first_request(self, borrower: str, number: int) -> bool:
        """Whether a request is not a repeated message; remember it as answered.

        A message that is repeated later than requests are remembered is only granted
        in vain, since its borrower does not use the loan.
        """
        now = self._clock()
        oldest = now - self._counted_seconds
        while self._answered:
            request, answered_at = next(iter(self._answered.items()))
            if answered_at >= oldest:
                break
            del self._answered[request]
        if (borrower, number) in self._answered:
            return False
        self._answered[borrower, number] = now
        return True


class _Request(NamedTuple):
    lender: str
    service: str
    amount: int
    asked_at: float


class BorrowedRetries:
    """The loans that this router has asked for and those that it may use.

    Numbers are unique within the incarnation of this router.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._last_number = 0
        self._requests: dict[int, _Request] = {}
        # The end of the lifetime of each retry that may be used, by service.
        self._usable: dict[str, list[float]] = {}
        # Counted for the metrics.
        self.received = 0
        self.used = 0

    def request(self, lender: str, service: str, amount: int) -> int:
        """Record that a loan is asked for; return the number of the request."""
        self._forget_old_requests()
        self._last_number += 1
        self._requests[self._last_number] = _Request(
            lender, service, amount, self._clock()
        )
        return self._last_number

    def receive(self, lender: str, number: int, amount: int) -> str | None:
        """Accept the answer to a request once; return the service, or None.

        None means that the answer is repeated, too late, or to nothing of this router.
        """
        request = self._requests.get(number)
        if request is None or request.lender != lender:
            return None
        del self._requests[number]
        until = request.asked_at + LOAN_SECONDS
        if until < self._clock():
            return None
        amount = min(amount, request.amount)
        usable = self._usable.setdefault(request.service, [])
        usable.extend([until] * amount)
        usable.sort()
        self.received += amount
        return request.service

    def usable(self, service: str) -> int:
        """Return how many borrowed retries of `service` may be used now."""
        return len(self._current(service))

    def expected(self, service: str) -> int:
        """Return how many retries are asked for and may be about to arrive."""
        oldest = self._clock() - _ANSWER_SECONDS
        return sum(
            request.amount
            for request in self._requests.values()
            if request.service == service and request.asked_at >= oldest
        )

    def try_use(self, service: str) -> bool:
        """Use a borrowed retry if there is one, the one first that ends first."""
        usable = self._current(service)
        if not usable:
            return False
        del usable[0]
        self.used += 1
        return True

    def _current(self, service):
        usable, now = self._usable.get(service, []), self._clock()
        while usable and usable[0] < now:
            del usable[0]
        return usable

    def _forget_old_requests(self):
        oldest = self._clock() - LOAN_SECONDS
        while self._requests:
            number, request = next(iter(self._requests.items()))
            if request.asked_at >= oldest:
                break
            del self._requests[number]
