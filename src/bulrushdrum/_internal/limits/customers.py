"""The customers with permits at one entry, kept in step with their contracts."""

from collections.abc import Callable

from bulrushdrum._internal.limits.customer_permits import CustomerPermits

_IDLE_SECONDS = 60.0


class CustomerPermitTable:
    """The customers that were used lately.

    A contract's home region is fixed when the contract is made (the editor refuses to
    change it), so the owners of permits change with the entry set only.
    `on_contract(state)` is called after each change of a contract that is in use.
    """

    def __init__(
        self,
        replica,
        clock: Callable[[], float],
        on_contract: Callable[[CustomerPermits], None],
    ):
        self._replica = replica
        self._clock = clock
        self._on_contract = on_contract
        self._states: dict[str, CustomerPermits] = {}
        replica.subscribe(self._on_config)

    def __iter__(self):
        return iter([*self._states.values()])

    def in_use(self, customer: str) -> CustomerPermits | None:
        """Return a customer that is in use already, or `None`."""
        return self._states.get(customer)

    def get(self, customer: str) -> CustomerPermits | None:
        """Return a customer, or `None` without a contract."""
        state = self._states.get(customer)
        if state is None:
            contract = self._replica.contract(customer)
            if contract is None:
                return None
            state = self._states[customer] = CustomerPermits(
                customer, contract.concurrency, contract.home_region
            )
        state.last_used = self._clock()
        return state

    def forget_idle(self):
        before = self._clock() - _IDLE_SECONDS
        for state in self:
            if state.idle and state.last_used < before:
                del self._states[state.customer]

    def _on_config(self, entry):
        state = self._states.get(entry.key) if entry.kind == "contract" else None
        if state is not None:
            contract = self._replica.contract(entry.key)
            state.concurrency = contract.concurrency if contract else 0
            self._on_contract(state)
