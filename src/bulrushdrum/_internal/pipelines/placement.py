"""Chooses the layers that each engine holds.

Every engine gets the number of layers that leaves memory for a common number of request
tokens, so that no hop of a path fills up before the others. Layers that no engine of
the fleet holds are placed first, then those that no engine of the same data centre
holds, so that paths can stay within it; the remaining memory replicates the layers with
the fewest copies.

The result depends only on the registrations, so routers that see the same fleet choose
the same layers. If two routers send an order to one engine, its order count decides
which is accepted.
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

# Layers held in a data centre, as a multiple of the model's layers. Those beyond one
# copy replicate the layers of the largest engines. A data centre uses the first factor
# that leaves each engine memory for `_REQUESTS_BEFORE_REPLICATION` requests.
_REPLICATION_FACTORS = (1.4, 1.3, 1.2, 1.1)
_SINGLE_COPY = 1.0
# Mean-sized requests that fit on each engine before layers are replicated: about what a
# data centre has in progress under typical load when another one fails.
_REQUESTS_BEFORE_REPLICATION = 36
# A data centre without missing layers is rebalanced if that multiplies the capacity of
# its bottleneck layer by this; a smaller gain is not worth the time to load layers.
_MIN_REBALANCE_GAIN = 2.0
# An engine that holds at least this fraction of all layers keeps them in a rebalance.
_PINNED_LAYER_FRACTION = 0.15
# A rebalance is retried with fewer and fewer request tokens per engine, because the
# ranges between pinned engines do not divide evenly.
_REBALANCE_ATTEMPTS = 12
_REBALANCE_TOKENS_FACTOR = 0.85
# Weight of a layer of which the fleet, or the data centre group, holds no copy.
_WEIGHT_MISSING_IN_FLEET = 100.0
_WEIGHT_MISSING_IN_GROUP = 10.0
# Steps of the search for the number of request tokens to leave memory for.
_CAPACITY_SEARCH_STEPS = 60


def layers_that_fit(model: EngineModel, kind: AcceleratorKind, tokens: float) -> int:
    """Return how many layers fit on `kind` with memory for `tokens` request tokens."""
    per_layer = model.layer_bytes + tokens * model.token_layer_bytes
    return min(model.layers, int(kind.memory_bytes // per_layer))


def token_capacity(
    model: EngineModel,
    engines: list[PoolUpstream],
    replication_factor: float = _SINGLE_COPY,
) -> float:
    """Return the request tokens that each engine of a data centre has memory for.

    This is the largest number, up to `max_sequences` mean-sized requests, with which
    the engines together hold `replication_factor` times the model's layers. Returns 0
    if they cannot hold that many layers with memory for any requests.
    """
    kinds = Counter(e.kind for e in engines if e.kind in model.kinds)
    required_layers = math.ceil(model.layers * replication_factor)
    step = model.mean_request_tokens * model.max_sequences / _CAPACITY_SEARCH_STEPS
    for count in range(_CAPACITY_SEARCH_STEPS, 0, -1):
        if _total_layers(model, kinds, step * count) >= required_layers:
            return step * count
    return 0.0


def token_capacity_by_data_centre(
    model: EngineModel, engines: list[PoolUpstream]
) -> dict[str, float]:
    """Return the request tokens that the engines of each data centre have memory for.

    A group of data centres that cannot hold a copy of the model gets the capacity of
    the whole fleet, because its engines serve only paths that leave the group.
    """
    fleet = token_capacity(model, engines)
    capacities = {}
    for group in group_data_centres(model, engines, token_capacity):
        tokens = _replicated_token_capacity(model, list(group.engines)) or fleet
        capacities.update(dict.fromkeys(group.data_centres, tokens))
    return capacities


def _replicated_token_capacity(model, engines):
    """Return `token_capacity` for the largest sufficient replication factor.

    If none leaves enough memory for requests, there is a single copy.
    """
    required_tokens = model.mean_request_tokens * _REQUESTS_BEFORE_REPLICATION
    capacities = [
        token_capacity(model, engines, factor) for factor in _REPLICATION_FACTORS
    ]
    sufficient = [tokens for tokens in capacities if tokens >= required_tokens]
    return sufficient[0] if sufficient else token_capacity(model, engines)


def _total_layers(model, kinds, tokens):
    return sum(
        count * layers_that_fit(model, model.kinds[name], tokens)
        for name, count in kinds.items()
    )


class LayerCoverage:
    """Copies of each layer, in the fleet and in each group of data centres.

    The counts are updated incrementally as engines are assigned layers: recounting for
    each of thousands of engines takes longer than the time before the first request.
    """

    def __init__(
        self,
        model: EngineModel,
        members: dict[str, frozenset[str]],
        holding: list[PoolUpstream],
    ):
        self._layers = model.layers
        self._members = members
        self._fleet_copies = [0] * model.layers
        self._group_copies: dict[frozenset[str], list[int]] = {}
        self._boundaries = {0}
        for engine in holding:
            self.add(engine)

    @property
    def boundaries(self) -> set[int]:
        """Layers at which a range ends, so that another one can begin there."""
        return self._boundaries

    def add(self, engine: PoolUpstream):
        if engine.layers is None:
            return
        group_copies = self._group_copies_of(engine)
        first, end = engine.layers.first, min(engine.layers.end, self._layers)
        for layer in range(first, end):
            self._fleet_copies[layer] += 1
            group_copies[layer] += 1
        self._boundaries.add(end)

    def layer_weights(self, engine: PoolUpstream) -> list[float]:
        """Return how much another copy of each layer is worth to an engine's group."""
        group_copies = self._group_copies_of(engine)
        return [
            _layer_weight(*copies)
            for copies in zip(self._fleet_copies, group_copies, strict=True)
        ]

    def _group_copies_of(self, engine):
        group = self._members.get(engine.data_centre, frozenset((engine.data_centre,)))
        return self._group_copies.setdefault(group, [0] * self._layers)


