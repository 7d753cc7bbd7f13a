"""Selects the path of upstreams for a request.

A path is a sequence of hops that together run every layer once, in order. An upstream
may run any part of its layer range, so a path can switch to a faster upstream before
the end of a range. The cheapest path is found by dynamic programming over the layers at
which ranges begin or end; its cost is the expected time of the request on it.
"""

import random
import time
from collections import Counter

from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.pipelines.demand import Demand
from bulrushdrum._internal.pipelines.errors import (
    InsufficientMemory,
    LimitsReached,
    NoPath,
    PipelineError,
)
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop, MemoryReservations
from bulrushdrum._internal.pipelines.memory_shortages import MemoryShortages
from bulrushdrum._internal.pipelines.path_policies import (
    LeastTime,
    PathPolicy,
    layer_cost,
)
from bulrushdrum._internal.world.engines import EngineModel, PoolUpstream
from bulrushdrum._internal.world.upstreams import LayerRange

# Engines refuse a path with more hops.
MAX_HOPS = 32
# Paths that cross between two data centres share one link, which carries their
# transfers one after another. New paths are admitted up to this fraction of its time.
_MAX_LINK_UTILIZATION = 0.5
# Link time that may be spent at once.
_LINK_BURST_SECONDS = 0.5
# Added to the cost of a path that lies outside the router's data centre, because the
# first event of a request arrives later from there. It keeps requests in the router's
# data centre unless another one is clearly faster.
_REMOTE_ENTRY_PENALTY_SECONDS = 0.1
# The cost of a hop increases linearly with the memory in use, by this fraction at full
# memory, so that load spreads before engines are full.
_UTILIZATION_COST_FACTOR = 1.0
# Exceeds the cost of any path, so that the number of such hops decides first.
_DISCOURAGED_PENALTY_SECONDS = 1e6

_DEFAULT_POLICY = LeastTime()


class _LinkBudget:
    """Token bucket for this router's share of the time of one link."""

    def __init__(self, clock):
        self._clock = clock
        self._balance = _LINK_BURST_SECONDS
        self._refilled_at = clock()

    def refill(self, router_count: int):
        now = self._clock()
        refill = (
            (now - self._refilled_at) * _MAX_LINK_UTILIZATION / max(router_count, 1)
        )
        self._balance = min(self._balance + refill, _LINK_BURST_SECONDS)
        self._refilled_at = now

    def has(self, seconds: float) -> bool:
        return seconds <= self._balance

    def spend(self, seconds: float):
        self._balance -= seconds


