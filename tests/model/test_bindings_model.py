"""Bindings: at most one run, and a reported "not run" is and stays true.

Guards against a protocol change that violates one of these, and against a model that is
too weak to detect it: leaving out any rule must violate an invariant.
"""

import pytest
from tests.model.bindings_model import (
    INVARIANTS,
    BindingsModel,
    Bounds,
    State,
    release_row,
)
from tests.model.checking import prove, refute

NEW_KEY = State()
# A key whose earlier request was already reported as not run.
REFUSED_KEY = State(row=release_row(0, by=2))

REACHABLE = {
    "answered by the resend": lambda state: state.entries[1].phase == "answered",
    "reported not run": lambda state: state.reported_not_run,
    "rebound": lambda state: state.row is not None and state.row.generation == 1,
}

CONFIGURATIONS = {
    "rebinds": (NEW_KEY, Bounds(generation=3), 42239),
    "rebinds and restarts": (NEW_KEY, Bounds(generation=2, incarnation=1), 28750),
    "windows and restarts": (NEW_KEY, Bounds(window=2, incarnation=1), 42514),
    "windows and a full table": (NEW_KEY, Bounds(window=2, full=True), 30360),
    "refused key": (
        REFUSED_KEY,
        Bounds(window=1, generation=2, incarnation=1, full=True),
        43380,
    ),
}


@pytest.mark.parametrize("name", CONFIGURATIONS)
def test_rules_hold(name):
    initial, bounds, states = CONFIGURATIONS[name]
    model = BindingsModel(bounds)
    prove(initial, model.steps, INVARIANTS, REACHABLE, states)


ONE_RUN, NOT_RUN_HOLDS = "at most one run", "not run is reported only if nothing ran"
WINDOWS, FULL = Bounds(window=2), Bounds(window=1, full=True)
DETECTED_BY = {
    "reports expired bindings as not run": (NEW_KEY, WINDOWS, ONE_RUN),
    "evicts keys early": (NEW_KEY, WINDOWS, ONE_RUN),
    "evicts keys by the last window": (NEW_KEY, WINDOWS, ONE_RUN),
    "cancels only the first generation": (REFUSED_KEY, Bounds(generation=2), ONE_RUN),
    "rebinds without a response": (NEW_KEY, Bounds(), ONE_RUN),
    "trusts an unconfirmed write": (NEW_KEY, Bounds(), ONE_RUN),
    "reports not run without a release": (NEW_KEY, Bounds(), NOT_RUN_HOLDS),
    "trusts the release of another entry": (
        REFUSED_KEY,
        Bounds(generation=2),
        NOT_RUN_HOLDS,
    ),
    "reopens for a disconnected caller": (NEW_KEY, Bounds(), NOT_RUN_HOLDS),
    "reports not run when the store is down": (NEW_KEY, Bounds(), NOT_RUN_HOLDS),
    "reports not run when the row is absent": (NEW_KEY, Bounds(), NOT_RUN_HOLDS),
    "refuses when full without closing windows": (NEW_KEY, FULL, ONE_RUN),
    "does not record refusals": (NEW_KEY, Bounds(), ONE_RUN),
}


@pytest.mark.parametrize("mutation", BindingsModel.MUTATIONS)
def test_mutation_is_detected(mutation):
    initial, bounds, violated = DETECTED_BY[mutation]
    assert refute(initial, BindingsModel(bounds, mutation).steps, INVARIANTS, violated)
