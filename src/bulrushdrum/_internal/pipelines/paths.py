"""Chooses the upstreams that a request passes through.

A path is a sequence of hops that together run every layer once, in order. An upstream
may run any part of its range, so a path can leave a range early where a faster upstream
begins. The cheapest path is found by dynamic programming over the layers at which some
range begins or ends; its cost is the expected time of the request on it.
"""

import random
import time
from typing import NamedTuple

from bulrushdrum._internal.pipelines.errors import InsufficientMemory, NoPath
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop, MemoryReservations
from bulrushdrum._internal.pipelines.path_policies import (
    LeastTime,
    PathPolicy,
    layer_cost,
)
from bulrushdrum._internal.world.engines import EngineModel, PoolUpstream
from bulrushdrum._internal.world.upstreams import LayerRange

# A server refuses a path with more parts.
MAX_HOPS = 32
# A path that leaves its data centre waits for a pipe that all such paths share, one
# transfer after another. New ones are let onto it up to this part of its time.
_LINK_SHARE = 0.5
# Time on the pipe that may be taken at once, in seconds.
_LINK_BURST_SECONDS = 0.5
# What the first event of a request gains from a near first upstream, in seconds: enough
# to stay in the router's data centre unless another one is clearly faster.
_NEARNESS_SECONDS = 0.1
# The part of its answer that a request occupies on average, and a little more.
_OCCUPIED_ANSWER = 0.65
# A hop whose memory would be filled beyond this part counts as full for new requests,
# because answers may become longer than their callers expect.
_USABLE_MEMORY = 0.92
# Memory in use makes a hop less attractive before it is full; at the bound its cost has
# grown by this factor.
_PRESSURE = 1.0


_DEFAULT_POLICY = LeastTime()


class Demand(NamedTuple):
    """What a request needs: its prompt and expected answer, in tokens."""

    prompt: float
    answer: float

    @property
    def tokens(self) -> float:
        """Memory that the request occupies on average over its life, nearly.

        Requests on board are of all ages, so their sum is near that of their means.
        """
        return self.prompt + _OCCUPIED_ANSWER * self.answer


class _LinkBudget:
    """Time on the pipe between two data centres that this router may still take."""

    def __init__(self, clock):
        self._clock = clock
        self._balance = _LINK_BURST_SECONDS
        self._filled_at = clock()

    def try_spend(self, seconds: float, routers: int) -> bool:
        now = self._clock()
        earned = (now - self._filled_at) * _LINK_SHARE / max(routers, 1)
        self._balance = min(self._balance + earned, _LINK_BURST_SECONDS)
        self._filled_at = now
        if seconds > self._balance:
            return False
        self._balance -= seconds
        return True


