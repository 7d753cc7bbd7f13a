"""What a path chooser minimises.

`LeastTime` is the product's choice. The other two are baselines that measurements
compare it with; they keep the same bounds on memory and on the pipes, so that only the
choice differs.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from bulrushdrum._internal.settings.router import PathPolicyName
from bulrushdrum._internal.world.engines import PoolUpstream

# Breaks ties between engines that report the same load.
_TIE_BREAK = 0.01


@dataclass(frozen=True)
class LeastTime:
    """The expected time of the request on the path."""


@dataclass(frozen=True)
class RandomPath:
    """Any valid path."""


@dataclass(frozen=True)
class LeastReported:
    """The path whose engines reported the least memory in use.

    `used_parts` has the part by engine id and is replaced as reports come in; an engine
    that has not reported counts as empty.
    """

    used_parts: Mapping[str, float]


PathPolicy = LeastTime | RandomPath | LeastReported


def make_policy(name: PathPolicyName, used_parts: Mapping[str, float]) -> PathPolicy:
    """Return the policy of a name in the settings."""
    match name:
        case PathPolicyName.LEAST_TIME:
            return LeastTime()
        case PathPolicyName.RANDOM:
            return RandomPath()
        case PathPolicyName.LEAST_REPORTED:
            return LeastReported(used_parts)


def layer_cost(
    policy: PathPolicy, engine: PoolUpstream, seconds: float, numbers: Random
) -> float:
    """Return the cost of a layer on an engine that runs it in `seconds`."""
    match policy:
        case LeastTime():
            return seconds
        case RandomPath():
            return numbers.random()
        case LeastReported(used_parts):
            tie_break = _TIE_BREAK * numbers.random()
            return used_parts.get(engine.id, 0.0) + tie_break
