"""The permits of recently active customers, updated from their contracts."""

from collections.abc import Callable

from bulrushdrum._internal.limits.customer_permits import CustomerPermits

_IDLE_TIMEOUT_SECONDS = 60.0


class CustomerPermitTable:
    """Holds a `CustomerPermits` for each recently active customer.

    The home region of a contract is fixed at creation (edits that change it are
    refused), so the owner of a permit changes only with the entry set.
    `on_contract_changed(state)` is called after a contract of a held customer changes.
    """

    def __init__(
        self,
        replica,
        clock: Callable[[], float],
        on_contract_changed: Callable[[CustomerPermits], None],
    ):
        self._replica = replica
        self._clock = clock
        self._on_contract_changed = on_contract_changed
        self._states: dict[str, CustomerPermits] = {}
        replica.subscribe(self._on_config_entry)

    def __iter__(self):
        return iter([*self._states.values()])

    def get_existing(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer if they are held here, or `None`."""
        return self._states.get(customer)

    def get_or_create(self, customer: str) -> CustomerPermits | None:
        """Return the permits of a customer, or `None` if it has no contract."""
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

    def remove_idle(self):
        """Remove customers without requests for `_IDLE_TIMEOUT_SECONDS`."""
        cutoff = self._clock() - _IDLE_TIMEOUT_SECONDS
        for state in self:
            if state.is_idle and state.last_used < cutoff:
                del self._states[state.customer]

    def _on_config_entry(self, entry):
        state = self._states.get(entry.key) if entry.kind == "contract" else None
        if state is not None:
            contract = self._replica.contract(entry.key)
            state.concurrency = contract.concurrency if contract else 0
            self._on_contract_changed(state)
