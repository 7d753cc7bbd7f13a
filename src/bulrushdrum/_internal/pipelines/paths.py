"""Chooses the upstreams that a request passes through.

A path is a sequence of hops that together run every layer once, in order. An upstream
may run any part of its range, so a path can leave a range early where a faster upstream
begins. The cheapest path is found by dynamic programming over the layers at which some
range begins or ends; its cost is the expected time of the request on it.
"""

import random
from typing import NamedTuple

from bulrushdrum._internal.pipelines.errors import NoPath, NoRoom
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory import Hop, MemoryLedger
from bulrushdrum._internal.world.engines import EngineModel, PoolUpstream
from bulrushdrum._internal.world.upstreams import LayerRange

# A server refuses a path with more parts.
MAX_HOPS = 32
# Crossing to another data centre loads a pipe that all share, which the delays do not
# show: this much is added to the cost of a token's way, in seconds.
_CROSSING_SECONDS = 0.002
# A hop whose memory would be filled beyond this part counts as full for new requests,
# because answers may become longer than their callers expect.
_USABLE_MEMORY = 0.92
# Memory in use makes a hop less attractive before it is full; at the bound its cost has
# grown by this factor.
_PRESSURE = 1.0


class Demand(NamedTuple):
    """What a request needs: prompt tokens, expected answer tokens, and their sum."""

    prompt: float
    answer: float

    @property
    def tokens(self) -> float:
        return self.prompt + self.answer


class PathChooser:
    """Chooses paths for requests that enter at `data_centre`."""

    def __init__(self, fleet: Fleet, ledger: MemoryLedger, data_centre: str, seed=None):
        self._fleet = fleet
        self._ledger = ledger
        self._data_centre = data_centre
        self._paces: dict[str, float] = {}
        self._random = random.Random(seed)

    def set_pace(self, upstream_id: str, pace: float):
        """Take over how many times slower than its kind an upstream runs."""
        self._paces[upstream_id] = max(pace, 0.1)

    def choose(
        self, service: str, model: EngineModel, demand: Demand, excluded=frozenset()
    ) -> tuple[Hop, ...]:
        """Return the cheapest path that has room; raises `NoPath` or `NoRoom`."""
        engines = [
            engine
            for engine in self._fleet.usable(service)
            if engine.layers is not None
            and engine.kind in model.kinds
            and engine.id not in excluded
        ]
        roomy = [
            engine for engine in engines if self._has_room(model, engine, demand.tokens)
        ]
        path = self._cheapest(model, roomy, demand)
        if path is not None:
            return path
        if self._covers(model, engines):
            raise NoRoom(
                f"no path of {service} has room for {demand.tokens:.0f} tokens"
            )
        raise NoPath(f"layers of {service} are missing")

    def _has_room(self, model, engine, tokens):
        kind = model.kinds[engine.kind]
        held = engine.layers.end - engine.layers.first
        capacity = model.capacity(kind, held) * _USABLE_MEMORY
        # The smallest part that a path could ask for is one layer.
        return self._ledger.use(engine.id).token_layers + tokens <= capacity

    def _covers(self, model, engines):
        layer = 0
        for engine in sorted(engines, key=lambda engine: engine.layers.first):
            if engine.layers.first > layer:
                return False
            layer = max(layer, engine.layers.end)
        return layer >= model.layers

    def _cheapest(self, model, engines, demand):
        path = self._search(model, engines, demand, leave_early=True)
        if path is not None and _has_repeats(path):
            path = self._search(model, engines, demand, leave_early=False)
        if path is None or len(path) > MAX_HOPS or _has_repeats(path):
            return None
        return path

    def _search(self, model, engines, demand, leave_early):
        starts = sorted({engine.layers.first for engine in engines})
        figures = [_Figures(self, model, engine, demand) for engine in engines]
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
            for figure in figures:
                engine = figure.engine
                if not engine.layers.first <= point < engine.layers.end:
                    continue
                if point == 0 and figure.first_full:
                    continue
                entering = figure.entering_cost(best[point])
                ends = [min(engine.layers.end, model.layers)]
                if leave_early:
                    ends += [s for s in starts if point < s < ends[0]]
                for end in ends:
                    cost = figure.running_cost(end - point)
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


def _unroll(ways):
    if not ways:
        return None
    _, step = min(ways.values(), key=lambda way: way[0])
    hops = []
    while step is not None:
        engine, first, end, step = step
        hops.append(Hop(engine, LayerRange(first, end)))
    return tuple(reversed(hops))


def _has_repeats(path):
    return len({hop.upstream.id for hop in path}) < len(path)


class _Figures:
    """Costs of one engine for one request, in seconds."""

    def __init__(self, chooser, model, engine: PoolUpstream, demand):
        kind = model.kinds[engine.kind]
        use = chooser._ledger.use(engine.id)
        pace = chooser._paces.get(engine.id, 1.0)
        held = engine.layers.end - engine.layers.first
        capacity = model.capacity(kind, held)
        self.engine = engine
        self.first_full = use.first_sequences >= model.max_sequences
        self._model = model
        self._demand = demand
        self._free = capacity * _USABLE_MEMORY - use.token_layers
        self._pressure = 1.0 + _PRESSURE * use.token_layers / max(capacity, 1.0)
        context = model.usual_tokens * model.context_seconds_per_token
        step = model.step_seconds + use.sequences * (model.sequence_seconds + context)
        read = kind.read_factor / model.read_tokens_per_second
        seconds = demand.answer * kind.step_factor * step + demand.prompt * read
        self._seconds_per_layer = seconds * pace / model.layers
        self._jitter = 1.0 + 0.02 * chooser._random.random()

    def entering_cost(self, ways):
        """Return the cheapest way to come here, as a cost and the step before."""
        here, best = self.engine.data_centre, None
        for data_centre, (cost, step) in ways.items():
            delay = self._model.delay(data_centre, here)
            if data_centre != here:
                delay += _CROSSING_SECONDS
            total = cost + self._demand.answer * delay
            if best is None or total < best[0]:
                best = (total, step)
        return best

    def running_cost(self, layers):
        """Return the cost of running some layers here, or None without room."""
        if layers * self._demand.tokens > self._free:
            return None
        return layers * self._seconds_per_layer * self._pressure * self._jitter
