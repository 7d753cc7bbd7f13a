"""Permits: never more in use than the concurrency while the entry set changes.

Guards against a change of the hand-over or of loans that lets two entries use one
permit when entries join, die, are cut off or paused, and messages are lost or late.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.permits_model import INVARIANTS, SCRIPTS, A, B, C, PermitsModel

JOIN, BACK, DIES, JOIN_DIES = SCRIPTS
LAST_OWNER_USES = {
    "last owner uses it": lambda state: any(
        entry.using == (index, None) and entry.version == state.newest > 0
        for index, entry in enumerate(state.entries)
    ),
    "a loan is used": lambda state: any(
        entry.using and entry.using[1] for entry in state.entries
    ),
}
CONFIGURATIONS = {
    JOIN: (frozenset({A, B}), 9251),
    BACK: (frozenset({B}), 42699),
    DIES: (frozenset({B, C}), 1004),
    JOIN_DIES: (frozenset({B}), 40528),
}


@pytest.mark.parametrize("script", SCRIPTS)
def test_rules_hold(script):
    borrowers, states = CONFIGURATIONS[script]
    model = PermitsModel(SCRIPTS[script], borrowers)
    prove(model.initial(), model.steps, INVARIANTS, LAST_OWNER_USES, states)


NOBODY, ONE = frozenset(), frozenset({B})
CAUGHT = {
    "uses a new permit at once": (JOIN, NOBODY),
    "counts older acknowledgements": (BACK, ONE),
    "acknowledges without the busy permits": (JOIN, NOBODY),
    "lists own permits only": (BACK, ONE),
    "keeps a right that was interrupted": (BACK, ONE),
    "takes late loans of removed lenders": (BACK, ONE),
    "lender takes back without an answer": (JOIN, ONE),
    "time makes an entry dead": (BACK, NOBODY),
}


@pytest.mark.parametrize("broken", PermitsModel.BROKEN)
def test_broken_rule_is_found(broken):
    script, borrowers = CAUGHT[broken]
    model = PermitsModel(SCRIPTS[script], borrowers, broken)
    violated = "one permit is used once"
    assert refute(model.initial(), model.steps, INVARIANTS, violated)
