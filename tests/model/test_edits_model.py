"""Contract edits: none is lost, applied twice or refused and applied; copies advance.

Guards against a change of edits or replicas that violates one of these when edits race,
the table is down or its responses are lost, or an entry restarts.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.edits_model import (
    INVARIANTS,
    NO_LOST_UPDATE,
    NO_REGRESSION,
    EditsModel,
    State,
)

REACHABLE = {
    "both accepted": lambda state: all(
        edit.phase == "accepted" for edit in state.edits
    ),
    "one refused": lambda state: (
        {"accepted", "refused"} <= {edit.phase for edit in state.edits}
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


def test_no_vm_regresses_when_starting_needs_the_table():
    model = EditsModel(from_snapshot=False)
    prove(State(), model.steps, {**INVARIANTS, **NO_REGRESSION}, REACHABLE, 12638)


def test_snapshot_of_another_entry_can_be_older():
    # The documented limitation of design section 7; guards against a stronger claim.
    model = EditsModel(from_snapshot=True)
    trace = refute(State(), model.steps, NO_REGRESSION, "no VM regresses")
    assert trace[-1] == "entry 0 loads a snapshot"


DETECTED_BY = {
    "does not compare the row": "no lost update",
    "treats an unknown write as a failure": "a refused edit is never in the log",
    "settles with a read only": "a refused edit is never in the log",
    "rereads without the edit id": "a refused edit is never in the log",
    "pushes before the edit is durable": "copies follow the log",
    "applies with gaps": "copies follow the log",
    "installs older copies": "running entries never regress",
}


@pytest.mark.parametrize("mutation", EditsModel.MUTATIONS)
def test_mutation_is_detected(mutation):
    model = EditsModel(mutation=mutation)
    invariants = {**INVARIANTS, **NO_LOST_UPDATE}
    assert refute(State(), model.steps, invariants, DETECTED_BY[mutation])
