"""Chain selection: one upstream for each consecutive range of layers.

A chain is a path from layer 0 to the model's last layer. The `LeastDelay` policy finds
the path with the smallest expected delay: work waiting on each upstream divided by its
speed, plus the link delays between data centres, minus the prefill that a cached prefix
saves. The other policies are baselines for measurements.
"""

import hashlib
import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from expression import Error, Ok, Result

from bulrushdrum._internal.routing.errors import NoChain
from bulrushdrum._internal.routing.membership import Upstream
from bulrushdrum._internal.world.data_centres import LinkDelays

# Entries that see the same stale reports would all choose the same chain, so each cost
# is raised by a random fraction of up to this much.
_MAX_COST_JITTER = 0.15
# Engines cache prompts in whole blocks of this many tokens.
_PREFIX_BLOCK_TOKENS = 64
_MAX_CACHED_PREFIXES = 4096


@dataclass(frozen=True)
class LeastDelay:
    """Chooses the chain with the smallest expected delay."""


@dataclass(frozen=True)
class RandomChoice:
    """Chooses a random upstream at each layer boundary, all equally likely."""


@dataclass(frozen=True)
class RoundRobin:
    """Takes the upstreams at each layer boundary in turn."""


@dataclass(frozen=True)
class LeastReported:
    """Chooses the chain with the fewest queued tokens in the last sidecar reports."""


@dataclass(frozen=True)
class TwoChoices:
    """Chooses the less loaded by report of two random upstreams at each boundary."""


Policy = LeastDelay | RandomChoice | RoundRobin | LeastReported | TwoChoices

POLICIES: dict[str, Policy] = {
    "least_delay": LeastDelay(),
    "random": RandomChoice(),
    "round_robin": RoundRobin(),
    "least_reported": LeastReported(),
    "two_choices": TwoChoices(),
}


class ChainRequest(NamedTuple):
    """Requirements for a chain.

    `avoided_incarnations` holds the sidecars that failed earlier attempts. With
    `suspect_fingerprint` only upstreams that run no other suspect are used.
    `first` fixes the incarnation of the first stage.
    """

    model: str
    prompt: tuple[int, ...]
    answer_tokens: int
    entry_data_centre: str
    avoided_incarnations: frozenset[str] = frozenset()
    suspect_fingerprint: str = ""
    first: str = ""


def prefix_hash(prompt: tuple[int, ...]) -> str:
    """Return the hash of the first block of a prompt, or "" if it is shorter."""
    if len(prompt) < _PREFIX_BLOCK_TOKENS:
        return ""
    block = ",".join(map(str, prompt[:_PREFIX_BLOCK_TOKENS]))
    return hashlib.sha256(block.encode()).hexdigest()[:16]