class PathChooser:
    """Chooses paths for requests that arrive in `data_centre`.

    A path stays within one data centre if any data centre has all layers and enough
    free memory, because far more bytes pass between its hops than between the router
    and the first hop.
    """

    def __init__(
        self,
        fleet: Fleet,
        reservations: MemoryReservations,
        limits: UpstreamLimits,
        data_centre: str,
        count_routers=lambda: 1,
        seed=None,
        clock=time.monotonic,
        policy: PathPolicy = _DEFAULT_POLICY,
    ):
        self._policy = policy
        self._fleet = fleet
        self._reservations = reservations
        self._limits = limits
        self._data_centre = data_centre
        self._count_routers = count_routers
        self._slowdowns: dict[str, float] = {}
        self._random = random.Random(seed)
        self._clock = clock
        self._link_budgets: dict[tuple[str, str], _LinkBudget] = {}
        self._shortages = MemoryShortages(reservations, clock)

    def set_slowdown(self, upstream_id: str, slowdown: float):
        """Set how many times slower an upstream runs than is typical of its kind."""
        self._slowdowns[upstream_id] = max(slowdown, 0.1)

    def choose(
        self,
        service: str,
        model: EngineModel,
        demand: Demand,
        excluded=frozenset(),
        discouraged=frozenset(),
        requester: object = None,
    ) -> tuple[Hop, ...]:
        """Return the cheapest path with enough free memory, and count its request.

        The path has none of the upstreams `excluded`, and as few as possible of those
        `discouraged`. Its upstreams have not reached the limits that they name;
        `requester` identifies the request for these.

        Raises `NoPath` if some layers are not available, `InsufficientMemory`, or
        `LimitsReached`.
        """
        if not demand.has_begun and self._shortages.is_known(service, demand.tokens):
            raise _insufficient_memory(service, demand)
        reached: list[PoolUpstream] = []
        while True:
            reached_ids = {upstream.id for upstream in reached}
            try:
                path = self._find_path(
                    service, model, demand, excluded | reached_ids, discouraged
                )
            except PipelineError as error:
                if not reached:
                    is_short = isinstance(error, InsufficientMemory) and not excluded
                    if is_short and not demand.has_begun:
                        self._shortages.record(service, demand.tokens)
                    raise
                raise LimitsReached(
                    self._limits.summarize(reached),
                    others=str(error),
                    frees_memory=isinstance(error, InsufficientMemory),
                ) from error
            reached_on_path = self._limits.acquire(
                [hop.upstream for hop in path], requester
            )
            if not reached_on_path:
                self._spend_link_time(model, path, demand)
                return path
            reached += reached_on_path

    def _find_path(self, service, model, demand, excluded, discouraged):
        engines = [
            engine
            for engine in self._fleet.available(service)
            if engine.layers is not None
            and model.can_use(engine)
            and engine.id not in excluded
        ]
        discouraged = discouraged | self._fleet.suspects()
        if not self._covers(model, engines):
            raise NoPath(f"no available engine holds some layers of {service!r}")
        engines_with_memory = [
            engine for engine in engines if self._has_memory(model, engine, demand)
        ]
        failing = self._failing_first_hops(engines)
        costs = [
            _EngineCosts(
                self,
                model,
                engine,
                demand,
                is_discouraged=engine.id in discouraged,
                is_failing_first=engine.id in failing,
            )
            for engine in engines_with_memory
        ]
        local_path = self._cheapest_within_data_centre(model, costs, demand)
        if local_path is not None:
            return local_path
        path = self._cheapest_path(model, costs)
        if path is not None and self._has_link_time(model, path, demand):
            return path
        raise _insufficient_memory(service, demand)

    def _failing_first_hops(self, engines):
        """Return the engines at which no path should begin, if others can begin one."""
        holders = [engine for engine in engines if engine.layers.first == 0]
        failing = {e.id for e in holders if self._fleet.is_avoided_as_first(e)}
        return failing if len(failing) < len(holders) else set()

    def describe_memory(self, service: str, model: EngineModel) -> dict:
        """Return the state of each data centre that explains a lack of memory.

        `missing` counts the layers that no available engine holds there; `fullest` is
        the highest fraction of an engine's memory that is reserved, and `sequences` the
        highest number of requests at an engine.
        """
        groups: dict[str, list[PoolUpstream]] = {}
        for engine in self._fleet.available(service):
            if engine.layers is not None and model.can_use(engine):
                groups.setdefault(engine.data_centre, []).append(engine)
        return {
            data_centre: {
                "missing": len(_missing_layers(model, engines)),
                "fullest": round(
                    max(self.memory_utilization(model, e) for e in engines), 2
                ),
                "sequences": max(
                    self._reservations.usage(engine.id).sequences for engine in engines
                ),
            }
            for data_centre, engines in groups.items()
        }

    def memory_utilization(self, model: EngineModel, engine: PoolUpstream) -> float:
        """Return the fraction of an engine's memory that is reserved."""
        if engine.layers is None or not model.can_use(engine):
            return 0.0
        layer_count = engine.layers.end - engine.layers.first
        capacity = model.capacity(model.kinds[engine.kind], layer_count)
        return self._reservations.usage(engine.id).token_layers / max(capacity, 1.0)

    def _has_link_time(self, model, path, demand):
        uses = self._link_uses(model, path, demand)
        return all(budget.has(seconds) for budget, seconds in uses)

    def _spend_link_time(self, model, path, demand):
        for budget, seconds in self._link_uses(model, path, demand):
            budget.spend(seconds)

    def _link_uses(self, model, path, demand):
        """Return the refilled budget of each link of a path, and the time it needs."""
        seconds = model.transfer_seconds(demand.tokens)
        router_count = self._count_routers()
        uses = []
        for link, crossings in Counter(_crossed_links(path)).items():
            budget = self._link_budgets.setdefault(link, _LinkBudget(self._clock))
            budget.refill(router_count)
            uses.append((budget, seconds * crossings))
        return uses

    def _cheapest_within_data_centre(self, model, costs, demand):
        groups: dict[str, list[_EngineCosts]] = {}
        for engine_costs in costs:
            groups.setdefault(engine_costs.engine.data_centre, []).append(engine_costs)
        best, best_cost = None, None
        for data_centre, group in groups.items():
            if not self._covers(model, [engine_costs.engine for engine_costs in group]):
                continue
            path = self._cheapest_path(model, group)
            if path is None:
                continue
            cost = self._path_cost(path, group)
            if data_centre != self._data_centre:
                cost += _REMOTE_ENTRY_PENALTY_SECONDS
            if best is None or cost < best_cost:
                best, best_cost = path, cost
        return best

    def _path_cost(self, path, costs):
        by_id = {engine_costs.engine.id: engine_costs for engine_costs in costs}
        return sum(
            by_id[hop.upstream.id].hop_cost(hop.layers.end - hop.layers.first)
            for hop in path
        )

    def _has_memory(self, model, engine, demand):
        kind = model.kinds[engine.kind]
        layer_count = engine.layers.end - engine.layers.first
        capacity = model.capacity(kind, layer_count) * demand.max_utilization
        used = self._reservations.usage(engine.id).token_layers
        # A path needs memory for at least one layer on each of its engines.
        return used + demand.tokens <= capacity

    def _covers(self, model, engines):
        return not _missing_layers(model, engines)

    def _cheapest_path(self, model, costs):
        path = self._search(model, costs, allow_partial_ranges=True)
        if path is not None and _has_repeats(path):
            path = self._search(model, costs, allow_partial_ranges=False)
        if path is None or len(path) > MAX_HOPS or _has_repeats(path):
            return None
        return path

    def _search(self, model, costs, allow_partial_ranges):
        starts = sorted({engine_costs.engine.layers.first for engine_costs in costs})
        # best[layer][data_centre] is the lowest cost of running all layers before
        # `layer` with the last hop in `data_centre`, and the last step of that path.
        best = {0: {self._data_centre: (0.0, None)}}
        pending_layers = {0}
        expanded = set()
        while pending_layers:
            layer = min(pending_layers)
            pending_layers.discard(layer)
            if layer in expanded or layer >= model.layers:
                continue
            expanded.add(layer)
            for engine_costs in costs:
                engine = engine_costs.engine
                if not engine.layers.first <= layer < engine.layers.end:
                    continue
                if layer == 0 and not engine_costs.can_begin:
                    continue
                arrival = engine_costs.cheapest_arrival(best[layer])
                ends = [min(engine.layers.end, model.layers)]
                if allow_partial_ranges:
                    ends += [s for s in starts if layer < s < ends[0]]
                for end in ends:
                    cost = engine_costs.hop_cost(end - layer)
                    if cost is None:
                        continue
                    total, previous = arrival[0] + cost, arrival[1]
                    arrivals = best.setdefault(end, {})
                    known = arrivals.get(engine.data_centre)
                    if known is None or total < known[0]:
                        step = (engine, layer, end, previous)
                        arrivals[engine.data_centre] = (total, step)
                    pending_layers.add(end)
        return _reconstruct_path(best.get(model.layers))


