"""Objectives that path selection can minimise.

`LeastTime` is the default. The other two are baselines for benchmarks; they respect the
same limits on memory and link time, so that only the objective differs.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from bulrushdrum._internal.settings.router import PathPolicyName
from bulrushdrum._internal.world.engines import PoolUpstream

# Random amount that breaks ties between engines that report the same load.
_MAX_TIE_BREAK = 0.01


@dataclass(frozen=True)
class LeastTime:
    """Minimises the expected time of the request on the path."""


@dataclass(frozen=True)
class RandomPath:
    """Chooses any valid path at random."""


@dataclass(frozen=True)
class LeastReported:
    """Minimises the memory in use that the engines of the path reported.

    `memory_utilization` maps engine ids to the fraction of memory in use and is updated
    as reports arrive; an engine that has not reported counts as empty.
    """

    memory_utilization: Mapping[str, float]


PathPolicy = LeastTime | RandomPath | LeastReported


def make_policy(
    name: PathPolicyName, memory_utilization: Mapping[str, float]
) -> PathPolicy:
    """Return the policy with the given name in the settings."""
    match name:
        case PathPolicyName.LEAST_TIME:
            return LeastTime()
        case PathPolicyName.RANDOM:
            return RandomPath()
        case PathPolicyName.LEAST_REPORTED:
            return LeastReported(memory_utilization)


def layer_cost(
    policy: PathPolicy, engine: PoolUpstream, seconds: float, rng: Random
) -> float:
    """Return the cost of one layer on an engine that runs it in `seconds`."""
    match policy:
        case LeastTime():
            return seconds
        case RandomPath():
            return rng.random()
        case LeastReported(memory_utilization):
            tie_break = _MAX_TIE_BREAK * rng.random()
            return memory_utilization.get(engine.id, 0.0) + tie_break
