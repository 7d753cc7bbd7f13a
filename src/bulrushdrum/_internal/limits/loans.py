"""Loans of permits between entries.

The lender counts a lent permit as in use until the borrower returns it, says that it
does not hold it, or is known dead. The borrower uses a permit only if the answer
belongs to a request for a loan that it still waits for, so an answer that comes late is
returned and never used.
"""

from collections.abc import Callable
from typing import NamedTuple

from bulrushdrum._internal.limits.customer_permits import Permit, RemoteWaiter, Waiter
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.messages import (
    EntryMember,
    LoansHeld,
    LoansQuery,
    PermitBorrow,
    PermitLoan,
    PermitReturn,
)

# Answer to a request for a loan that waits in the owner's queue.
QUEUED = "queued"
# Places for one borrower in the queue of one customer. With one, each permit that
# becomes free would stay idle for a round trip before the next is asked for.
MAX_PLACES = 4
# A place in a queue is given up after this time, in case the owner has lost it.
_QUEUE_SECONDS = 10.0


class PendingLoan:
    """A loan that was asked for."""

    def __init__(self, lender: str, waiter: Waiter, expires: float):
        self.lender = lender
        self.waiter = waiter
        self.expires = expires
        self.answered = False
        self.queued = False
        self.granted = False


class LentPermit(NamedTuple):
    """A loan given to `borrower`; `since` is monotonic, in seconds."""

    customer: str
    number: int
    borrower: EntryMember
    since: float


