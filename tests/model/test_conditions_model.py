"""Conditions of upstreams: routers avoid one together, for a while, if it refuses.

Guards against a change of the merge, or of who tries an upstream again, that lets late,
repeated, lost or reordered messages keep an upstream unused or end a claim too early.
"""

import pytest
from tests.model.checking import prove, refute
from tests.model.conditions_model import ConditionsModel, Scenario

TWICE = "two refusals"
ANNOUNCED = "entries are repeated"
RESTARTED = "the upstream restarts"
THREE = "three routers"
LONG = "claims end"
SCENARIOS = {
    TWICE: (Scenario((2, 2), refusals=2, ticks=4), 87152),
    ANNOUNCED: (Scenario((2, 1), refusals=1, ticks=4, announces=True), 26307),
    RESTARTED: (Scenario((1, 1), refusals=1, ticks=4, restarts=True), 44657),
    THREE: (Scenario((1, 1, 1), refusals=1, ticks=4), 131284),
    LONG: (Scenario((1, 1), refusals=1, ticks=9), 65747),
}


def is_withdrawn_elsewhere(state):
    return any(
        router.withdrawn != (0,) * len(state.routers) and router.condition.is_settled
        for router in state.routers
    )


REACHABLE = {
    TWICE: {
        "a withdrawal arrives": is_withdrawn_elsewhere,
        "a second claim lasts longer": lambda state: any(
            router.condition.claim and router.condition.claim.failures == 2
            for router in state.routers
        ),
    },
    ANNOUNCED: {"a withdrawal arrives": is_withdrawn_elsewhere},
    RESTARTED: {
        "the next incarnation is used in spite of a claim": lambda state: any(
            router.request == (2, state.now) and router.condition.claim
            for router in state.routers
        )
    },
    THREE: {"a withdrawal arrives": is_withdrawn_elsewhere},
    LONG: {
        "another router tries it": lambda state: any(
            router.request
            and router.condition.claim
            and router.condition.claim.reporter != str(index)
            and not router.condition.is_settled
            and router.request[1] > router.condition.claim.until
            for index, router in enumerate(state.routers)
        )
    },
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_rules_hold(name):
    scenario, states = SCENARIOS[name]
    model = ConditionsModel(scenario)
    prove(model.initial(), model.steps, model.invariants(), REACHABLE[name], states)


DETECTED_BY = {
    "applies claims to any incarnation": (
        RESTARTED,
        "a claim spares the next incarnation",
    ),
    "lets any success end a claim": (
        TWICE,
        "only a request that was sent later ends a claim early",
    ),
    "forgets which entries were applied": (
        TWICE,
        "a withdrawn claim stays withdrawn",
    ),
    "passes received claims on": (LONG, "a claim ends"),
    "lets all routers try when a claim ends": (LONG, "the reporter tries first"),
    "takes withdrawals as sent without delay": (
        TWICE,
        "only a request that was sent later ends a claim early",
    ),
}


@pytest.mark.parametrize("mutation", ConditionsModel.MUTATIONS)
def test_mutation_is_detected(mutation):
    name, violated = DETECTED_BY[mutation]
    model = ConditionsModel(SCENARIOS[name][0], mutation)
    assert refute(model.initial(), model.steps, model.invariants(), violated)
