"""Which layers an empty engine is to hold.

Every engine gets the number of layers that leaves memory for a common number of request
tokens, so that no hop of a path fills up before the others. Layers go first where the
fleet has none, then where the engine's data centre has none, so that paths need not
leave it; what is left becomes the stand-in of the layers with the fewest copies.

The choice depends only on the registrations, so routers that see the same fleet choose
the same, and the engine's order count settles who comes first if two do.
"""

from bulrushdrum._internal.world.engines import (
    AcceleratorKind,
    EngineModel,
    PoolUpstream,
)
from bulrushdrum._internal.world.upstreams import LayerRange

# Layers in a data centre's engines, as a multiple of the model's. A fifth more than one
# copy leaves stand-ins for the largest engine of a usual data centre.
_COPIES_WITH_STAND_INS = 1.2
_GAIN_FLEET_LACKS = 100.0
_GAIN_DATA_CENTRE_LACKS = 10.0
# Steps of the search for the number of request tokens to leave room for.
_SEARCH_STEPS = 60


def layers_beside(model: EngineModel, kind: AcceleratorKind, tokens: float) -> int:
    """Return how many layers `kind` holds beside `tokens` request tokens in each."""
    per_layer = model.layer_bytes + tokens * model.token_layer_bytes
    return min(model.layers, int(kind.memory_bytes // per_layer))


def request_tokens(model: EngineModel, engines: list[PoolUpstream]) -> float:
    """Return the request tokens that each engine leaves room for.

    This is the largest number, up to what an engine's places fill, with which every
    data centre that could hold a copy of the model holds one and its stand-ins; if none
    could, the fleet as a whole. Returns 0 if even the bare layers do not fit.
    """
    groups: dict[str, list[AcceleratorKind]] = {}
    for engine in engines:
        if engine.kind in model.kinds:
            kind = model.kinds[engine.kind]
            groups.setdefault(engine.data_centre, []).append(kind)
    wanted = model.layers * _COPIES_WITH_STAND_INS
    low = model.usual_tokens * model.max_sequences / _SEARCH_STEPS
    able = [
        kinds for kinds in groups.values() if _total(model, kinds, low) >= model.layers
    ]
    if not able:
        able = [[kind for kinds in groups.values() for kind in kinds]]
    for step in range(_SEARCH_STEPS, 0, -1):
        tokens = low * step
        if all(_total(model, kinds, tokens) >= wanted for kinds in able):
            return tokens
    return 0.0


def _total(model, kinds, tokens):
    return sum(layers_beside(model, kind, tokens) for kind in kinds)


def choose_layers(
    model: EngineModel,
    engine: PoolUpstream,
    others: list[PoolUpstream],
    tokens: float,
) -> LayerRange | None:
    """Return the layers for an empty engine beside what `others` hold.

    None means that the engine cannot hold a single layer.
    """
    kind = model.kinds.get(engine.kind)
    if kind is None:
        return None
    count = layers_beside(model, kind, tokens) or layers_beside(model, kind, 0.0)
    if count == 0:
        return None
    fleet, local, starts = [0] * model.layers, [0] * model.layers, {0}
    for other in others:
        if other.layers is None:
            continue
        first, end = other.layers.first, min(other.layers.end, model.layers)
        for layer in range(first, end):
            fleet[layer] += 1
            local[layer] += other.data_centre == engine.data_centre
        starts.add(end)
    gains = [_gain(fleet[layer], local[layer]) for layer in range(model.layers)]
    return _best_window(gains, count, starts, engine)


def _gain(fleet_copies, local_copies):
    if fleet_copies == 0:
        return _GAIN_FLEET_LACKS
    if local_copies == 0:
        return _GAIN_DATA_CENTRE_LACKS
    return 1.0 / (1 + local_copies) ** 2


def _best_window(gains, count, starts, engine):
    """Return the window of `count` layers with the largest gain.

    Among equals one that begins where another range ends wins, then the first, so that
    ranges line up and paths have few hops.
    """
    best, best_rank = None, None
    for first in range(len(gains) - count + 1):
        gain = round(sum(gains[first : first + count]), 6)
        rank = (gain, first in starts, -first)
        if best_rank is None or rank > best_rank:
            best, best_rank = LayerRange(first, first + count), rank
    return best


def placement_order(model: EngineModel, engines: list[PoolUpstream]):
    """Return engines in the order in which they choose: fast kinds first."""

    def rank(engine):
        kind = model.kinds.get(engine.kind)
        return (kind.step_factor if kind else float("inf"), engine.address)

    return sorted(engines, key=rank)
