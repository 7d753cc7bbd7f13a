"""Attempts: each layer runs once per token, and no old attempt delivers a token.

Guards against a change of R1-R5 that lets a late or duplicated message, or a resumed
sidecar, run a layer again or corrupt the answer.
"""

import pytest
from tests.model.attempts_model import INVARIANTS, AttemptsModel, State
from tests.model.checking import prove, refute

ONE_ATTEMPT = "one attempt ran"
REACHABLE = {
    "answered by the last attempt": lambda state: state.delivered == (3, 3, 3),
    "answered by several attempts": lambda state: state.delivered == (1, 2, 3),
    "an old sidecar is opened again": lambda state: state.stages[1].attempt == 3,
}
IDEMPOTENT = {name: INVARIANTS[name] for name in INVARIANTS if name != ONE_ATTEMPT}


def test_rules_hold():
    model = AttemptsModel(attempts=3, length=3)
    prove(State(), model.steps, IDEMPOTENT, REACHABLE, 32151)


def test_non_idempotent_request_runs_in_one_attempt():
    model = AttemptsModel(attempts=3, length=3, non_idempotent=True)
    reachable = {"a later attempt answers": lambda state: state.delivered == (2, 2, 2)}
    prove(State(), model.steps, INVARIANTS, reachable, 229)


DETECTED_BY = {
    "accepts old attempts": "each layer at most once",
    "accepts any position": "each layer at most once",
    "assigns results to the current attempt": "each token extends the delivered prefix",
    "entry accepts tokens of old attempts": "each token extends the delivered prefix",
    "entry accepts any position": "each token extends the delivered prefix",
    "retries a non-idempotent request": ONE_ATTEMPT,
}


@pytest.mark.parametrize("mutation", AttemptsModel.MUTATIONS)
def test_mutation_is_detected(mutation):
    violated = DETECTED_BY[mutation]
    model = AttemptsModel(3, 2, violated == ONE_ATTEMPT, mutation)
    assert refute(State(), model.steps, INVARIANTS, violated)
