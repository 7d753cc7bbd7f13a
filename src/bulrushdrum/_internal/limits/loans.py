"""Loans of permits between entries.

A lender counts a lent permit as in use until the borrower returns it, reports that it
does not hold it, or is known dead. A borrower accepts a loan only while its loan
request is pending; a loan that arrives later is returned unused.
"""

from collections.abc import Callable
from typing import NamedTuple

from bulrushdrum._internal.limits.customer_permits import Permit, RemoteWaiter, Waiter
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.shared_state_messages import (
    EntryMember,
    LoansHeld,
    LoansQuery,
    PermitBorrow,
    PermitLoan,
    PermitReturn,
)

# Answer to a loan request that waits in the owner's queue.
QUEUED = "queued"
# Loan requests of one borrower that may wait in a customer's queue. With only one, a
# permit that becomes free would be unused for a round trip between two loans.
MAX_QUEUED_LOANS = 4
# A queued loan request is cancelled after this time, in case the owner has lost it.
_QUEUED_LOAN_TIMEOUT_SECONDS = 10.0


class PendingLoan:
    """A loan request that was sent to an owner."""

    def __init__(self, lender: str, waiter: Waiter, expires: float):
        self.lender = lender
        self.waiter = waiter
        self.expires = expires
        self.answered = False
        self.queued = False
        self.granted = False


class LentPermit(NamedTuple):
    """A permit lent to `borrower` at `since`, in seconds of the monotonic clock."""

    customer: str
    number: int
    borrower: EntryMember
    since: float


