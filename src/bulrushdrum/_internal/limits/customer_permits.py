"""The permits of one customer, as one entry sees them."""

from collections import deque
from typing import NamedTuple

from gevent.event import Event as Signal

from bulrushdrum._internal.peering.messages import EntryMember


class Permit(NamedTuple):
    """The right to run one request.

    `loan` and `lender` are empty unless the permit is borrowed.
    """

    customer: str
    number: int
    request_id: str = ""
    loan: str = ""
    lender: str = ""


class Waiter:
    """A request that waits for a permit; `ready` is set when something has changed."""

    def __init__(self, customer: str, request_id: str):
        self.customer = customer
        self.request_id = request_id
        self.permit: Permit | None = None
        self.ready = Signal()


class RemoteWaiter(NamedTuple):
    """A request for a loan from another entry that waits for a permit of this one."""

    customer: str
    loan: str
    borrower: EntryMember


class CustomerPermits:
    """Permits of one customer that are owned, in use, lent or borrowed here.

    `carried` are the permits in use here under an ownership that has ended; they
    are listed in acknowledgements until they are released.
    """

    def __init__(self, customer, concurrency, home):
        self.customer = customer
        self.concurrency = concurrency
        self.home = home
        self.in_use: dict[int, Permit] = {}
        self.carried: set[int] = set()
        self.waiters: deque[Waiter | RemoteWaiter] = deque()
        self.local_waiters = 0
        self.lenders: list[str] = []
        self.sweeps = 0
        self.failed_sweeps = 0
        self.next_sweep = 0.0
        self.last_used = 0.0
        self._owner_key = None
        self._own: list[int] = []
        self._own_set: frozenset[int] = frozenset()
        self._available: list[int] = []
        self._available_key = None

    @property
    def idle(self) -> bool:
        return not self.in_use and not self.waiters

    def add_waiter(self, waiter):
        self.waiters.append(waiter)
        self.local_waiters += isinstance(waiter, Waiter)

    def remove_waiter(self, waiter) -> bool:
        """Take a waiter off the queue; return false if it is not there."""
        if waiter not in self.waiters:
            return False
        self.waiters.remove(waiter)
        self.local_waiters -= isinstance(waiter, Waiter)
        return True

    def first_waiter(self, local: bool | None = None):
        """Return the first waiter, of this entry or of others if `local` is given."""
        for waiter in self.waiters:
            if local is None or isinstance(waiter, Waiter) == local:
                return waiter
        return None

    def own_numbers(self, ownership, local: str) -> list[int]:
        """Return the numbers owned by `local`, and order the other owners as lenders.

        The others come in the order of their lowest permit, starting after a place that
        depends on `local`, so that entries do not all ask the same owner first.
        """
        key = (ownership, self.home, self.concurrency)
        if self._owner_key != key:
            incarnations, owners = ownership.owners(
                self.customer, self.concurrency, self.home
            )
            self._own = [
                number
                for number, index in enumerate(owners)
                if incarnations[index] == local
            ]
            self._own_set = frozenset(self._own)
            ordered = [incarnations[index] for index in dict.fromkeys(owners)]
            start = sum(local.encode()) % len(ordered) if ordered else 0
            ordered = ordered[start:] + ordered[:start]
            self.lenders = [owner for owner in ordered if owner != local]
            self._owner_key = key
            self._available_key = None
        return self._own

    def take_available(self, key, is_usable, ownership, local) -> int | None:
        """Return a free permit's number, or `None`.

        `is_usable(number)` is asked again only when `key` has changed.
        """
        own = self.own_numbers(ownership, local)
        if self._available_key != key:
            self._available = [
                number
                for number in reversed(own)
                if number not in self.in_use and is_usable(number)
            ]
            self._available_key = key
        while self._available:
            number = self._available.pop()
            if number not in self.in_use:
                return number
        return None

    def put_back(self, number, key, is_usable):
        """Make a released number available if this entry may use it.

        It may not if it was borrowed, or if its owner has changed while it was in use.
        """
        if self._available_key == key and number in self._own_set and is_usable(number):
            self._available.append(number)

    def invalidate(self):
        """Ask again which permits are usable."""
        self._available_key = None

    def prefer(self, lender: str):
        """Ask `lender` first from now on, because it had a free permit."""
        if lender in self.lenders:
            self.lenders.remove(lender)
            self.lenders.insert(0, lender)
