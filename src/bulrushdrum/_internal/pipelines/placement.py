"""Which layers an empty engine is to hold.

Every engine gets the number of layers that leaves memory for a common number of request
tokens, so that no hop of a path fills up before the others. Layers go first where the
fleet has none, then where the engine's data centre has none, so that paths need not
leave it; what is left replicates the layers with the fewest copies.

The choice depends only on the registrations, so routers that see the same fleet choose
the same, and the engine's order count settles who comes first if two do.
"""

import math
from collections import Counter
from itertools import accumulate
from typing import NamedTuple

from bulrushdrum._internal.pipelines.data_centre_groups import group_data_centres
from bulrushdrum._internal.world.engines import (
    AcceleratorKind,
    EngineModel,
    PoolUpstream,
)
from bulrushdrum._internal.world.upstreams import LayerRange

# Layers in a data centre's engines, as a multiple of the model's. What is more than one
# copy replicates the layers of the largest engines. A data centre takes the first of
# these with which each engine has room for the requests below.
_COPIES = (1.4, 1.3, 1.2, 1.1)
_ONE_COPY = 1.0
# Usual requests that each engine has room for before layers get replicas: about what a
# data centre has in progress at the usual load when another one fails.
_REQUESTS_BEFORE_REPLICAS = 36
# A data centre shares its layers out anew when that multiplies the room of its
# narrowest layer by this much; less is not worth the time of the loads.
_WORTHWHILE_GAIN = 2.0
# An engine that holds this part of all layers or more stays where it is when a data
# centre shares its layers out anew.
_ANCHOR_PART = 0.15
# Sharing out is tried with less and less room for requests, because ranges between
# engines that stay do not divide evenly.
_SHARE_OUT_STEPS = 12
_SHARE_OUT_FACTOR = 0.85
_GAIN_FLEET_LACKS = 100.0
_GAIN_DATA_CENTRE_LACKS = 10.0
# Steps of the search for the number of request tokens to leave room for.
_SEARCH_STEPS = 60