def _insufficient_memory(service, demand):
    return InsufficientMemory(
        f"no path of {service!r} has free memory for {demand.tokens:.0f} tokens"
    )


def _missing_layers(model, engines):
    """Return the layers that none of `engines` holds."""
    missing, layer = [], 0
    for engine in sorted(engines, key=lambda engine: engine.layers.first):
        missing += range(layer, engine.layers.first)
        layer = max(layer, engine.layers.end)
    return [*missing, *range(layer, model.layers)]


def _reconstruct_path(arrivals):
    if not arrivals:
        return None
    _, step = min(arrivals.values(), key=lambda arrival: arrival[0])
    hops = []
    while step is not None:
        engine, first, end, step = step
        hops.append(Hop(engine, LayerRange(first, end)))
    return tuple(reversed(hops))


def _crossed_links(path):
    """Return the links that a path crosses, as sorted pairs of data centres."""
    data_centres = [hop.upstream.data_centre for hop in path]
    pairs = zip(data_centres, data_centres[1:], strict=False)
    return [tuple(sorted(pair)) for pair in pairs if pair[0] != pair[1]]


def _has_repeats(path):
    return len({hop.upstream.id for hop in path}) < len(path)


class _EngineCosts:
    """Costs of running one request on one engine, in seconds under `LeastTime`."""

    def __init__(
        self,
        chooser,
        model,
        engine: PoolUpstream,
        demand,
        is_discouraged,
        is_failing_first,
    ):
        kind = model.kinds[engine.kind]
        usage = chooser._reservations.usage(engine.id)
        slowdown = chooser._slowdowns.get(engine.id, 1.0)
        layer_count = engine.layers.end - engine.layers.first
        capacity = model.capacity(kind, layer_count)
        self.engine = engine
        self.can_begin = (
            usage.first_sequences < model.max_sequences and not is_failing_first
        )
        self._model = model
        self._demand = demand
        self._free_token_layers = capacity * demand.max_utilization - usage.token_layers
        self._utilization_factor = (
            1.0 + _UTILIZATION_COST_FACTOR * usage.token_layers / max(capacity, 1.0)
        )
        context_seconds = model.mean_request_tokens * model.context_seconds_per_token
        step_seconds = model.step_seconds + usage.sequences * (
            model.sequence_seconds + context_seconds
        )
        prefill_seconds = kind.prefill_factor / model.prefill_tokens_per_second
        seconds = (
            demand.answer * kind.step_factor * step_seconds
            + demand.prompt * prefill_seconds
        )
        self._cost_per_layer = layer_cost(
            chooser._policy, engine, seconds * slowdown / model.layers, chooser._random
        )
        self._fixed_cost = _DISCOURAGED_PENALTY_SECONDS if is_discouraged else 0.0
        self._jitter = 1.0 + 0.02 * chooser._random.random()

    def cheapest_arrival(self, arrivals):
        """Return the lowest cost of arriving at this engine, and the step before it.

        `arrivals` has the cost and the last step by the data centre of that step.
        """
        own_data_centre, best = self.engine.data_centre, None
        for data_centre, (cost, step) in arrivals.items():
            total = cost + self._demand.answer * self._model.delay(
                data_centre, own_data_centre
            )
            if data_centre != own_data_centre and step is not None:
                total += self._model.transfer_seconds(self._demand.tokens)
            if best is None or total < best[0]:
                best = (total, step)
        return best

    def hop_cost(self, layer_count):
        """Return the cost of running `layer_count` layers, or None without memory."""
        if layer_count * self._demand.tokens > self._free_token_layers:
            return None
        return self._fixed_cost + (
            layer_count * self._cost_per_layer * self._utilization_factor * self._jitter
        )
