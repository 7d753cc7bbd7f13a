"""Borrowing of permits from other entries for waiting requests."""

import random
from collections.abc import Callable

from bulrushdrum._internal.limits.customer_permits import CustomerPermits, Waiter
from bulrushdrum._internal.limits.loans import (
    MAX_QUEUED_LOANS,
    Loans,
    PendingLoan,
)
from bulrushdrum._internal.limits.settings import LimitSettings

# Rounds of loan requests to the owners that run at the same time. Further rounds would
# only get the same answers.
_MAX_CONCURRENT_ROUNDS = 4
_MAX_BACKOFF_FACTOR = 8
# Limits the messages for a customer whose permits are spread over hundreds of owners.
_MAX_LENDERS_PER_ROUND = 16
# Interval between rounds while a loan request is queued, in case the owners change.
_QUEUED_ROUND_INTERVAL_SECONDS = 1.0


class Borrowing:
    """Requests loans from owners on behalf of the requests that wait at this entry.

    An owner without a free permit queues the loan request behind the requests that wait
    there, so that requests at all entries are served in order of arrival.
    """

    def __init__(
        self,
        hub,
        loans: Loans,
        may_borrow: Callable[[], bool],
        update_lenders: Callable[[CustomerPermits], None],
        settings: LimitSettings,
        clock: Callable[[], float],
    ):
        self._hub = hub
        self._loans = loans
        self._may_borrow = may_borrow
        self._update_lenders = update_lenders
        self._settings = settings
        self._clock = clock
        self._random = random.Random(hub.local_identity.incarnation)

    def lenders(self, state: CustomerPermits) -> list[str]:
        """Return the connected owners in the order in which to ask them."""
        self._update_lenders(state)
        return [
            lender
            for lender in state.lenders
            if self._hub.connection_to(lender) is not None
        ]

    def request_loan(self, state: CustomerPermits, lender: str) -> PendingLoan | None:
        """Request a loan; return `None` if `lender` cannot be asked for one now."""
        waiter = state.first_waiter(local=True)
        max_pending = min(state.local_waiters, MAX_QUEUED_LOANS)
        if waiter is None or not self._may_borrow():
            return None
        if self._loans.count_pending_loans(state.customer, lender) >= max_pending:
            return None
        return self._loans.request_loan(lender, waiter)

    def wait(self, state: CustomerPermits, waiter: Waiter, remaining: float):
        """Run a round of loan requests or wait, for up to `remaining` seconds."""
        now = self._clock()
        if state.active_rounds < _MAX_CONCURRENT_ROUNDS and now >= state.next_round_at:
            state.active_rounds += 1
            try:
                self._run_round(state, waiter, now + remaining)
            finally:
                state.active_rounds -= 1
            return
        delay = max(state.next_round_at - now, self._settings.borrow_pause)
        waiter.state_changed.wait(
            min(remaining, delay * self._random.uniform(0.5, 1.0))
        )
        waiter.state_changed.clear()

    def _run_round(self, state, waiter, deadline):
        """Request loans from one owner after the other until `waiter` has a permit."""
        for lender in self.lenders(state)[:_MAX_LENDERS_PER_ROUND]:
            waiter.state_changed.clear()
            pending = self.request_loan(state, lender)
            answer_deadline = min(
                deadline, self._clock() + self._settings.borrow_timeout
            )
            while pending is not None and not pending.answered:
                remaining = answer_deadline - self._clock()
                if waiter.permit is not None or remaining <= 0:
                    break
                waiter.state_changed.wait(remaining)
                waiter.state_changed.clear()
            if waiter.permit is not None or self._clock() >= deadline:
                return
            if pending is not None and pending.granted:
                return  # the loan went to a request that was ahead in the queue
        state.next_round_at = self._clock() + self._next_round_delay(state)

    def _next_round_delay(self, state):
        jitter = self._random.uniform(0.5, 1.5)
        if self._loans.is_queued(state.customer):
            state.failed_rounds = 0
            return _QUEUED_ROUND_INTERVAL_SECONDS * jitter
        factor = min(_MAX_BACKOFF_FACTOR, 1 << min(state.failed_rounds, 8))
        state.failed_rounds += 1
        return self._settings.borrow_pause * factor * jitter