class PathChooser:
    """Chooses paths for requests that enter at `data_centre`.

    A path stays in one data centre if any of them has all layers and room; the bytes
    between its hops are many times those between the router and the first of them.
    """

    def __init__(
        self,
        fleet: Fleet,
        reservations: MemoryReservations,
        data_centre: str,
        count_routers=lambda: 1,
        seed=None,
        clock=time.monotonic,
        policy: PathPolicy = _DEFAULT_POLICY,
    ):
        self._policy = policy
        self._fleet = fleet
        self._reservations = reservations
        self._data_centre = data_centre
        self._count_routers = count_routers
        self._slowdowns: dict[str, float] = {}
        self._random = random.Random(seed)
        self._clock = clock
        self._links: dict[tuple[str, str], _LinkBudget] = {}

    def set_slowdown(self, upstream_id: str, slowdown: float):
        """Take over how many times slower than its kind an upstream runs."""
        self._slowdowns[upstream_id] = max(slowdown, 0.1)

    def choose(
        self, service: str, model: EngineModel, demand: Demand, excluded=frozenset()
    ) -> tuple[Hop, ...]:
        """Return the cheapest path that has room.

        Raises `NoPath` or `InsufficientMemory`.
        """
        engines = [
            engine
            for engine in self._fleet.available(service)
            if engine.layers is not None
            and engine.kind in model.kinds
            and engine.id not in excluded
        ]
        if not self._covers(model, engines):
            raise NoPath(f"layers of {service} are missing")
        with_memory = [
            engine
            for engine in engines
            if self._has_memory(model, engine, demand.tokens)
        ]
        costs = [_EngineCosts(self, model, engine, demand) for engine in with_memory]
        local = self._within_data_centres(model, costs, demand)
        if local is not None:
            return local
        path = self._cheapest(model, costs)
        if path is not None and self._may_leave_data_centre(model, path, demand):
            return path
        raise InsufficientMemory(
            f"no path of {service} has room for {demand.tokens:.0f} tokens"
        )

    def describe_memory(self, service: str, model: EngineModel) -> dict:
        """Return, for each data centre, what a refusal for want of room rests on.

        `missing` counts layers that no usable engine holds there; `fullest` is the
        largest part of an engine's memory that is reserved.
        """
        groups: dict[str, list[PoolUpstream]] = {}
        for engine in self._fleet.available(service):
            if engine.layers is not None and engine.kind in model.kinds:
                groups.setdefault(engine.data_centre, []).append(engine)
        return {
            data_centre: {
                "missing": len(_missing_layers(model, engines)),
                "fullest": round(max(self._part_used(model, e) for e in engines), 2),
                "sequences": max(
                    self._reservations.usage(engine.id).sequences for engine in engines
                ),
            }
            for data_centre, engines in groups.items()
        }

    def _part_used(self, model, engine):
        held = engine.layers.end - engine.layers.first
        capacity = model.capacity(model.kinds[engine.kind], held)
        return self._reservations.usage(engine.id).token_layers / max(capacity, 1.0)

    def _may_leave_data_centre(self, model, path, demand):
        seconds = model.transfer_seconds(demand.tokens)
        routers = self._count_routers()
        return all(
            self._links.setdefault(link, _LinkBudget(self._clock)).try_spend(
                seconds, routers
            )
            for link in _crossings(path)
        )

    def _within_data_centres(self, model, costs, demand):
        groups: dict[str, list[_EngineCosts]] = {}
        for engine_costs in costs:
            groups.setdefault(engine_costs.engine.data_centre, []).append(engine_costs)
        best, best_cost = None, None
        for data_centre, group in groups.items():
            if not self._covers(model, [engine_costs.engine for engine_costs in group]):
                continue
            path = self._cheapest(model, group)
            if path is None:
                continue
            cost = self._cost(path, group)
            if data_centre != self._data_centre:
                cost += _NEARNESS_SECONDS
            if best is None or cost < best_cost:
                best, best_cost = path, cost
        return best

    def _cost(self, path, costs):
        by_id = {engine_costs.engine.id: engine_costs for engine_costs in costs}
        return sum(
            by_id[hop.upstream.id].running_cost(hop.layers.end - hop.layers.first)
            for hop in path
        )

    def _has_memory(self, model, engine, tokens):
        kind = model.kinds[engine.kind]
        held = engine.layers.end - engine.layers.first
        capacity = model.capacity(kind, held) * _USABLE_MEMORY
        # The smallest part that a path could ask for is one layer.
        return self._reservations.usage(engine.id).token_layers + tokens <= capacity

    def _covers(self, model, engines):
        return not _missing_layers(model, engines)

    def _cheapest(self, model, costs):
        path = self._search(model, costs, leave_early=True)
        if path is not None and _has_repeats(path):
            path = self._search(model, costs, leave_early=False)
        if path is None or len(path) > MAX_HOPS or _has_repeats(path):
            return None
        return path

    def _search(self, model, costs, leave_early):
        starts = sorted({engine_costs.engine.layers.first for engine_costs in costs})
        # best[layer][data centre] is the cheapest way to have run the layers before.
        best = {0: {self._data_centre: (0.0, None)}}
        points = {0}
        done = set()
        while points:
            point = min(points)
            points.discard(point)
            if point in done or point >= model.layers:
                continue
            done.add(point)
            for engine_costs in costs:
                engine = engine_costs.engine
                if not engine.layers.first <= point < engine.layers.end:
                    continue
                if point == 0 and engine_costs.first_full:
                    continue
                entering = engine_costs.entering_cost(best[point])
                ends = [min(engine.layers.end, model.layers)]
                if leave_early:
                    ends += [s for s in starts if point < s < ends[0]]
                for end in ends:
                    cost = engine_costs.running_cost(end - point)
                    if cost is None:
                        continue
                    total, previous = entering[0] + cost, entering[1]
                    ways = best.setdefault(end, {})
                    known = ways.get(engine.data_centre)
                    if known is None or total < known[0]:
                        step = (engine, point, end, previous)
                        ways[engine.data_centre] = (total, step)
                    points.add(end)
        return _unroll(best.get(model.layers))


