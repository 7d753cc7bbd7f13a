"""Loans of retries: all routers together stay within the limit in every window.

Guards against a change of the lending that lets a retry be used by two routers when
messages are lost, late, repeated or reordered, a router restarts or a share shrinks.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.retry_loans_model import (
    BORROWER_SHARE,
    INVARIANTS,
    LENDER_SHARE,
    RetryLoansModel,
    State,
)

REACHABLE = {
    "a loan is used after its lender's window": lambda state: (
        len(state.used) > BORROWER_SHARE and not state.lender.retries
    ),
    "the limit is used up": lambda state: (
        len(state.used) == LENDER_SHARE + BORROWER_SHARE + 1 + state.forgotten
    ),
    "a restarted borrower uses a loan": lambda state: (
        state.borrower.incarnation == 1
        and state.borrower.numbers > 0
        and len(state.used) > 2 * BORROWER_SHARE
    ),
}


def test_rules_hold():
    prove(State(), RetryLoansModel().steps, INVARIANTS, REACHABLE, 222_113)


@pytest.mark.parametrize("mutation", RetryLoansModel.MUTATIONS)
def test_mutation_is_detected(mutation):
    violated = "retries stay within the limit"
    assert refute(State(), RetryLoansModel(mutation).steps, INVARIANTS, violated)
