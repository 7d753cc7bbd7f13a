"""Concurrency limits: acquiring and releasing permits.

An entry uses its own permits first and otherwise borrows one from an owner for the
length of the request. Requests of one customer are served first come, first served at
each entry.
"""

import random
import time
from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.limits.ack_sending import AckSender
from bulrushdrum._internal.limits.acknowledgements import Acknowledgements
from bulrushdrum._internal.limits.customer_permits import (
    CustomerPermits,
    Permit,
    Waiter,
)
from bulrushdrum._internal.limits.customers import Customers
from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.errors import ConcurrencyExceeded, UnknownCustomer
from bulrushdrum._internal.limits.loans import Loans, PendingLoan
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.messages import (
    BusyPermit,
    EntryMember,
    EntrySetAck,
)

# One failed round over all owners in four shows that none has a free permit; more at
# once would only load the owners.
_MAX_SWEEPS = 4
_MAX_PAUSE_FACTOR = 8
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
        self._settings = settings
        self._clock = clock
        self._local = entry_set.local.incarnation
        self._random = random.Random(self._local)
        self._acks = Acknowledgements(entry_set, self._own_revision)
        self._loans = Loans(hub, self, settings, clock)
        self._sender = AckSender(
            hub, entry_set, self._acks, self._list_busy, self._own_revision
        )
        self._customers = Customers(
            replica,
            clock,
            lambda state: self._sender.send_if_older(state.home_revision),
            self.serve,
            self._sender.send_to_all,
            self._acks.note_own_revision,
        )
        self._draining = False
        self._wake = Signal()
        self._loop = None
        hub.register(EntrySetAck, self._on_ack)
        hub.on_connected(self._on_connected)
        hub.on_lost(self._sender.forget)
        entry_set.subscribe(self._on_entry_set)
        entry_set.keep_while(lambda: self.in_use)

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
                self._wait(waiter, remaining)
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
        state.waiters.append(waiter)
        self.serve(state)
        return waiter

    def cancel(self, waiter: Waiter):
        """Take a request off the queue and give up a permit it may have got."""
        state = self._customers.in_use(waiter.customer)
        if waiter.permit is not None:
            self.release(waiter.permit)
        elif state is not None and waiter in state.waiters:
            state.waiters.remove(waiter)
            # The next in line may not have tried to borrow while it was not first.
            if state.waiters:
                state.waiters[0].ready.set()

    def release(self, permit: Permit):
        """End the use of a permit; a second release has no effect."""
        state = self._customers.in_use(permit.customer)
        if state is None or state.in_use.get(permit.number) != permit:
            return
        self.end_use(state, permit.number)
        if permit.loan and permit.lender != self._local:
            self._loans.give_back(permit)
        self.serve(state)

    def end_use(self, state: CustomerPermits, number: int):
        """Forget that a permit is in use here, and tell peers that wait for it."""
        del state.in_use[number]
        state.put_back(
            number, self._rights_key(), lambda number: self._is_usable(state, number)
        )
        if number in state.carried:
            state.carried.discard(number)
            self._sender.make_due()
            self._wake.set()

    def customer(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer, or `None` without a contract."""
        return self._customers.get(customer)

    def customer_in_use(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer that has some in use here."""
        return self._customers.in_use(customer)

    def is_known_dead(self, member: EntryMember) -> bool:
        return self._entry_set.is_known_dead(member)

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
        while state.waiters and not self._draining:
            number = self.take_own(state)
            if number is None:
                return
            waiter = state.waiters.popleft()
            permit = Permit(state.customer, number, waiter.request_id)
            state.in_use[number] = waiter.permit = permit
            waiter.ready.set()

    def accept_loan(self, permit: Permit):
        """Give a borrowed permit to the first request that waits, or return it."""
        state = self.customer(permit.customer)
        if state is None or permit.number in state.in_use:
            if state is not None:
                log_event(
                    Event.PERMIT_LENT_TWICE,
                    customer=permit.customer,
                    permit=permit.number,
                    lender=permit.lender,
                )
            self._loans.give_back(permit)
            return
        if not state.waiters:
            self._loans.give_back(permit)
            return
        waiter = state.waiters.popleft()
        permit = permit._replace(request_id=waiter.request_id)
        state.in_use[permit.number] = waiter.permit = permit
        state.prefer(permit.lender)
        state.failed_sweeps = 0
        waiter.ready.set()

    def may_borrow(self) -> bool:
        """Whether a loan to this entry would be seen by all members."""
        if self._draining:
            return False
        return self._entry_set.is_member or self._acks.confirms_guest()

    def lenders(self, state: CustomerPermits) -> Iterable[str]:
        """Return the owners to ask for a loan, best first."""
        state.own_numbers(self._entry_set.ownership, self._local)
        return [
            lender
            for lender in state.lenders
            if self._hub.connection_to(lender) is not None
        ]

    def borrow(self, lender: str, waiter: Waiter) -> PendingLoan | None:
        """Ask `lender` for a permit; `None` if it cannot be asked now.

        The loan goes to the request of the customer that has waited longest.
        """
        if not self.may_borrow():
            return None
        return self._loans.ask(lender, waiter)

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
        self._customers.catch_up()
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

    def _wait(self, waiter, remaining):
        state = self.customer(waiter.customer)
        now = self._clock()
        if state is None:
            gevent.sleep(min(remaining, self._settings.borrow_pause))
        elif state.sweeps < _MAX_SWEEPS and now >= state.next_sweep:
            state.sweeps += 1
            try:
                self._sweep(state, waiter, now + remaining)
            finally:
                state.sweeps -= 1
        else:
            pause = max(state.next_sweep - now, self._settings.borrow_pause)
            waiter.ready.wait(min(remaining, pause * self._random.uniform(0.5, 1.0)))
            waiter.ready.clear()

    def _sweep(self, state, waiter, deadline):
        """Ask the owners one after the other until the request has a permit."""
        for lender in self.lenders(state) if self.may_borrow() else ():
            waiter.ready.clear()
            pending = self.borrow(lender, waiter)
            limit = self._clock() + self._settings.borrow_timeout
            while pending is not None and not pending.answered:
                remaining = min(limit, deadline) - self._clock()
                if waiter.permit is not None or remaining <= 0:
                    break
                waiter.ready.wait(remaining)
                waiter.ready.clear()
            if waiter.permit is not None or self._clock() >= deadline:
                return
            if pending is not None and pending.granted:
                return  # an earlier request in the queue got the loan
        factor = min(_MAX_PAUSE_FACTOR, 1 << min(state.failed_sweeps, 8))
        pause = self._settings.borrow_pause * factor * self._random.uniform(0.5, 1.5)
        state.failed_sweeps += 1
        state.next_sweep = self._clock() + pause

    def _rights_key(self):
        return self._acks.generation, self._entry_set.version

    def _is_usable(self, state, number):
        if number in self._acks.busy(state.customer):
            return False
        return self._acks.settled(state.home_revision) or self._acks.was_owner(
            state.customer, number, state.home, state.home_revision
        )

    def _on_entry_set(self, previous, current):
        for state in self._customers:
            for number, permit in state.in_use.items():
                holder = permit.lender or self._local
                owner = current.owner(state.customer, number, state.home)
                if owner != holder:
                    state.carried.add(number)
        self._loans.drop_pending_outside(current.entry_set)
        self._acks.adopted(previous)
        self._sender.send_to_all()
        for state in self._customers:
            self.serve(state)

    def _own_revision(self):
        return self._customers.revision

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
        is_new_guest = self._acks.receive(identity, ack)
        self._sender.answer(connection, ack, is_new_guest)
        for state in self._customers:
            self.serve(state)
