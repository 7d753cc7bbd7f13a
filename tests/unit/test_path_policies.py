"""The default path policy and the baselines that it is compared with."""

import pytest
from tests.unit.pool_fakes import make_engine, make_limits, make_model

from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.path_policies import (
    LeastReported,
    LeastTime,
    RandomPath,
)
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.router_process import run_router

SEED = 20261204
DEMAND = Demand(700.0, 200.0)
POLICIES = [LeastTime(), RandomPath(), LeastReported({"fast": 0.9, "slow": 0.1})]


def choose(policy, times=1):
    """Return the ids chosen out of a fast and a slow engine that hold all layers."""
    model = make_model(layer_bytes=1e8)
    fleet = Fleet()
    fleet.put(make_engine("fast", "large", layers=(0, 40)))
    fleet.put(make_engine("slow", "slow", layers=(0, 40)))
    chooser = PathChooser(
        fleet, MemoryReservations(), make_limits(), "a", seed=SEED, policy=policy
    )
    paths = [chooser.choose("llm", model, DEMAND) for _ in range(times)]
    for path in paths:
        layers = [n for hop in path for n in range(hop.layers.first, hop.layers.end)]
        assert layers == list(range(model.layers))
    return [path[0].upstream.id for path in paths]


@pytest.mark.parametrize("policy", POLICIES)
def test_every_policy_returns_complete_paths(policy):
    # Guards against a baseline that performs worse because its paths are invalid.
    choose(policy, times=20)


def test_policies_choose_different_engines():
    # Guards against comparing a policy with itself.
    assert set(choose(LeastTime(), 20)) == {"fast"}
    assert set(choose(RandomPath(), 40)) == {"fast", "slow"}
    assert set(choose(POLICIES[2], 20)) == {"slow"}


def test_an_unknown_policy_is_rejected_with_the_valid_names(capsys):
    # Guards against benchmarks that run the default policy without notice.
    assert run_router("fastest") == 2
    message = capsys.readouterr().err
    assert "'fastest'" in message and "least-reported" in message