class Loans:
    """The loans that one entry has given, received and requested."""

    def __init__(
        self, hub, permits, settings: LimitSettings, clock: Callable[[], float]
    ):
        self._hub = hub
        self._permits = permits
        self._settings = settings
        self._clock = clock
        self._local = hub.local_identity.incarnation
        self._loan_requests_sent = 0
        self._pending_by_customer: dict[str, set[str]] = {}
        self._pending: dict[str, PendingLoan] = {}
        self._held: dict[str, Permit] = {}
        self._lent: dict[str, LentPermit] = {}
        self._queued: dict[str, RemoteWaiter] = {}
        self._last_loan_check = self._clock()
        hub.register(PermitBorrow, self._on_borrow)
        hub.register(PermitLoan, self._on_loan)
        hub.register(PermitReturn, self._on_return)
        hub.register(LoansQuery, self._on_query)
        hub.register(LoansHeld, self._on_held)
        hub.on_lost(self._on_connection_lost)

    def dump(self) -> dict:
        return {
            "pending": len(self._pending),
            "queued": len(self._queued),
            "held": {loan: list(permit[:2]) for loan, permit in self._held.items()},
            "lent": {
                loan: [lent.customer, lent.number, lent.borrower.node]
                for loan, lent in self._lent.items()
            },
        }

    def request_loan(self, lender: str, waiter: Waiter) -> PendingLoan | None:
        """Request a permit from `lender`; return `None` if it is not connected."""
        self._loan_requests_sent += 1
        loan = f"{self._local}:{self._loan_requests_sent}"
        pending = PendingLoan(
            lender,
            waiter,
            self._clock() + 2 * self._settings.borrow_timeout,
        )
        self._pending[loan] = pending
        self._pending_by_customer.setdefault(waiter.customer, set()).add(loan)
        if not self._send(lender, PermitBorrow(loan, waiter.customer)):
            self._remove_pending_loan(loan)
            return None
        return pending

    def count_pending_loans(self, customer: str, lender: str) -> int:
        """Return the number of pending loan requests for a customer to `lender`."""
        return sum(
            self._pending[loan].lender == lender
            for loan in self._pending_by_customer.get(customer, ())
        )

    def is_queued(self, customer: str) -> bool:
        """Whether a loan request for a customer waits in the queue of an owner."""
        loans = self._pending_by_customer.get(customer, ())
        return any(self._pending[loan].queued for loan in loans)

    def cancel_pending_loans(self, customer: str):
        """Cancel all pending loan requests for a customer without waiting requests."""
        for loan in [*self._pending_by_customer.get(customer, ())]:
            self._cancel_pending_loan(loan)

    def _cancel_pending_loan(self, loan):
        lender = self._pending[loan].lender
        self._remove_pending_loan(loan)
        self._send(lender, PermitReturn(loan))

    def return_loan(self, permit: Permit):
        """Return a borrowed permit; `reconcile` recovers it if the message is lost."""
        self._held.pop(permit.loan, None)
        self._send(permit.lender, PermitReturn(permit.loan))

    def remove_pending_loans_outside(self, ownership):
        """Remove pending loan requests to entries that are no longer members.

        The new owner of a permit does not require an acknowledgement from such a lender
        and would not learn of the loan.
        """
        for loan, pending in list(self._pending.items()):
            if not ownership.includes(pending.lender):
                self._remove_pending_loan(loan)

    def reconcile(self, connection):
        """Ask a peer which of the loans it received from here it still holds."""
        incarnation = connection.peer.incarnation
        loans = tuple(
            loan
            for loan, lent in self._lent.items()
            if lent.borrower.incarnation == incarnation
        )
        if loans:
            self._send(incarnation, LoansQuery(loans))

    def run_maintenance(self):
        """Reclaim loans of dead borrowers, query old loans, expire loan requests."""
        now = self._clock()
        for loan, pending in list(self._pending.items()):
            if now >= pending.expires:
                self._cancel_pending_loan(loan)
        dead = {
            lent.borrower
            for lent in self._lent.values()
            if self._permits.is_known_dead(lent.borrower)
        }
        reclaimed = [loan for loan, lent in self._lent.items() if lent.borrower in dead]
        for loan in reclaimed:
            self._end_loan(loan)
        if reclaimed:
            log_event(Event.PERMITS_RECOVERED, permits=len(reclaimed))
        if now - self._last_loan_check >= self._settings.loan_check_age:
            self._last_loan_check = now
            self._query_old_loans(now - self._settings.loan_check_age)

    def _query_old_loans(self, cutoff):
        by_borrower = {}
        for loan, lent in self._lent.items():
            if lent.since <= cutoff:
                by_borrower.setdefault(lent.borrower.incarnation, []).append(loan)
        for borrower, loans in by_borrower.items():
            self._send(borrower, LoansQuery(tuple(loans)))

    def _send(self, incarnation, message):
        try:
            self._hub.send(incarnation, message)
        except ConnectionLost:
            return False
        return True

    def _remove_pending_loan(self, loan):
        pending = self._pending.pop(loan)
        loans = self._pending_by_customer[pending.waiter.customer]
        loans.discard(loan)
        if not loans:
            del self._pending_by_customer[pending.waiter.customer]
        pending.answered = True
        pending.waiter.state_changed.set()

    def _end_loan(self, loan):
        lent = self._lent.pop(loan, None)
        if lent is None:
            return
        state = self._permits.existing_customer(lent.customer)
        self._permits.mark_released(state, lent.number)
        self._permits.grant_free_permits(state)

    def _on_borrow(self, connection, message):
        """Lend a permit, after the requests that arrived earlier have been served."""
        peer = connection.peer
        if peer.kind != "entry":
            return
        lent = self._lent.get(message.loan)
        if lent is not None:
            connection.send(PermitLoan(message.loan, True, "", lent.number))
        elif message.loan in self._queued:
            connection.send(PermitLoan(message.loan, False, QUEUED))
        elif reason := self._refusal_reason(peer.incarnation, message.customer):
            connection.send(PermitLoan(message.loan, False, reason))
        else:
            borrower = EntryMember(
                peer.node, peer.incarnation, peer.address, peer.data_centre
            )
            waiter = RemoteWaiter(message.customer, message.loan, borrower)
            state = self._permits.customer(message.customer)
            self._queued[message.loan] = waiter
            state.add_waiter(waiter)
            self._permits.grant_free_permits(state)
            if message.loan in self._queued:
                connection.send(PermitLoan(message.loan, False, QUEUED))

    def _refusal_reason(self, borrower, customer):
        """Return why a loan request is refused, or `""` if it is accepted."""
        state = self._permits.customer(customer)
        if state is None or not self._permits.owns_any(state):
            return "owns no permit of the customer"
        queued = sum(
            isinstance(waiter, RemoteWaiter) and waiter.borrower.incarnation == borrower
            for waiter in state.waiters
        )
        return "" if queued < MAX_QUEUED_LOANS else "too many requests in the queue"

    def lend(self, state, number, waiter: RemoteWaiter):
        """Lend a free permit to another entry."""
        del self._queued[waiter.loan]
        permit = Permit(state.customer, number, "", waiter.loan, self._local)
        state.in_use[number] = permit
        message = PermitLoan(waiter.loan, True, "", number)
        if self._send(waiter.borrower.incarnation, message):
            self._lent[waiter.loan] = LentPermit(
                state.customer, number, waiter.borrower, self._clock()
            )
        else:
            self._permits.mark_released(state, number)

    def _remove_from_queue(self, loan):
        waiter = self._queued.pop(loan, None)
        if waiter is not None:
            self._permits.existing_customer(waiter.customer).remove_waiter(waiter)

    def _on_loan(self, connection, message):
        pending = self._pending.get(message.loan)
        if pending is None or pending.lender != connection.peer.incarnation:
            if message.granted and message.loan not in self._held:
                connection.send(PermitReturn(message.loan))
            return
        if not message.granted and message.reason == QUEUED:
            pending.queued = pending.answered = True
            pending.expires = self._clock() + _QUEUED_LOAN_TIMEOUT_SECONDS
            pending.waiter.state_changed.set()
            return
        pending.granted = message.granted
        self._remove_pending_loan(message.loan)
        if message.granted:
            permit = Permit(
                pending.waiter.customer,
                message.number,
                "",
                message.loan,
                pending.lender,
            )
            self._held[message.loan] = permit
            self._permits.accept_loan(permit)

    def _on_return(self, connection, message):
        waiter = self._queued.get(message.loan)
        if waiter and waiter.borrower.incarnation == connection.peer.incarnation:
            self._remove_from_queue(message.loan)
        lent = self._lent.get(message.loan)
        if lent and lent.borrower.incarnation == connection.peer.incarnation:
            self._end_loan(message.loan)

    def _on_query(self, connection, message):
        # Removing the pending loan request makes the answer "not held" final: a loan
        # that arrives later is returned unused.
        for loan in message.loans:
            if loan in self._pending:
                self._remove_pending_loan(loan)
        held = tuple(loan for loan in message.loans if loan in self._held)
        connection.send(LoansHeld(message.loans, held))

    def _on_held(self, connection, message):
        held = set(message.held)
        for loan in message.queried:
            lent = self._lent.get(loan)
            if lent is None or loan in held:
                continue
            if lent.borrower.incarnation == connection.peer.incarnation:
                self._end_loan(loan)

    def _on_connection_lost(self, connection):
        for loan, waiter in list(self._queued.items()):
            if waiter.borrower.incarnation == connection.peer.incarnation:
                self._remove_from_queue(loan)
        for loan, pending in list(self._pending.items()):
            if pending.lender == connection.peer.incarnation:
                self._remove_pending_loan(loan)
