"""Permits: usage never exceeds the concurrency limit while the entry set changes.

Guards against a change of the handover or of loans that lets two entries use one permit
when entries join, die, are partitioned or paused, or messages are lost or late.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.permits_model import INVARIANTS, SCRIPTS, A, B, C, PermitsModel

JOINS, RETURNS, DIES, DIES_AFTER_JOIN = SCRIPTS
REACHABLE = {
    "last owner uses it": lambda state: any(
        entry.using == (index, None) and entry.version == state.newest > 0
        for index, entry in enumerate(state.entries)
    ),
    "a loan is used": lambda state: any(
        entry.using and entry.using[1] for entry in state.entries
    ),
}
CONFIGURATIONS = {
    JOINS: (frozenset({A, B}), 9251),
    RETURNS: (frozenset({B}), 42699),
    DIES: (frozenset({B, C}), 1004),
    DIES_AFTER_JOIN: (frozenset({B}), 40528),
}


@pytest.mark.parametrize("script", SCRIPTS)
def test_rules_hold(script):
    borrowers, states = CONFIGURATIONS[script]
    model = PermitsModel(SCRIPTS[script], borrowers)
    prove(model.initial(), model.steps, INVARIANTS, REACHABLE, states)


NO_BORROWER, ONE_BORROWER = frozenset(), frozenset({B})
DETECTED_BY = {
    "uses a new permit immediately": (JOINS, NO_BORROWER),
    "counts older acknowledgements": (RETURNS, ONE_BORROWER),
    "omits busy permits from acknowledgements": (JOINS, NO_BORROWER),
    "lists only its own permits": (RETURNS, ONE_BORROWER),
    "keeps ownership across an interruption": (RETURNS, ONE_BORROWER),
    "accepts late loans of removed lenders": (RETURNS, ONE_BORROWER),
    "lender reclaims without a response": (JOINS, ONE_BORROWER),
    "declares entries dead after a timeout": (RETURNS, NO_BORROWER),
}


@pytest.mark.parametrize("mutation", PermitsModel.MUTATIONS)
def test_mutation_is_detected(mutation):
    script, borrowers = DETECTED_BY[mutation]
    model = PermitsModel(SCRIPTS[script], borrowers, mutation)
    violated = "at most one use of the permit"
    assert refute(model.initial(), model.steps, INVARIANTS, violated)
