"""Borrowing permits for requests that wait."""

import random
from collections.abc import Callable

from bulrushdrum._internal.limits.customer_permits import CustomerPermits, Waiter
from bulrushdrum._internal.limits.loans import MAX_PLACES, Loans, PendingLoan
from bulrushdrum._internal.limits.settings import LimitSettings

# Rounds over the owners at the same time; more would only repeat their answers.
_MAX_SWEEPS = 4
_MAX_PAUSE_FACTOR = 8
# Owners asked in one round, so that a request of a customer with many permits does not
# ask hundreds of entries.
_MAX_LENDERS = 16
# Queues are joined again after this time, in case the owners have changed.
_REPEAT_SECONDS = 1.0


class Borrowing:
    """Asks owners for loans on behalf of the requests that wait at this entry.

    An owner without a free permit keeps the request for a loan in its queue, so that
    requests at all entries are served in the order in which they have come.
    """

    def __init__(
        self,
        hub,
        loans: Loans,
        may_borrow: Callable[[], bool],
        order_lenders: Callable[[CustomerPermits], None],
        settings: LimitSettings,
        clock: Callable[[], float],
    ):
        self._hub = hub
        self._loans = loans
        self._may_borrow = may_borrow
        self._order_lenders = order_lenders
        self._settings = settings
        self._clock = clock
        self._random = random.Random(hub.local_identity.incarnation)

    def lenders(self, state: CustomerPermits) -> list[str]:
        """Return the connected owners, best first."""
        self._order_lenders(state)
        return [
            lender
            for lender in state.lenders
            if self._hub.connection_to(lender) is not None
        ]

    def ask(self, state: CustomerPermits, lender: str) -> PendingLoan | None:
        """Ask `lender` unless enough places in its queue are taken already."""
        waiter = state.first_waiter(local=True)
        places = min(state.local_waiters, MAX_PLACES)
        if waiter is None or not self._may_borrow():
            return None
        if self._loans.places(state.customer, lender) >= places:
            return None
        return self._loans.ask(lender, waiter)

    def wait(self, state: CustomerPermits, waiter: Waiter, remaining: float):
        """Wait until something may have changed, up to `remaining` seconds."""
        now = self._clock()
        if state.sweeps < _MAX_SWEEPS and now >= state.next_sweep:
            state.sweeps += 1
            try:
                self._sweep(state, waiter, now + remaining)
            finally:
                state.sweeps -= 1
            return
        pause = max(state.next_sweep - now, self._settings.borrow_pause)
        waiter.ready.wait(min(remaining, pause * self._random.uniform(0.5, 1.0)))
        waiter.ready.clear()

    def _sweep(self, state, waiter, deadline):
        """Ask the owners one after the other until the request has a permit."""
        for lender in self.lenders(state)[:_MAX_LENDERS]:
            waiter.ready.clear()
            pending = self.ask(state, lender)
            limit = min(deadline, self._clock() + self._settings.borrow_timeout)
            while pending is not None and not pending.answered:
                remaining = limit - self._clock()
                if waiter.permit is not None or remaining <= 0:
                    break
                waiter.ready.wait(remaining)
                waiter.ready.clear()
            if waiter.permit is not None or self._clock() >= deadline:
                return
            if pending is not None and pending.granted:
                return  # an earlier request in the queue got the loan
        state.next_sweep = self._clock() + self._pause(state)

    def _pause(self, state):
        jitter = self._random.uniform(0.5, 1.5)
        if self._loans.is_queued(state.customer):
            state.failed_sweeps = 0
            return _REPEAT_SECONDS * jitter
        factor = min(_MAX_PAUSE_FACTOR, 1 << min(state.failed_sweeps, 8))
        state.failed_sweeps += 1
        return self._settings.borrow_pause * factor * jitter
