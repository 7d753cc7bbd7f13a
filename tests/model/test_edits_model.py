"""Contract edits: none is lost, made twice or refused and made; copies never go back.

Guards against a change of edits or replicas that breaks one of these when edits race,
the table's answers are lost, it is down, or an entry restarts.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.edits_model import (
    INVARIANTS,
    NEVER_BACK,
    NO_LOST_UPDATE,
    EditsModel,
    State,
)

REACHABLE = {
    "both accepted": lambda state: all(edit.at == "accepted" for edit in state.edits),
    "one refused": lambda state: (
        {"accepted", "refused"} <= {edit.at for edit in state.edits}
    ),
    "restarted and ready": lambda state: any(
        entry.restarts and entry.ready and len(entry.applied) == 2
        for entry in state.entries
    ),
}


def test_rules_hold_for_edits_of_one_contract():
    model = EditsModel(same_contract=True)
    prove(State(), model.steps, {**INVARIANTS, **NO_LOST_UPDATE}, REACHABLE, 16070)


def test_rules_hold_for_edits_of_two_contracts():
    reachable = {name: REACHABLE[name] for name in REACHABLE if name != "one refused"}
    model = EditsModel(same_contract=False)
    prove(State(), model.steps, INVARIANTS, reachable, 13910)


def test_no_vm_goes_back_when_starting_needs_the_table():
    model = EditsModel(from_snapshot=False)
    prove(State(), model.steps, {**INVARIANTS, **NEVER_BACK}, REACHABLE, 12638)


def test_snapshot_of_another_entry_can_be_older():
    # The stated limit of section 7; guards against a page that claims more.
    model = EditsModel(from_snapshot=True)
    trace = refute(State(), model.steps, NEVER_BACK, "no VM goes back")
    assert trace[-1] == "entry 0 loads a snapshot"


CAUGHT = {
    "does not compare the row": "no lost update",
    "takes a lost write for a failure": "refused is never in the log",
    "settles by a read alone": "refused is never in the log",
    "reads again without the edit id": "refused is never in the log",
    "pushes before it is durable": "copies follow the log",
    "applies with gaps": "copies follow the log",
    "installs older copies": "running entries never go back",
}


@pytest.mark.parametrize("broken", EditsModel.BROKEN)
def test_broken_rule_is_found(broken):
    model = EditsModel(broken=broken)
    invariants = {**INVARIANTS, **NO_LOST_UPDATE}
    assert refute(State(), model.steps, invariants, CAUGHT[broken])
