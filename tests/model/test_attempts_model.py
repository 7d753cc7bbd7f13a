"""Attempts: each layer once for each token, and no token of an old attempt.

Guards against a change of R1-R5 that lets a late or repeated message, or a sidecar that
was paused, run a layer again or spoil the answer.
"""

import pytest
from tests.model.attempts_model import INVARIANTS, AttemptsModel, State
from tests.model.checking import prove, refute

ONE_ATTEMPT = "one attempt ran"
REACHABLE = {
    "answered by the last attempt": lambda state: state.delivered == (3, 3, 3),
    "answered by several": lambda state: state.delivered == (1, 2, 3),
    "old sidecar is opened again": lambda state: state.stages[1].attempt == 3,
}
IDEMPOTENT = {name: INVARIANTS[name] for name in INVARIANTS if name != ONE_ATTEMPT}


def test_rules_hold():
    model = AttemptsModel(attempts=3, length=3)
    prove(State(), model.steps, IDEMPOTENT, REACHABLE, 32151)


def test_non_idempotent_request_runs_in_one_attempt():
    model = AttemptsModel(attempts=3, length=3, non_idempotent=True)
    reachable = {"a later attempt answers": lambda state: state.delivered == (2, 2, 2)}
    prove(State(), model.steps, INVARIANTS, reachable, 229)


CAUGHT = {
    "accepts old attempts": "each layer at most once",
    "accepts any position": "each layer at most once",
    "takes results for the current attempt": "each token follows the delivered ones",
    "entry takes tokens of old attempts": "each token follows the delivered ones",
    "entry takes any position": "each token follows the delivered ones",
    "retries a non-idempotent request": ONE_ATTEMPT,
}


@pytest.mark.parametrize("broken", AttemptsModel.BROKEN)
def test_broken_rule_is_found(broken):
    violated = CAUGHT[broken]
    model = AttemptsModel(3, 2, violated == ONE_ATTEMPT, broken)
    assert refute(State(), model.steps, INVARIANTS, violated)