class ChainPlanner:
    """Chooses chains among the upstreams that `upstreams()` returns."""

    def __init__(self, upstreams, policy: Policy, link_delays: LinkDelays, seed: int):
        self._upstreams = upstreams
        self._policy = policy
        self._link_delays = link_delays
        self._random = random.Random(seed or None)
        self._round_robin_positions: dict[tuple, int] = {}
        self._cached_prefixes: OrderedDict[tuple[str, str], None] = OrderedDict()

    def models(self) -> set[str]:
        """Return the models that currently have a complete chain."""
        names = {
            upstream.description.model
            for upstream in self._upstreams()
            if upstream.serving and not upstream.description.service
        }
        return {name for name in names if self._has_chain(name)}

    def choose(self, request: ChainRequest) -> Result[list[Upstream], NoChain]:
        """Return the upstreams of a chain in layer order, or why there is none.

        Avoided upstreams are used only if there is no chain without them. A missing
        chain is an ordinary result: the caller waits for one or refuses the request.
        """
        candidates = self._candidates(request)
        preferred = [
            u for u in candidates if u.incarnation not in request.avoided_incarnations
        ]
        chain = self._find_chain(preferred, request) or self._find_chain(
            candidates, request
        )
        if chain is None:
            message = f"no chain of upstreams holds {request.model!r}"
            return Error(NoChain("no_chain", message))
        self._record_chain_prefix(request, chain)
        return Ok(chain)

    def record_cache_event(self, upstream: str, prefix: str, stored: bool):
        """Record a cache event; events are delayed and can be lost."""
        if stored:
            self._record_prefix(upstream, prefix)
        else:
            self._cached_prefixes.pop((upstream, prefix), None)

    def discard_cached_prefixes(self, upstream: str):
        """Discard the cached prefixes of an upstream whose engine is lost."""
        for key in [key for key in self._cached_prefixes if key[0] == upstream]:
            del self._cached_prefixes[key]

    def _candidates(self, request):
        return [
            upstream
            for upstream in self._upstreams()
            if upstream.serving
            and upstream.description.model == request.model
            and not upstream.description.service
            and not (
                request.suspect_fingerprint
                and upstream.solo_fingerprints - {request.suspect_fingerprint}
            )
        ]

    def _has_chain(self, model):
        request = ChainRequest(model, (), 1, "")
        return self._find_chain(self._candidates(request), request) is not None

    def _find_chain(self, candidates, request):
        by_version: dict[str, list[Upstream]] = {}
        for upstream in candidates:
            by_version.setdefault(upstream.description.model_version, []).append(
                upstream
            )
        # All stages of a chain run the same version; the newest complete one is used.
        for version in sorted(by_version, reverse=True):
            chain = self._cheapest_chain(by_version[version], request)
            if chain is not None:
                return chain
        return None

    def _cheapest_chain(self, candidates, request):
        """Return the cheapest chain, or None if there is none.

        Uses dynamic programming over the layer boundaries, lowest boundary first.
        """
        by_first: dict[int, list[Upstream]] = {}
        for upstream in candidates:
            by_first.setdefault(upstream.layers.first, []).append(upstream)
        last_layer = max((u.description.model_layers for u in candidates), default=0)
        best: dict[Upstream | None, tuple[float, list[Upstream]]] = {None: (0.0, [])}
        ends: dict[int, list[Upstream | None]] = {0: [None]}
        for boundary in sorted(by_first):
            for previous in ends.get(boundary, []):
                for upstream in self._select_by_policy(by_first[boundary], boundary):
                    if boundary == 0 and request.first not in (
                        "",
                        upstream.incarnation,
                    ):
                        continue
                    self._extend(best, ends, previous, upstream, request)
        finished = [best[u] for u in ends.get(last_layer, []) if u is not None]
        if not finished or not last_layer:
            return None
        return min(finished, key=lambda item: item[0])[1]

    def _extend(self, best, ends, previous, upstream, request):
        cost, chain = best[previous]
        cost += self._cost(upstream, request) + self._link_cost(
            previous, upstream, request
        )
        best_known = best.get(upstream)
        if best_known is None:
            ends.setdefault(upstream.layers.end, []).append(upstream)
        if best_known is None or cost < best_known[0]:
            best[upstream] = (cost, [*chain, upstream])

    def _select_by_policy(self, upstreams, boundary):
        match self._policy:
            case TwoChoices():
                count = min(2, len(upstreams))
                pair = self._random.sample(upstreams, count)
                return [min(pair, key=lambda u: u.reported_tokens)]
            case RandomChoice():
                return [self._random.choice(upstreams)]
            case RoundRobin():
                ordered = sorted(upstreams, key=lambda u: u.id)
                key = (ordered[0].description.model, boundary)
                turn = self._round_robin_positions[key] = (
                    self._round_robin_positions.get(key, -1) + 1
                )
                return [ordered[turn % len(ordered)]]
            case _:
                return upstreams

    def _cost(self, upstream, request):
        match self._policy:
            case LeastDelay():
                return self._expected_delay(upstream, request)
            case LeastReported():
                return upstream.reported_tokens + self._random.random() * 1e-6
            case _:
                return 0.0

    def _expected_delay(self, upstream, request):
        # The report is stale and includes the work assigned by this entry; the excess
        # over that is attributed to other entries.
        other_tokens = max(0, upstream.reported_tokens - upstream.assigned_tokens)
        prefix = prefix_hash(request.prompt)
        cached = prefix and (upstream.id, prefix) in self._cached_prefixes
        prompt = len(request.prompt) - (_PREFIX_BLOCK_TOKENS if cached else 0)
        work = upstream.assigned_tokens + other_tokens + prompt + request.answer_tokens
        speed = max(upstream.description.tokens_per_second, 1e-3)
        return work / speed * (1 + _MAX_COST_JITTER * self._random.random())

    def _link_cost(self, previous, upstream, request):
        match self._policy:
            case LeastDelay():
                source = previous.data_centre if previous else request.entry_data_centre
                delay = self._link_delays.delay(source, upstream.data_centre)
                # Answer tokens cross the link one at a time.
                return delay * max(request.answer_tokens, 1)
            case _:
                return 0.0

    def _record_chain_prefix(self, request, chain):
        prefix = prefix_hash(request.prompt)
        if prefix:
            for upstream in chain:
                self._record_prefix(upstream.id, prefix)

    def _record_prefix(self, upstream, prefix):
        self._cached_prefixes[(upstream, prefix)] = None
        self._cached_prefixes.move_to_end((upstream, prefix))
        if len(self._cached_prefixes) > _MAX_CACHED_PREFIXES:
            self._cached_prefixes.popitem(last=False)
