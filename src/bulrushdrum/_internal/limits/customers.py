"""The customers with permits at one entry, kept in step with their contracts.

A change of a customer's home region changes the owners of its permits, so this module
tracks by which configuration revision the present home was in force.
"""

from collections.abc import Callable

from bulrushdrum._internal.limits.customer_permits import CustomerPermits

_IDLE_SECONDS = 60.0


class Customers:
    """The customers that were used lately.

    `on_new(state)` is called for each that comes into use, `on_contract(state)` after
    each change of a contract, `on_home()` after changes of home regions, and
    `on_revision()` when a later configuration revision is in force.
    """

    def __init__(
        self,
        replica,
        clock: Callable[[], float],
        on_new: Callable[[CustomerPermits], None],
        on_contract: Callable[[CustomerPermits], None],
        on_home: Callable[[], None],
        on_revision: Callable[[], None],
    ):
        self._replica = replica
        self._clock = clock
        self._on_new = on_new
        self._on_contract = on_contract
        self._on_home = on_home
        self._on_revision = on_revision
        self._states: dict[str, CustomerPermits] = {}
        # Homes as last seen, kept for the life of the process: a contract edit that
        # leaves the home as it is must not cost a round of acknowledgements.
        self._homes: dict[str, str] = {}
        self._home_revisions: dict[str, int] = {}
        self._revision = self._home_floor = replica.revision
        replica.subscribe(self._on_config)

    def __iter__(self):
        return iter([*self._states.values()])

    @property
    def revision(self) -> int:
        """The configuration revision whose home regions are in force here."""
        return self._revision

    def in_use(self, customer: str) -> CustomerPermits | None:
        """Return a customer that is in use already, or `None`."""
        return self._states.get(customer)

    def get(self, customer: str) -> CustomerPermits | None:
        """Return a customer, or `None` without a contract."""
        self.catch_up()
        state = self._states.get(customer)
        if state is None:
            contract = self._replica.contract(customer)
            if contract is None:
                return None
            self._homes[customer] = contract.home_region
            state = self._states[customer] = CustomerPermits(
                customer,
                contract.concurrency,
                contract.home_region,
                max(self._home_floor, self._home_revisions.get(customer, 0)),
            )
            self._on_new(state)
        state.last_used = self._clock()
        return state

    def forget_idle(self):
        before = self._clock() - _IDLE_SECONDS
        for state in self:
            if state.idle and state.last_used < before:
                del self._states[state.customer]

    def catch_up(self):
        """Take the replica's state after entries that were not seen one by one.

        Changes of homes may have been skipped, so no earlier right is kept.
        """
        if self._replica.revision <= self._revision:
            return
        self._home_floor = self._revision = self._replica.revision
        for state in self:
            self._reload(state)
            self._change_home(state, self._revision)
        self._on_revision()
        self._on_home()

    def _on_config(self, entry):
        if entry.revision == self._replica.revision == self._revision + 1:
            self._revision = entry.revision
            self._on_revision()
        else:
            self.catch_up()
        if entry.kind == "contract":
            self._apply_contract(entry.key, entry.revision)

    def _apply_contract(self, customer, revision):
        contract = self._replica.contract(customer)
        home = contract.home_region if contract else ""
        changed = self._homes.get(customer) != home
        self._homes[customer] = home
        if changed:
            self._home_revisions[customer] = revision
        state = self._states.get(customer)
        if state is None:
            return
        self._reload(state)
        if changed:
            self._change_home(state, revision)
            self._on_home()
        self._on_contract(state)

    def _reload(self, state):
        contract = self._replica.contract(state.customer)
        state.concurrency = contract.concurrency if contract else 0
        state.home = contract.home_region if contract else ""
        self._homes[state.customer] = state.home

    def _change_home(self, state, revision):
        state.home_revision = max(state.home_revision, revision)
        state.carried.update(state.in_use)
        state.invalidate()
