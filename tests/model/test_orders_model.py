"""Orders: no stale order takes effect on a request, also on engines without fencing.

Guards against a change of the order procedure that uses an engine which applied an
older order, or accepts a result that was computed with another configuration.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.orders_model import FENCING_INVARIANTS, INVARIANTS, OrdersModel, State

REACHABLE = {
    "second incarnation opens": lambda state: state.sidecars[1].opened is not None,
    "both are open": lambda state: all(
        sidecar.opened is not None for sidecar in state.sidecars
    ),
}
STALE = {"a stale order is applied": lambda state: state.regressed}


def test_rules_hold_with_an_engine_that_ignores_numbers():
    model = OrdersModel(checks_fencing=False)
    prove(State(), model.steps, INVARIANTS, {**REACHABLE, **STALE}, 84834)


def test_rules_hold_with_an_engine_that_checks_numbers():
    model = OrdersModel(checks_fencing=True)
    prove(State(), model.steps, FENCING_INVARIANTS, REACHABLE, 60190)


DETECTED_BY = {
    "opens before the response": "newest sidecar matches the engine",
    "uses one number for each incarnation": "engine never regresses",
    "compares only the version of results": "no stale order takes effect on a request",
    "does not compare results": "no stale order takes effect on a request",
}


@pytest.mark.parametrize("mutation", OrdersModel.MUTATIONS)
def test_mutation_is_detected(mutation):
    model = OrdersModel(checks_fencing=True, mutation=mutation)
    assert refute(State(), model.steps, FENCING_INVARIANTS, DETECTED_BY[mutation])