def choose_layers(
    model: EngineModel,
    engine: PoolUpstream,
    coverage: LayerCoverage,
    tokens: float,
) -> LayerRange | None:
    """Return the layers for an empty engine, given the layers that others hold.

    None means that the engine cannot hold a single layer.
    """
    kind = model.kinds.get(engine.kind)
    if kind is None:
        return None
    count = layers_that_fit(model, kind, tokens) or layers_that_fit(model, kind, 0.0)
    if count == 0:
        return None
    return _best_window(coverage.layer_weights(engine), count, coverage.boundaries)


def _layer_weight(fleet_copies, group_copies):
    if fleet_copies == 0:
        return _WEIGHT_MISSING_IN_FLEET
    if group_copies == 0:
        return _WEIGHT_MISSING_IN_GROUP
    return 1.0 / (1 + group_copies) ** 2


def _best_window(weights, count, boundaries):
    """Return the window of `count` layers with the largest total weight.

    Ties go to a window that begins where another range ends, then to the first one, so
    that ranges line up and paths have few hops.
    """
    best, best_rank = None, None
    sums = [0.0, *accumulate(weights)]
    for first in range(len(weights) - count + 1):
        weight = round(sums[first + count] - sums[first], 6)
        rank = (weight, first in boundaries, -first)
        if best_rank is None or rank > best_rank:
            best, best_rank = LayerRange(first, first + count), rank
    return best


def placement_order(
    model: EngineModel,
    engines: list[PoolUpstream],
    members: dict[str, frozenset[str]],
):
    """Return engines in the order in which they are assigned layers: fast kinds first.

    `members` maps each data centre to all data centres of its group. Data centres that
    share a copy are ordered one after another, so that each holds a range of its own
    and paths cross between them as rarely as possible.
    """

    def rank(engine):
        kind = model.kinds.get(engine.kind)
        is_shared = len(members[engine.data_centre]) > 1
        return (
            engine.data_centre if is_shared else "",
            kind.step_factor if kind else float("inf"),
            engine.address,
        )

    return sorted(engines, key=rank)


class LayerAssignment(NamedTuple):
    """Layers that an engine is to hold instead of its current ones, if any.

    An urgent assignment does not wait for the requests that use the released layers.
    While only the engine's data centre lacks layers, its requests run over paths that
    cross to others; ending them would cost each stream one of its few attempts.
    """

    engine: PoolUpstream
    layers: LayerRange
    urgent: bool = True


def choose_reassignments(
    model: EngineModel, engines: list[PoolUpstream], may_rebalance: bool = False
) -> list[LayerAssignment]:
    """Return the assignments that give each data centre group its missing layers.

    Engines whose layers are all held by others too are reassigned first. If they do not
    suffice, all layers of the group are rebalanced over its engines. A group whose
    engines cannot hold all layers is left unchanged. `engines` are those that serve,
    with the layers that they were already ordered to hold. Assignments are urgent if no
    engine holds some layers, so that all paths fail.

    If `may_rebalance`, one data centre without missing layers is rebalanced as well if
    that gives its bottleneck layer much more memory. Its paths fail in the meantime, so
    this is done only if no group has missing layers to restore.
    """
    assignments, rebalanced = [], []
    holding = [engine for engine in engines if engine.layers is not None]
    is_fleet_incomplete = bool(_missing_layers(model, holding))
    capacities = token_capacity_by_data_centre(model, engines)
    for group in group_data_centres(model, engines, token_capacity):
        tokens = capacities[min(group.data_centres)]
        local = [engine for engine in group.engines if engine.layers is not None]
        if not _missing_layers(model, local):
            has_bottleneck = group.is_single and _has_bottleneck(model, local, tokens)
            if may_rebalance and not rebalanced and has_bottleneck:
                rebalanced = [
                    assignment._replace(urgent=False)
                    for assignment in _rebalance(model, local)
                ]
            continue
        reassigned = {
            assignment.engine.id: assignment
            for assignment in _reassign_redundant(model, local, tokens)
        }
        after = [
            e._replace(layers=reassigned[e.id].layers) if e.id in reassigned else e
            for e in local
        ]
        chosen = list(reassigned.values())
        if _missing_layers(model, after) or _has_bottleneck(
            model, after, token_capacity(model, local)
        ):
            chosen = _rebalance(model, local)
        assignments += [item._replace(urgent=is_fleet_incomplete) for item in chosen]
    return assignments or rebalanced


