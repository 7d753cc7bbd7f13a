"""Concurrency limits: acquiring and releasing permits.

An entry uses its own permits first and otherwise borrows one from an owner for the
duration of the request. Each entry serves the requests of a customer in order of
arrival.
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
from bulrushdrum._internal.peering.shared_state_messages import (
    BusyPermit,
    EntryMember,
    EntrySetAck,
)

_MAINTENANCE_INTERVAL_SECONDS = 0.25


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
        self._acknowledgements = Acknowledgements(entry_set)
        self._loans = Loans(hub, self, settings, clock)
        self._borrowing = Borrowing(
            hub, self._loans, self.may_borrow, self._update_lenders, settings, clock
        )
        self._ack_sender = AcknowledgementSender(
            hub, entry_set, self._acknowledgements, self._list_busy
        )
        self._customers = CustomerPermitTable(replica, clock, self.grant_free_permits)
        self._draining = False
        self._wake = Signal()
        self._loop = None
        hub.register(EntrySetAck, self._on_ack)
        hub.on_connected(self._on_connected)
        entry_set.subscribe(self._on_entry_set_changed)
        entry_set.set_in_use_counter(lambda: self.in_use)

    def start(self):
        """Run the periodic maintenance in a greenlet."""
        self._loop = gevent.spawn(self._run)

    def stop(self):
        if self._loop is not None:
            self._loop.kill()

    def acquire(self, customer, request_id, timeout_seconds) -> Permit:
        """Return a permit, waiting up to `timeout_seconds` for one.

        Raises `ConcurrencyExceeded` if none became free and `UnknownCustomer` if the
        customer has no contract.
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
        """Add a request to the customer's queue and grant free permits."""
        state = self.customer(customer)
        if state is None or state.concurrency == 0:
            raise UnknownCustomer(f"customer {customer!r} has no contract")
        waiter = Waiter(customer, request_id)
        state.add_waiter(waiter)
        state.next_round_at = 0.0
        self.grant_free_permits(state)
        return waiter

    def cancel(self, waiter: Waiter):
        """Remove a request from the queue, or release its permit if it has one."""
        state = self._customers.get_existing(waiter.customer)
        if waiter.permit is not None:
            self.release(waiter.permit)
        elif state is not None and state.remove_waiter(waiter):
            self._cancel_loans_without_waiters(state)

    def release(self, permit: Permit):
        """Release a permit; a second release has no effect."""
        state = self._customers.get_existing(permit.customer)
        if state is None or state.in_use.get(permit.number) != permit:
            return
        self.mark_released(state, permit.number)
        if permit.loan and permit.lender != self._local:
            self._loans.return_loan(permit)
            self._borrowing.request_loan(state, permit.lender)
        self.grant_free_permits(state)

    def mark_released(self, state: CustomerPermits, number: int):
        """Mark a permit as no longer in use here and notify peers that wait for it."""
        del state.in_use[number]
        state.make_available(
            number, self._usability_key(), lambda number: self._is_usable(state, number)
        )
        if number in state.in_use_after_transfer:
            state.in_use_after_transfer.discard(number)
            self._ack_sender.schedule()
            self._wake.set()

    def customer(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer, or `None` if it has no contract."""
        return self._customers.get_or_create(customer)

    def existing_customer(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer if they are held here, or `None`."""
        return self._customers.get_existing(customer)

    def is_known_dead(self, member: EntryMember) -> bool:
        return self._entry_set.is_known_dead(member)

    def owns_any(self, state: CustomerPermits) -> bool:
        """Whether this entry owns permits of the customer and is not leaving."""
        if self._entry_set.leaving or not self._entry_set.is_member:
            return False
        return bool(state.own_numbers(self._entry_set.ownership, self._local))

    def take_own(self, state: CustomerPermits) -> int | None:
        """Return the number of a free permit that this entry may use, or `None`."""
        if self._entry_set.leaving or not self._entry_set.is_member:
            return None
        return state.take_available(
            self._usability_key(),
            lambda number: self._is_usable(state, number),
            self._entry_set.ownership,
            self._local,
        )

    def grant_free_permits(self, state: CustomerPermits):
        """Grant free permits to waiting requests in order of arrival."""
        while True:
            # A draining entry continues to lend permits.
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
        """Grant a borrowed permit to the first waiting request, or return it."""
        state = self.customer(permit.customer)
        waiter = state.first_waiter(local=True) if state is not None else None
        if waiter is None:
            self._loans.return_loan(permit)
        elif permit.number in state.in_use:
            log_event(
                Event.PERMIT_LENT_TWICE,
                customer=permit.customer,
                permit=permit.number,
                lender=permit.lender,
            )
            self._loans.return_loan(permit)
        else:
            state.remove_waiter(waiter)
            state.move_lender_to_front(permit.lender)
            self._grant(state, waiter, permit)
            self._borrowing.request_loan(state, permit.lender)

    def _grant(self, state, waiter, permit):
        permit = permit._replace(request_id=waiter.request_id)
        state.in_use[permit.number] = waiter.permit = permit
        waiter.state_changed.set()
        self._cancel_loans_without_waiters(state)

    def _cancel_loans_without_waiters(self, state):
        if not state.local_waiters:
            self._loans.cancel_pending_loans(state.customer)

    def may_borrow(self) -> bool:
        """Whether all members know this entry and it is not draining."""
        if self._draining:
            return False
        return self._entry_set.is_member or self._acknowledgements.is_confirmed_guest()

    def lenders(self, state: CustomerPermits) -> list[str]:
        """Return the connected owners in the order in which to ask them."""
        return self._borrowing.lenders(state)

    def borrow(self, lender: str, customer: str) -> PendingLoan | None:
        """Request a loan; return `None` if `lender` cannot be asked for one now.

        The loan is granted to the customer's request that has waited longest.
        """
        return self._borrowing.request_loan(self.customer(customer), lender)

    def drain(self):
        """Stop granting permits to local requests and stop borrowing.

        Permits in use are not affected. Free permits are lent until the entry leaves
        the set, which may take as long as the longest request.
        """
        self._draining = True

    @property
    def in_use(self) -> int:
        """Number of permits in use by requests of this entry."""
        return sum(
            not (permit.loan and permit.lender == self._local)
            for state in self._customers
            for permit in state.in_use.values()
        )

    def dump(self) -> dict:
        return {
            "entry_set": self._entry_set.dump(),
            "missing_acknowledgements": self._acknowledgements.missing_nodes(),
            "guests": [guest.node for guest in self._acknowledgements.guests],
            "loans": self._loans.dump(),
            "customers": {
                state.customer: {
                    "in_use": len(state.in_use),
                    "waiting": len(state.waiters),
                    "carried": sorted(state.in_use_after_transfer),
                    "busy_elsewhere": sorted(
                        self._acknowledgements.busy_numbers(state.customer)
                    ),
                }
                for state in self._customers
                if not state.is_idle
            },
        }

    def run_maintenance(self):
        """Send scheduled acknowledgements, reclaim loans, remove idle customers."""
        self._ack_sender.send_if_scheduled()
        self._acknowledgements.remove_dead_guests()
        self._loans.run_maintenance()
        self._customers.remove_idle()
        for state in self._customers:
            self.grant_free_permits(state)

    def _run(self):
        while True:
            self._wake.wait(_MAINTENANCE_INTERVAL_SECONDS)
            self._wake.clear()
            try:
                self.run_maintenance()
            except Exception as error:  # a failed iteration must not end the loop
                log_event(Event.INTERNAL_ERROR, error=repr(error))
            gevent.sleep(_MAINTENANCE_INTERVAL_SECONDS)

    def _update_lenders(self, state):
        state.own_numbers(self._entry_set.ownership, self._local)

    def _usability_key(self):
        return self._acknowledgements.generation, self._entry_set.version

    def _is_usable(self, state, number):
        if number in self._acknowledgements.busy_numbers(state.customer):
            return False
        return (
            self._acknowledgements.all_acknowledged
            or self._acknowledgements.has_owned_continuously(
                state.customer, number, state.home_region
            )
        )

    def _on_entry_set_changed(self, previous, current):
        for state in self._customers:
            for number, permit in state.in_use.items():
                holder = permit.lender or self._local
                owner = current.owner(state.customer, number, state.home_region)
                if owner != holder:
                    state.in_use_after_transfer.add(number)
        self._loans.remove_pending_loans_outside(current)
        self._acknowledgements.record_adoption(previous)
        self._ack_sender.send_to_all()
        for state in self._customers:
            self.grant_free_permits(state)

    def _list_busy(self):
        return tuple(
            BusyPermit(state.customer, number)
            for state in self._customers
            for number in sorted(state.in_use_after_transfer)
        )

    def _on_connected(self, connection):
        if connection.peer.kind == "entry":
            self._ack_sender.send_on_connection(connection)
            self._loans.reconcile(connection)

    def _on_ack(self, connection, ack):
        peer = connection.peer
        if peer.kind != "entry":
            return
        self._entry_set.observe_version(ack.version)
        identity = EntryMember(
            peer.node, peer.incarnation, peer.address, peer.data_centre
        )
        generation = self._acknowledgements.generation
        is_new_guest = self._acknowledgements.receive(identity, ack)
        if is_new_guest:
            self._ack_sender.send_on_connection(connection)
        if self._acknowledgements.generation != generation:
            for state in self._customers:
                self.grant_free_permits(state)
