"""Concurrency limits: acquiring and releasing permits.

An entry uses its own permits first and otherwise borrows one from an owner for the
length of the request. Requests of one customer are served first come, first served at
each entry.
"""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.limits.acknowledgement_sender import AcknowledgementSender
from bulrushdrum._internal.limits.acknowledgements import Acknowledgements
from bulrushdrum._internal.limits.borrowing import Borrowing
from bulrushdrum._internal.limits.customer_permits import (
    CustomerPermits,
    Permit,
    RemoteWaiter,
    Waiter,
)
from bulrushdrum._internal.limits.customers import CustomerPermitTable
from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.errors import ConcurrencyExceeded, UnknownCustomer
from bulrushdrum._internal.limits.loans import Loans, PendingLoan
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.messages import BusyPermit, EntryMember, EntrySetAck

_TICK_SECONDS = 0.25


class Permits:
    """The permits of all customers at one entry."""

    def __init__(
        self,
        hub,
        entry_set: EntrySet,
        replica,
        settings: LimitSettings,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._hub = hub
        self._entry_set = entry_set
        self._clock = clock
        self._local = entry_set.local.incarnation
        self._acks = Acknowledgements(entry_set)
        self._loans = Loans(hub, self, settings, clock)
        self._borrowing = Borrowing(
            hub, self._loans, self.may_borrow, self._order_lenders, settings, clock
        )
        self._sender = AcknowledgementSender(
            hub, entry_set, self._acks, self._list_busy
        )
        self._customers = CustomerPermitTable(replica, clock, self.serve)
        self._draining = False
        self._wake = Signal()
        self._loop = None
        hub.register(EntrySetAck, self._on_ack)
        hub.on_connected(self._on_connected)
        entry_set.subscribe(self._on_entry_set)
        entry_set.set_in_use_counter(lambda: self.in_use)

    def start(self):
        """Run the periodic work in a greenlet."""
        self._loop = gevent.spawn(self._run)

    def stop(self):
        if self._loop is not None:
            self._loop.kill()

    def acquire(self, customer, request_id, timeout_seconds) -> Permit:
        """Return a permit, waiting up to `timeout_seconds` for one.

        Raises `ConcurrencyExceeded` if none became free and `UnknownCustomer` if there
        is no contract.
        """
        deadline = self._clock() + timeout_seconds
        waiter = self.enqueue(customer, request_id)
        try:
            while waiter.permit is None:
                remaining = deadline - self._clock()
                if remaining <= 0:
                    raise ConcurrencyExceeded(
                        f"no permit of customer {customer!r} became free in "
                        f"{timeout_seconds} s"
                    )
                state = self.customer(customer)
                if state is None:
                    raise UnknownCustomer(f"customer {customer!r} has no contract")
                self._borrowing.wait(state, waiter, remaining)
        except BaseException:
            self.cancel(waiter)
            raise
        return waiter.permit

    def enqueue(self, customer: str, request_id: str) -> Waiter:
        """Put a request at the end of the customer's queue and serve the queue."""
        state = self.customer(customer)
        if state is None or state.concurrency == 0:
            raise UnknownCustomer(f"customer {customer!r} has no contract")
        waiter = Waiter(customer, request_id)
        state.add_waiter(waiter)
        state.next_sweep = 0.0
        self.serve(state)
        return waiter

    def cancel(self, waiter: Waiter):
        """Take a request off the queue and give up a permit it may have got."""
        state = self._customers.in_use(waiter.customer)
        if waiter.permit is not None:
            self.release(waiter.permit)
        elif state is not None and state.remove_waiter(waiter):
            self._cancel_loans_if_unused(state)

    def release(self, permit: Permit):
        """End the use of a permit; a second release has no effect."""
        state = self._customers.in_use(permit.customer)
        if state is None or state.in_use.get(permit.number) != permit:
            return
        self.end_use(state, permit.number)
        if permit.loan and permit.lender != self._local:
            self._loans.give_back(permit)
            self._borrowing.ask(state, permit.lender)
        self.serve(state)

    def end_use(self, state: CustomerPermits, number: int):
        """Forget that a permit is in use here, and tell peers that wait for it."""
        del state.in_use[number]
        state.put_back(
            number, self._rights_key(), lambda number: self._is_usable(state, number)
        )
        if number in state.carried:
            state.carried.discard(number)
            self._sender.schedule()
            self._wake.set()

    def customer(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer, or `None` without a contract."""
        return self._customers.get(customer)

    def customer_in_use(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer that has some in use here."""
        return self._customers.in_use(customer)

    def is_known_dead(self, member: EntryMember) -> bool:
        return self._entry_set.is_known_dead(member)

    def owns_any(self, state: CustomerPermits) -> bool:
        """Whether this entry is an owner of permits and stays one for now."""
        if self._entry_set.leaving or not self._entry_set.is_member:
            return False
        return bool(state.own_numbers(self._entry_set.ownership, self._local))

    def take_own(self, state: CustomerPermits) -> int | None:
        """Return the number of a free permit that this entry may use, or `None`."""
        if self._entry_set.leaving or not self._entry_set.is_member:
            return None
        return state.take_available(
            self._rights_key(),
            lambda number: self._is_usable(state, number),
            self._entry_set.ownership,
            self._local,
        )

    def serve(self, state: CustomerPermits):
        """Give free permits to the requests that wait, in their order."""
        while True:
            # A draining entry goes on lending.
            waiter = state.first_waiter(local=False if self._draining else None)
            number = self.take_own(state) if waiter is not None else None
            if number is None:
                return
            state.remove_waiter(waiter)
            if isinstance(waiter, RemoteWaiter):
                self._loans.lend(state, number, waiter)
            else:
                self._grant(state, waiter, Permit(state.customer, number))

    def accept_loan(self, permit: Permit):
        """Give a borrowed permit to the first request that waits, or return it."""
        state = self.customer(permit.customer)
        waiter = state.first_waiter(local=True) if state is not None else None
        if waiter is None:
            self._loans.give_back(permit)
        elif permit.number in state.in_use:
            log_event(
                Event.PERMIT_LENT_TWICE,
                customer=permit.customer,
                permit=permit.number,
                lender=permit.lender,
            )
            self._loans.give_back(permit)
        else:
            state.remove_waiter(waiter)
            state.prefer(permit.lender)
            self._grant(state, waiter, permit)
            self._borrowing.ask(state, permit.lender)

    def _grant(self, state, waiter, permit):
        permit = permit._replace(request_id=waiter.request_id)
        state.in_use[permit.number] = waiter.permit = permit
        waiter.ready.set()
        self._cancel_loans_if_unused(state)

    def _cancel_loans_if_unused(self, state):
        if not state.local_waiters:
            self._loans.cancel(state.customer)

    def may_borrow(self) -> bool:
        """Whether a loan to this entry would be seen by all members."""
        if self._draining:
            return False
        return self._entry_set.is_member or self._acks.confirms_guest()

    def lenders(self, state: CustomerPermits) -> list[str]:
        """Return the owners to ask for a loan, best first."""
        return self._borrowing.lenders(state)

    def borrow(self, lender: str, customer: str) -> PendingLoan | None:
        """Ask `lender` for a permit; `None` if it cannot be asked now.

        The loan goes to the request of the customer that has waited longest.
        """
        return self._borrowing.ask(self.customer(customer), lender)

    def drain(self):
        """Grant and borrow nothing more; permits in use stay in use.

        Free permits are lent until the entry leaves the set, as that may take as long
        as the longest request.
        """
        self._draining = True

    @property
    def in_use(self) -> int:
        """Permits in use by requests of this entry."""
        return sum(
            not (permit.loan and permit.lender == self._local)
            for state in self._customers
            for permit in state.in_use.values()
        )

    def dump(self) -> dict:
        return {
            "entry_set": self._entry_set.dump(),
            "missing_acknowledgements": self._acks.missing(),
            "guests": [guest.node for guest in self._acks.guests],
            "loans": self._loans.dump(),
            "customers": {
                state.customer: {
                    "in_use": len(state.in_use),
                    "waiting": len(state.waiters),
                    "carried": sorted(state.carried),
                    "busy_elsewhere": sorted(self._acks.busy(state.customer)),
                }
                for state in self._customers
                if not state.idle
            },
        }

    def tick(self):
        """Do the periodic work: late acknowledgements, lost loans, idle customers."""
        self._sender.send_due()
        self._acks.forget_dead()
        self._loans.tick()
        self._customers.forget_idle()
        for state in self._customers:
            self.serve(state)

    def _run(self):
        while True:
            self._wake.wait(_TICK_SECONDS)
            self._wake.clear()
            try:
                self.tick()
            except Exception as error:  # the loop must outlive any fault of one round
                log_event(Event.INTERNAL_ERROR, error=repr(error))
            gevent.sleep(_TICK_SECONDS)

    def _order_lenders(self, state):
        state.own_numbers(self._entry_set.ownership, self._local)

    def _rights_key(self):
        return self._acks.generation, self._entry_set.version

    def _is_usable(self, state, number):
        if number in self._acks.busy(state.customer):
            return False
        return self._acks.all_acknowledged or self._acks.was_owner(
            state.customer, number, state.home
        )

    def _on_entry_set(self, previous, current):
        for state in self._customers:
            for number, permit in state.in_use.items():
                holder = permit.lender or self._local
                owner = current.owner(state.customer, number, state.home)
                if owner != holder:
                    state.carried.add(number)
        self._loans.drop_pending_outside(current)
        self._acks.adopted(previous)
        self._sender.send_to_all()
        for state in self._customers:
            self.serve(state)

    def _list_busy(self):
        return tuple(
            BusyPermit(state.customer, number)
            for state in self._customers
            for number in sorted(state.carried)
        )

    def _on_connected(self, connection):
        if connection.peer.kind == "entry":
            self._sender.send_on_connection(connection)
            self._loans.reconcile(connection)

    def _on_ack(self, connection, ack):
        peer = connection.peer
        if peer.kind != "entry":
            return
        self._entry_set.observe_version(ack.version)
        identity = EntryMember(
            peer.node, peer.incarnation, peer.address, peer.data_centre
        )
        generation = self._acks.generation
        is_new_guest = self._acks.receive(identity, ack)
        if is_new_guest:
            self._sender.send_on_connection(connection)
        if self._acks.generation != generation:
            for state in self._customers:
                self.serve(state)
