"""One entry's view of the permits of a customer."""

from collections import deque
from typing import NamedTuple

from gevent.event import Event as Signal

from bulrushdrum._internal.peering.shared_state_messages import EntryMember


class Permit(NamedTuple):
    """Permission to run one request.

    `loan` and `lender` are empty unless the permit is borrowed or lent.
    """

    customer: str
    number: int
    request_id: str = ""
    loan: str = ""
    lender: str = ""


class Waiter:
    """A local request that waits for a permit.

    `state_changed` is set when the permit is granted or a loan request is answered.
    """

    def __init__(self, customer: str, request_id: str):
        self.customer = customer
        self.request_id = request_id
        self.permit: Permit | None = None
        self.state_changed = Signal()


class RemoteWaiter(NamedTuple):
    """A loan request of another entry that waits for a permit of this one."""

    customer: str
    loan: str
    borrower: EntryMember


class CustomerPermits:
    """The permits of one customer that are owned, in use, lent or borrowed here.

    `in_use_after_transfer` holds the permits in use here whose owner has changed since
    they were granted. Acknowledgements list them as busy until they are released.
    """

    def __init__(self, customer, concurrency, home_region):
        self.customer = customer
        self.concurrency = concurrency
        self.home_region = home_region
        self.in_use: dict[int, Permit] = {}
        self.in_use_after_transfer: set[int] = set()
        self.waiters: deque[Waiter | RemoteWaiter] = deque()
        self.local_waiters = 0
        self.lenders: list[str] = []
        self.active_rounds = 0
        self.failed_rounds = 0
        self.next_round_at = 0.0
        self.last_used = 0.0
        self._ownership_key = None
        self._own_numbers: list[int] = []
        self._own_number_set: frozenset[int] = frozenset()
        self._available: list[int] = []
        self._available_key = None

    @property
    def is_idle(self) -> bool:
        return not self.in_use and not self.waiters

    def add_waiter(self, waiter):
        self.waiters.append(waiter)
        self.local_waiters += isinstance(waiter, Waiter)

    def remove_waiter(self, waiter) -> bool:
        """Remove a waiter from the queue; return false if it is not queued."""
        if waiter not in self.waiters:
            return False
        self.waiters.remove(waiter)
        self.local_waiters -= isinstance(waiter, Waiter)
        return True

    def first_waiter(self, local: bool | None = None):
        """Return the first waiter, or `None`.

        `local=True` selects requests of this entry, `local=False` those of others.
        """
        for waiter in self.waiters:
            if local is None or isinstance(waiter, Waiter) == local:
                return waiter
        return None

    def own_numbers(self, ownership, local: str) -> list[int]:
        """Return the numbers owned by `local`, and update `lenders`.

        The other owners are sorted by their lowest permit and then rotated by an offset
        derived from `local`, so that entries do not all ask the same owner first.
        """
        key = (ownership, self.home_region, self.concurrency)
        if self._ownership_key != key:
            incarnations, owners = ownership.owners(
                self.customer, self.concurrency, self.home_region
            )
            self._own_numbers = [
                number
                for number, index in enumerate(owners)
                if incarnations[index] == local
            ]
            self._own_number_set = frozenset(self._own_numbers)
            ordered = [incarnations[index] for index in dict.fromkeys(owners)]
            offset = sum(local.encode()) % len(ordered) if ordered else 0
            ordered = ordered[offset:] + ordered[:offset]
            self.lenders = [owner for owner in ordered if owner != local]
            self._ownership_key = key
            self._available_key = None
        return self._own_numbers

    def take_available(self, key, is_usable, ownership, local) -> int | None:
        """Return the number of a free permit, or `None`.

        The results of `is_usable(number)` are cached until `key` changes.
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

    def make_available(self, number, key, is_usable):
        """Add a released permit to the free ones if this entry may use it.

        It may not if the permit was borrowed or has changed owner while in use.
        """
        if (
            self._available_key == key
            and number in self._own_number_set
            and is_usable(number)
        ):
            self._available.append(number)

    def invalidate(self):
        """Discard the cached list of free permits."""
        self._available_key = None

    def move_lender_to_front(self, lender: str):
        """Ask `lender` first from now on, because it had a free permit."""
        if lender in self.lenders:
            self.lenders.remove(lender)
            self.lenders.insert(0, lender)