def layers_that_fit(model: EngineModel, kind: AcceleratorKind, tokens: float) -> int:
    """Return how many layers `kind` holds beside `tokens` request tokens in each."""
    per_layer = model.layer_bytes + tokens * model.token_layer_bytes
    return min(model.layers, int(kind.memory_bytes // per_layer))


def token_capacity(
    model: EngineModel,
    engines: list[PoolUpstream],
    copies: float = _ONE_COPY,
) -> float:
    """Return the request tokens that each engine of one data centre leaves room for.

    This is the largest number, up to what an engine's places fill, with which the
    engines together hold `copies` times the model's layers. Returns 0 if they cannot
    beside any request.
    """
    kinds = Counter(e.kind for e in engines if e.kind in model.kinds)
    wanted = math.ceil(model.layers * copies)
    step = model.mean_request_tokens * model.max_sequences / _SEARCH_STEPS
    for count in range(_SEARCH_STEPS, 0, -1):
        if _total(model, kinds, step * count) >= wanted:
            return step * count
    return 0.0


def token_capacity_by_data_centre(
    model: EngineModel, engines: list[PoolUpstream]
) -> dict[str, float]:
    """Return the request tokens that the engines of each data centre leave room for.

    A group of data centres that cannot hold a copy of the model leaves as much room as
    the whole fleet would, because its engines serve only paths that leave the group.
    """
    fleet = token_capacity(model, engines)
    capacities = {}
    for group in group_data_centres(model, engines, token_capacity):
        tokens = _token_capacity_of(model, list(group.engines)) or fleet
        capacities.update(dict.fromkeys(group.data_centres, tokens))
    return capacities


def _token_capacity_of(model, engines):
    """Return `token_capacity` with as many copies as leave ample room, or with one."""
    wanted = model.mean_request_tokens * _REQUESTS_BEFORE_REPLICAS
    choices = [token_capacity(model, engines, copies) for copies in _COPIES]
    ample = [tokens for tokens in choices if tokens >= wanted]
    return ample[0] if ample else token_capacity(model, engines)


def _total(model, kinds, tokens):
    return sum(
        count * layers_that_fit(model, model.kinds[name], tokens)
        for name, count in kinds.items()
    )


class LayerCoverage:
    """How often each layer is held, in the fleet and in groups of data centres.

    It is kept up while engines choose one after another: counting anew for each of
    thousands of engines takes longer than the time before the first request.
    """

    def __init__(
        self,
        model: EngineModel,
        near: dict[str, frozenset[str]],
        holding: list[PoolUpstream],
    ):
        self._layers = model.layers
        self._near = near
        self._fleet = [0] * model.layers
        self._local: dict[frozenset[str], list[int]] = {}
        self._starts = {0}
        for engine in holding:
            self.add(engine)

    @property
    def starts(self) -> set[int]:
        """Layers at which a range ends, and so another one would line up."""
        return self._starts

    def add(self, engine: PoolUpstream):
        if engine.layers is None:
            return
        local = self._copies_near(engine)
        first, end = engine.layers.first, min(engine.layers.end, self._layers)
        for layer in range(first, end):
            self._fleet[layer] += 1
            local[layer] += 1
        self._starts.add(end)

    def gains(self, engine: PoolUpstream) -> list[float]:
        """Return what each layer is worth to the data centres near an engine."""
        local = self._copies_near(engine)
        return [_gain(*copies) for copies in zip(self._fleet, local, strict=True)]

    def _copies_near(self, engine):
        group = self._near.get(engine.data_centre, frozenset((engine.data_centre,)))
        return self._local.setdefault(group, [0] * self._layers)


def choose_layers(
    model: EngineModel,
    engine: PoolUpstream,
    coverage: LayerCoverage,
    tokens: float,
) -> LayerRange | None:
    """Return the layers for an empty engine beside what others hold.

    None means that the engine cannot hold a single layer.
    """
    kind = model.kinds.get(engine.kind)
    if kind is None:
        return None
    count = layers_that_fit(model, kind, tokens) or layers_that_fit(model, kind, 0.0)
    if count == 0:
        return None
    return _best_window(coverage.gains(engine), count, coverage.starts)


def _gain(fleet_copies, local_copies):
    if fleet_copies == 0:
        return _GAIN_FLEET_LACKS
    if local_copies == 0:
        return _GAIN_DATA_CENTRE_LACKS
    return 1.0 / (1 + local_copies) ** 2


def _best_window(gains, count, starts):
    """Return the window of `count` layers with the largest gain.

    Among equals one that begins where another range ends wins, then the first, so that
    ranges line up and paths have few hops.
    """
    best, best_rank = None, None
    sums = [0.0, *accumulate(gains)]
    for first in range(len(gains) - count + 1):
        gain = round(sums[first + count] - sums[first], 6)
        rank = (gain, first in starts, -first)
        if best_rank is None or rank > best_rank:
            best, best_rank = LayerRange(first, first + count), rank
    return best


def placement_order(
    model: EngineModel,
    engines: list[PoolUpstream],
    near: dict[str, frozenset[str]],
):
    """Return engines in the order in which they choose: fast kinds first.

    `near` has the data centres that hold copies together, for each data centre. Where
    there are several, they choose one after another, so that each holds a range of its
    own and paths cross between them as rarely as possible.
    """

    def rank(engine):
        kind = model.kinds.get(engine.kind)
        is_shared = len(near[engine.data_centre]) > 1
        return (
            engine.data_centre if is_shared else "",
            kind.step_factor if kind else float("inf"),
            engine.address,
        )

    return sorted(engines, key=rank)


class LayerAssignment(NamedTuple):
    """An engine that is to hold other layers than it does.

    An urgent one does not wait for the requests that pass through the layers given up,
    because paths through its data centre are broken as it is.
    """

    engine: PoolUpstream
    layers: LayerRange
    urgent: bool = True


def choose_reassignments(
    model: EngineModel, engines: list[PoolUpstream], may_widen: bool = False
) -> list[LayerAssignment]:
    """Return the moves that give each group of data centres its missing layers.

    Engines whose layers others hold too move first. If they do not suffice, the engines
    of the group share the layers out anew. A group whose engines cannot hold all layers
    is left as it is. `engines` are those that serve, with the layers
    that were ordered already.

    With `may_widen`, one data centre without gaps is shared out anew if that gives its
    narrowest layer much more room. Its paths fail meanwhile, so others must be whole.
    """
    assignments, widened = [], []
    capacities = token_capacity_by_data_centre(model, engines)
    for group in group_data_centres(model, engines, token_capacity):
        tokens = capacities[min(group.data_centres)]
        local = [engine for engine in group.engines if engine.layers is not None]
        if not _gaps(model, local):
            narrow = group.is_single and is_narrow(model, local, tokens)
            if may_widen and not widened and narrow:
                widened = [m._replace(urgent=False) for m in _share_out(model, local)]
            continue
        reassigned = {m.engine.id: m for m in _reassign_spares(model, local, tokens)}
        after = [
            e._replace(layers=reassigned[e.id].layers) if e.id in reassigned else e
            for e in local
        ]
        if _gaps(model, after) or is_narrow(model, after, token_capacity(model, local)):
            assignments += _share_out(model, local)
        else:
            assignments += reassigned.values()
    return assignments or widened


def is_narrow(model: EngineModel, engines: list[PoolUpstream], tokens: float) -> bool:
    """Whether the narrowest layer has much less room than `tokens` request tokens."""
    return (
        tokens > 0 and _narrowest_capacity(model, engines) * _WORTHWHILE_GAIN <= tokens
    )


def _narrowest_capacity(model, engines):
    """Return the request tokens that fit on the layer with the least room for them."""
    capacities = [0.0] * model.layers
    for engine in engines:
        held = engine.layers.end - engine.layers.first
        tokens = model.capacity(model.kinds[engine.kind], held) / max(held, 1)
        for layer in range(engine.layers.first, min(engine.layers.end, model.layers)):
            capacities[layer] += tokens
    return min(capacities)


def _reassign_spares(model, engines, tokens):
    assignments = []
    held = {engine.id: engine for engine in engines}
    while gaps := _gaps(model, held.values()):
        spare = [e for e in held.values() if _is_spare(e, held.values())]
        spare = [
            e
            for e in spare
            if e.id not in {assignment.engine.id for assignment in assignments}
        ]
        if not spare:
            return []
        # Slow engines move first: the faster replicas are worth more where they are.
        engine = min(spare, key=lambda e: (-model.kinds[e.kind].step_factor, e.address))
        count = layers_that_fit(model, model.kinds[engine.kind], tokens)
        if count == 0:
            return []
        first = min(gaps[0], model.layers - count)
        layers = LayerRange(first, first + count)
        assignments.append(LayerAssignment(engine, layers))
        held[engine.id] = engine._replace(layers=layers)
    return assignments


def _share_out(model, engines):
    """Return moves after which the engines hold all layers, with even room.

    Engines that hold many layers stay where they are, because they would load longest;
    the others keep their order between them, so that most of them load few layers.
    """
    tokens = token_capacity(model, engines)
    anchors = _anchors(model, engines)
    for _ in range(_SHARE_OUT_STEPS):
        assignments = _fill_between(model, engines, anchors, tokens)
        if assignments is not None:
            return assignments
        tokens *= _SHARE_OUT_FACTOR
    return _fill_between(model, engines, [], token_capacity(model, engines)) or []


def _anchors(model, engines):
    anchors = []
    for engine in sorted(engines, key=lambda e: (e.layers, e.address)):
        held = engine.layers.end - engine.layers.first
        if held < model.layers * _ANCHOR_PART:
            continue
        if anchors and anchors[-1].layers.end > engine.layers.first:
            continue
        anchors.append(engine)
    return anchors


def _fill_between(model, engines, anchors, tokens):
    fixed = {engine.id for engine in anchors}
    movers = [e for e in engines if e.id not in fixed]
    movers.sort(key=lambda e: (e.layers, e.address))
    assignments, first = [], 0
    for end in [*[e.layers.first for e in anchors], model.layers]:
        while first < end:
            if not movers:
                return None
            engine = movers.pop(0)
            count = layers_that_fit(model, model.kinds[engine.kind], tokens)
            if count == 0:
                continue
            start = min(first, model.layers - count)
            layers = LayerRange(start, start + count)
            first = layers.end
            if layers != engine.layers:
                assignments.append(LayerAssignment(engine, layers))
        following = [e.layers.end for e in anchors if e.layers.first <= first]
        first = max([first, *following])
    return assignments


def _gaps(model, engines):
    covered = set()
    for engine in engines:
        covered.update(range(engine.layers.first, engine.layers.end))
    return [layer for layer in range(model.layers) if layer not in covered]


def _is_spare(engine, engines):
    others = [e for e in engines if e.id != engine.id]
    return all(
        any(e.layers.first <= layer < e.layers.end for e in others)
        for layer in range(engine.layers.first, engine.layers.end)
    )