class Loans:
    """The loans that one entry has given and taken."""

    def __init__(
        self, hub, permits, settings: LimitSettings, clock: Callable[[], float]
    ):
        self._hub = hub
        self._permits = permits
        self._settings = settings
        self._clock = clock
        self._local = hub.local_identity.incarnation
        self._asked = 0
        self._asked_for: dict[str, set[str]] = {}
        self._pending: dict[str, PendingLoan] = {}
        self._held: dict[str, Permit] = {}
        self._lent: dict[str, LentPermit] = {}
        self._queued: dict[str, RemoteWaiter] = {}
        self._checked = self._clock()
        hub.register(PermitBorrow, self._on_borrow)
        hub.register(PermitLoan, self._on_loan)
        hub.register(PermitReturn, self._on_return)
        hub.register(LoansQuery, self._on_query)
        hub.register(LoansHeld, self._on_held)
        hub.on_lost(self._on_lost)

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

    def ask(self, lender: str, waiter: Waiter) -> PendingLoan | None:
        """Ask `lender` for a permit; return `None` if it is not connected."""
        self._asked += 1
        loan = f"{self._local}:{self._asked}"
        pending = PendingLoan(
            lender,
            waiter,
            self._clock() + 2 * self._settings.borrow_timeout,
        )
        self._pending[loan] = pending
        self._asked_for.setdefault(waiter.customer, set()).add(loan)
        if not self._send(lender, PermitBorrow(loan, waiter.customer)):
            self._drop(loan)
            return None
        return pending

    def places(self, customer: str, lender: str) -> int:
        """Return how many loans of a customer were asked of `lender`."""
        return sum(
            self._pending[loan].lender == lender
            for loan in self._asked_for.get(customer, ())
        )

    def is_queued(self, customer: str) -> bool:
        """Whether a request for a loan waits in the queue of an owner."""
        loans = self._asked_for.get(customer, ())
        return any(self._pending[loan].queued for loan in loans)

    def cancel(self, customer: str):
        """Give up all loans that were asked for, as no request waits any more."""
        for loan in [*self._asked_for.get(customer, ())]:
            self._give_up(loan)

    def _give_up(self, loan):
        lender = self._pending[loan].lender
        self._drop(loan)
        self._send(lender, PermitReturn(loan))

    def give_back(self, permit: Permit):
        """Return a borrowed permit. If that is lost, `reconcile` makes up for it."""
        self._held.pop(permit.loan, None)
        self._send(permit.lender, PermitReturn(permit.loan))

    def drop_pending_outside(self, ownership):
        """Give up loans asked of entries that are not members any more.

        Such a lender is not asked for an acknowledgement, so a loan from it would be
        unknown to the permit's next owner.
        """
        for loan, pending in list(self._pending.items()):
            if not ownership.includes(pending.lender):
                self._drop(loan)

    def reconcile(self, connection):
        """Ask a peer which of its loans it still holds."""
        incarnation = connection.peer.incarnation
        loans = tuple(
            loan
            for loan, lent in self._lent.items()
            if lent.borrower.incarnation == incarnation
        )
        if loans:
            self._send(incarnation, LoansQuery(loans))

    def tick(self):
        """Take back loans of dead borrowers, check old ones, expire requests."""
        now = self._clock()
        for loan, pending in list(self._pending.items()):
            if now >= pending.expires:
                self._give_up(loan)
        dead = {
            lent.borrower
            for lent in self._lent.values()
            if self._permits.is_known_dead(lent.borrower)
        }
        recovered = [loan for loan, lent in self._lent.items() if lent.borrower in dead]
        for loan in recovered:
            self._end(loan)
        if recovered:
            log_event(Event.PERMITS_RECOVERED, permits=len(recovered))
        if now - self._checked >= self._settings.loan_check_age:
            self._checked = now
            self._check_old(now - self._settings.loan_check_age)

    def _check_old(self, before):
        by_borrower = {}
        for loan, lent in self._lent.items():
            if lent.since <= before:
                by_borrower.setdefault(lent.borrower.incarnation, []).append(loan)
        for borrower, loans in by_borrower.items():
            self._send(borrower, LoansQuery(tuple(loans)))

    def _send(self, incarnation, message):
        try:
            self._hub.send(incarnation, message)
        except ConnectionLost:
            return False
        return True

    def _drop(self, loan):
        pending = self._pending.pop(loan)
        loans = self._asked_for[pending.waiter.customer]
        loans.discard(loan)
        if not loans:
            del self._asked_for[pending.waiter.customer]
        pending.answered = True
        pending.waiter.ready.set()

    def _end(self, loan):
        lent = self._lent.pop(loan, None)
        if lent is None:
            return
        state = self._permits.customer_in_use(lent.customer)
        self._permits.end_use(state, lent.number)
        self._permits.serve(state)

    def _on_borrow(self, connection, message):
        """Lend a permit, now or when the requests that came before have been served."""
        peer = connection.peer
        if peer.kind != "entry":
            return
        lent = self._lent.get(message.loan)
        if lent is not None:
            connection.send(PermitLoan(message.loan, True, "", lent.number))
        elif message.loan in self._queued:
            connection.send(PermitLoan(message.loan, False, QUEUED))
        elif reason := self._refusal(peer.incarnation, message.customer):
            connection.send(PermitLoan(message.loan, False, reason))
        else:
            borrower = EntryMember(
                peer.node, peer.incarnation, peer.address, peer.data_centre
            )
            waiter = RemoteWaiter(message.customer, message.loan, borrower)
            state = self._permits.customer(message.customer)
            self._queued[message.loan] = waiter
            state.add_waiter(waiter)
            self._permits.serve(state)
            if message.loan in self._queued:
                connection.send(PermitLoan(message.loan, False, QUEUED))

    def _refusal(self, borrower, customer):
        """Return why a request for a loan is refused, or `""`."""
        state = self._permits.customer(customer)
        if state is None or not self._permits.owns_any(state):
            return "owns no permit of the customer"
        places = sum(
            isinstance(waiter, RemoteWaiter) and waiter.borrower.incarnation == borrower
            for waiter in state.waiters
        )
        return "" if places < MAX_PLACES else "too many requests in the queue"

    def lend(self, state, number, waiter: RemoteWaiter):
        """Lend a free permit to a request of another entry."""
        del self._queued[waiter.loan]
        permit = Permit(state.customer, number, "", waiter.loan, self._local)
        state.in_use[number] = permit
        message = PermitLoan(waiter.loan, True, "", number)
        if self._send(waiter.borrower.incarnation, message):
            self._lent[waiter.loan] = LentPermit(
                state.customer, number, waiter.borrower, self._clock()
            )
        else:
            self._permits.end_use(state, number)

    def _leave_queue(self, loan):
        waiter = self._queued.pop(loan, None)
        if waiter is not None:
            self._permits.customer_in_use(waiter.customer).remove_waiter(waiter)

    def _on_loan(self, connection, message):
        pending = self._pending.get(message.loan)
        if pending is None or pending.lender != connection.peer.incarnation:
            if message.granted and message.loan not in self._held:
                connection.send(PermitReturn(message.loan))
            return
        if not message.granted and message.reason == QUEUED:
            pending.queued = pending.answered = True
            pending.expires = self._clock() + _QUEUE_SECONDS
            pending.waiter.ready.set()
            return
        pending.granted = message.granted
        self._drop(message.loan)
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
            self._leave_queue(message.loan)
        lent = self._lent.get(message.loan)
        if lent and lent.borrower.incarnation == connection.peer.incarnation:
            self._end(message.loan)

    def _on_query(self, connection, message):
        # A loan whose answer has not arrived is given up, so that "not held" is final.
        for loan in message.loans:
            if loan in self._pending:
                self._drop(loan)
        held = tuple(loan for loan in message.loans if loan in self._held)
        connection.send(LoansHeld(message.loans, held))

    def _on_held(self, connection, message):
        held = set(message.held)
        for loan in message.queried:
            lent = self._lent.get(loan)
            if lent is None or loan in held:
                continue
            if lent.borrower.incarnation == connection.peer.incarnation:
                self._end(loan)

    def _on_lost(self, connection):
        for loan, waiter in list(self._queued.items()):
            if waiter.borrower.incarnation == connection.peer.incarnation:
                self._leave_queue(loan)
        for loan, pending in list(self._pending.items()):
            if pending.lender == connection.peer.incarnation:
                self._drop(loan)
