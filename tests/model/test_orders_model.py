"""Orders: no stale order takes effect on a request, also on engines without a check.

Guards against a change of the order procedure that gives work to an engine which obeyed
an older order, or takes a result that the engine computed with another configuration.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.orders_model import CHECKING, INVARIANTS, OrdersModel, State

REACHABLE = {
    "second incarnation opens": lambda state: state.sidecars[1].opened is not None,
    "both are open": lambda state: all(
        sidecar.opened is not None for sidecar in state.sidecars
    ),
}
STALE = {"stale order is obeyed": lambda state: state.went_back}


def test_rules_hold_with_an_engine_that_ignores_numbers():
    model = OrdersModel(checks_fencing=False)
    prove(State(), model.steps, INVARIANTS, {**REACHABLE, **STALE}, 84834)


def test_rules_hold_with_an_engine_that_checks_numbers():
    model = OrdersModel(checks_fencing=True)
    prove(State(), model.steps, CHECKING, REACHABLE, 60190)


CAUGHT = {
    "opens before the answer": "newest sidecar serves what the engine holds",
    "one number for each incarnation": "engine never goes back",
    "results name the version only": "no stale order takes effect on a request",
    "results are not compared": "no stale order takes effect on a request",
}


@pytest.mark.parametrize("broken", OrdersModel.BROKEN)
def test_broken_rule_is_found(broken):
    model = OrdersModel(checks_fencing=True, broken=broken)
    assert refute(State(), model.steps, CHECKING, CAUGHT[broken])