def count_missing_layers(
    model: EngineModel, engines: list[PoolUpstream]
) -> dict[str, int]:
    """Return how many layers are missing in each data centre group that lacks any.

    A group is named by its data centres.
    """
    counts = {}
    for group in group_data_centres(model, engines, token_capacity):
        holding = [engine for engine in group.engines if engine.layers is not None]
        missing = _missing_layers(model, holding)
        if missing:
            counts["+".join(sorted(group.data_centres))] = len(missing)
    return counts


def _has_bottleneck(
    model: EngineModel, engines: list[PoolUpstream], tokens: float
) -> bool:
    """Whether some layer has memory for far fewer than `tokens` request tokens."""
    return (
        tokens > 0
        and _bottleneck_capacity(model, engines) * _MIN_REBALANCE_GAIN <= tokens
    )


def _bottleneck_capacity(model, engines):
    """Return the request tokens that fit on the layer with the least capacity."""
    capacities = [0.0] * model.layers
    for engine in engines:
        layer_count = engine.layers.end - engine.layers.first
        tokens = model.capacity(model.kinds[engine.kind], layer_count) / max(
            layer_count, 1
        )
        for layer in range(engine.layers.first, min(engine.layers.end, model.layers)):
            capacities[layer] += tokens
    return min(capacities)


def _reassign_redundant(model, engines, tokens):
    """Assign missing layers to engines whose own layers others hold too."""
    assignments = []
    held = {engine.id: engine for engine in engines}
    while missing := _missing_layers(model, held.values()):
        redundant = [e for e in held.values() if _is_redundant(e, held.values())]
        redundant = [
            e
            for e in redundant
            if e.id not in {assignment.engine.id for assignment in assignments}
        ]
        if not redundant:
            return []
        # Slow engines are reassigned first: faster ones are worth more as replicas.
        engine = min(
            redundant, key=lambda e: (-model.kinds[e.kind].step_factor, e.address)
        )
        count = layers_that_fit(model, model.kinds[engine.kind], tokens)
        if count == 0:
            return []
        first = min(missing[0], model.layers - count)
        layers = LayerRange(first, first + count)
        assignments.append(LayerAssignment(engine, layers))
        held[engine.id] = engine._replace(layers=layers)
    return assignments


def _rebalance(model, engines):
    """Return assignments that distribute all layers evenly over the engines.

    Engines that hold many layers keep them, because they would take longest to load;
    the others keep their relative order, so that most of them load few layers.
    """
    tokens = token_capacity(model, engines)
    pinned = _pinned_engines(model, engines)
    for _ in range(_REBALANCE_ATTEMPTS):
        assignments = _assign_between(model, engines, pinned, tokens)
        if assignments is not None:
            return assignments
        tokens *= _REBALANCE_TOKENS_FACTOR
    return _assign_between(model, engines, [], token_capacity(model, engines)) or []


def _pinned_engines(model, engines):
    pinned = []
    for engine in sorted(engines, key=lambda e: (e.layers, e.address)):
        layer_count = engine.layers.end - engine.layers.first
        if layer_count < model.layers * _PINNED_LAYER_FRACTION:
            continue
        if pinned and pinned[-1].layers.end > engine.layers.first:
            continue
        pinned.append(engine)
    return pinned


def _assign_between(model, engines, pinned, tokens):
    """Assign the layers between pinned engines to the others, or return None."""
    pinned_ids = {engine.id for engine in pinned}
    movable = [e for e in engines if e.id not in pinned_ids]
    movable.sort(key=lambda e: (e.layers, e.address))
    assignments, first = [], 0
    for end in [*[e.layers.first for e in pinned], model.layers]:
        while first < end:
            if not movable:
                return None
            engine = movable.pop(0)
            count = layers_that_fit(model, model.kinds[engine.kind], tokens)
            if count == 0:
                continue
            start = min(first, model.layers - count)
            layers = LayerRange(start, start + count)
            first = layers.end
            if layers != engine.layers:
                assignments.append(LayerAssignment(engine, layers))
        pinned_ends = [e.layers.end for e in pinned if e.layers.first <= first]
        first = max([first, *pinned_ends])
    return assignments


def _missing_layers(model, engines):
    """Return the layers that none of `engines` holds."""
    covered = set()
    for engine in engines:
        covered.update(range(engine.layers.first, engine.layers.end))
    return [layer for layer in range(model.layers) if layer not in covered]


def _is_redundant(engine, engines):
    """Whether other engines hold every layer of `engine`."""
    others = [e for e in engines if e.id != engine.id]
    return all(
        any(e.layers.first <= layer < e.layers.end for e in others)
        for layer in range(engine.layers.first, engine.layers.end)
    )
