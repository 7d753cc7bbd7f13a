"""Bindings: at most one run, and "not run" is and stays true.

Guards against a change of the protocol that loses one of these, and against a model
that has grown too weak to notice: each rule that is left out must be found.
"""

import pytest
from tests.model.bindings_model import (
    INVARIANTS,
    BindingsModel,
    Bounds,
    State,
    released_row,
)
from tests.model.checking import prove, refute

NEW_KEY = State()
# A key that an earlier sending of the caller was told did not run.
REFUSED_KEY = State(row=released_row(0, by=2))

REACHABLE = {
    "answered by the resend": lambda state: state.entries[1].at == "answered",
    "told not run": lambda state: state.told_not_run,
    "moved": lambda state: state.row is not None and state.row.generation == 1,
}

CONFIGURATIONS = {
    "moves": (NEW_KEY, Bounds(generation=3), 42239),
    "moves and restarts": (NEW_KEY, Bounds(generation=2, incarnation=1), 28750),
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


RUN, TRUTH = "at most one run", "not run is true"
WINDOWS, FULL = Bounds(window=2), Bounds(window=1, full=True)
CAUGHT = {
    "expired is not run": (NEW_KEY, WINDOWS, RUN),
    "forgets early": (NEW_KEY, WINDOWS, RUN),
    "forgets by last window": (NEW_KEY, WINDOWS, RUN),
    "cancels first generation only": (REFUSED_KEY, Bounds(generation=2), RUN),
    "moves without answer": (NEW_KEY, Bounds(), RUN),
    "trusts lost write": (NEW_KEY, Bounds(), RUN),
    "no release": (NEW_KEY, Bounds(), TRUTH),
    "trusts the release of another": (REFUSED_KEY, Bounds(generation=2), TRUTH),
    "reopens for a caller who left": (NEW_KEY, Bounds(), TRUTH),
    "store down is not run": (NEW_KEY, Bounds(), TRUTH),
    "absent row is not run": (NEW_KEY, Bounds(), TRUTH),
    "full without closing": (NEW_KEY, FULL, RUN),
    "refusal leaves no trace": (NEW_KEY, Bounds(), RUN),
}


@pytest.mark.parametrize("broken", BindingsModel.BROKEN)
def test_broken_rule_is_found(broken):
    initial, bounds, violated = CAUGHT[broken]
    assert refute(initial, BindingsModel(bounds, broken).steps, INVARIANTS, violated)
