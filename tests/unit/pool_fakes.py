"""Model and engine fixtures for tests of placement and paths."""

import time

from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.world.engines import (
    AcceleratorKind,
    EngineModel,
    PoolUpstream,
)
from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState

LARGE = AcceleratorKind("large", 60e9, 2.0, 3.0)
SMALL = AcceleratorKind("small", 15e9, 5.0, 8.0)
SLOW = AcceleratorKind("slow", 20e9, 15.0, 8.0)


def make_model(**changes) -> EngineModel:
    model = EngineModel(
        model="m",
        layers=40,
        layer_bytes=2e9,
        token_layer_bytes=15_000.0,
        step_seconds=0.001,
        sequence_seconds=0.00001,
        context_seconds_per_token=1e-8,
        prefill_tokens_per_second=150_000.0,
        steps_per_event=4,
        max_sequences=64,
        mean_prompt_tokens=700.0,
        mean_answer_tokens=200.0,
        load_seconds=10.0,
        loads_at_once=4,
        activation_bytes=50_000.0,
        link_bytes_per_second=2e9,
        kinds={kind.name: kind for kind in (LARGE, SMALL, SLOW)},
        delays={("a", "b"): 0.001},
    )
    return model._replace(**changes)


def make_engine(name, kind="small", data_centre="a", layers=None, **changes):
    engine = PoolUpstream(
        id=name,
        service="llm",
        address=f"10.0.0.{sum(map(ord, name)) % 250 + 1}:{8000 + len(name)}",
        data_centre=data_centre,
        state=UpstreamState.SERVING,
        slots=64,
        kind=kind,
        layers=None if layers is None else LayerRange(*layers),
        born=1,
    )
    return engine._replace(**changes)


def make_limits(clock=time.monotonic):
    """Return the limits of a router without peers."""
    return UpstreamLimits(
        lambda upstream_id: True, lambda: 0, lambda: None, clock, seed=1
    )
