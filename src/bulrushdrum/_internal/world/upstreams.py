"""Upstreams: model engines that hold a range of layers, and plain services."""

from enum import StrEnum
from typing import NamedTuple

from bulrushdrum._internal.world.errors import InvalidUpstreamState


class UpstreamState(StrEnum):
    """State of an upstream as reported by its sidecar."""

    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"
    LOST = "lost"


class LayerRange(NamedTuple):
    """Layers from `first` up to but not including `end`."""

    first: int
    end: int


class DesiredState(NamedTuple):
    """State that operators request; empty strings leave a property unchanged."""

    serving: bool = True
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


def parse_desired_state(raw: dict) -> DesiredState:
    """Validate an untrusted desired state; raises `InvalidUpstreamState`."""
    if not isinstance(raw, dict):
        raise InvalidUpstreamState(f"{raw!r} is not an object")
    for name, value in raw.items():
        if name not in DesiredState._fields:
            known = ", ".join(DesiredState._fields)
            raise InvalidUpstreamState(f"{name}: unknown field, known are {known}")
        if name == "adapters":
            valid = isinstance(value, (list, tuple))
            valid = valid and all(isinstance(item, str) for item in value)
        else:
            valid = isinstance(value, type(DesiredState._field_defaults[name]))
        if not valid:
            raise InvalidUpstreamState(f"{name}: {value!r} has the wrong type")
    desired = DesiredState(**raw)
    return desired._replace(adapters=tuple(desired.adapters))