def _missing_layers(model, engines):
    """Return the layers that none of `engines` holds."""
    missing, layer = [], 0
    for engine in sorted(engines, key=lambda engine: engine.layers.first):
        missing += range(layer, engine.layers.first)
        layer = max(layer, engine.layers.end)
    return [*missing, *range(layer, model.layers)]


def _unroll(ways):
    if not ways:
        return None
    _, step = min(ways.values(), key=lambda way: way[0])
    hops = []
    while step is not None:
        engine, first, end, step = step
        hops.append(Hop(engine, LayerRange(first, end)))
    return tuple(reversed(hops))


def _crossings(path):
    """Return the pairs of data centres that a path passes between."""
    places = [hop.upstream.data_centre for hop in path]
    pairs = zip(places, places[1:], strict=False)
    return [tuple(sorted(pair)) for pair in pairs if pair[0] != pair[1]]


def _has_repeats(path):
    return len({hop.upstream.id for hop in path}) < len(path)


class _EngineCosts:
    """Costs of one engine for one request, in seconds."""

    def __init__(self, chooser, model, engine: PoolUpstream, demand):
        kind = model.kinds[engine.kind]
        usage = chooser._reservations.usage(engine.id)
        slowdown = chooser._slowdowns.get(engine.id, 1.0)
        held = engine.layers.end - engine.layers.first
        capacity = model.capacity(kind, held)
        self.engine = engine
        self.first_full = usage.first_sequences >= model.max_sequences
        self._model = model
        self._demand = demand
        self._free = capacity * _USABLE_MEMORY - usage.token_layers
        self._pressure = 1.0 + _PRESSURE * usage.token_layers / max(capacity, 1.0)
        context = model.mean_request_tokens * model.context_seconds_per_token
        step = model.step_seconds + usage.sequences * (model.sequence_seconds + context)
        prefill = kind.prefill_factor / model.prefill_tokens_per_second
        seconds = demand.answer * kind.step_factor * step + demand.prompt * prefill
        self._cost_per_layer = layer_cost(
            chooser._policy, engine, seconds * slowdown / model.layers, chooser._random
        )
        self._jitter = 1.0 + 0.02 * chooser._random.random()

    def entering_cost(self, ways):
        """Return the cheapest way to come here, as a cost and the step before."""
        here, best = self.engine.data_centre, None
        for data_centre, (cost, step) in ways.items():
            total = cost + self._demand.answer * self._model.delay(data_centre, here)
            if data_centre != here and step is not None:
                total += self._model.transfer_seconds(self._demand.tokens)
            if best is None or total < best[0]:
                best = (total, step)
        return best

    def running_cost(self, layers):
        """Return the cost of running some layers here, or None without room."""
        if layers * self._demand.tokens > self._free:
            return None
        return layers * self._cost_per_layer * self._pressure * self._jitter
