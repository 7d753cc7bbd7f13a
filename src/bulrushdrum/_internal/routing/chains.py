"""The choice of a chain: one upstream for each consecutive range of layers.

A chain is a path from layer 0 to the model's last layer. The `LeastDelay` policy finds
the path with the smallest expected delay: work waiting on each upstream divided by its
speed, plus the links between data centres, less the prefill that a cached prefix saves.
The other policies are baselines for measurements.
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

# Entries that see the same lagging reports would all pick the same chain; a random
# factor on each cost spreads them.
_SPREAD = 0.15
# A prompt is cached by whole blocks of this many tokens.
_PREFIX_BLOCK_TOKENS = 64
_REMEMBERED_PREFIXES = 4096


@dataclass(frozen=True)
class LeastDelay:
    """Smallest expected delay."""


@dataclass(frozen=True)
class RandomChoice:
    """Any chain, with equal probability at each layer boundary."""


@dataclass(frozen=True)
class RoundRobin:
    """Upstreams of each layer range in turn."""


@dataclass(frozen=True)
class LeastReported:
    """Smallest queue by the sidecars' last reports."""


@dataclass(frozen=True)
class TwoChoices:
    """The better by report of two random upstreams at each layer boundary."""


Policy = LeastDelay | RandomChoice | RoundRobin | LeastReported | TwoChoices

POLICIES: dict[str, Policy] = {
    "least_delay": LeastDelay(),
    "random": RandomChoice(),
    "round_robin": RoundRobin(),
    "least_reported": LeastReported(),
    "two_choices": TwoChoices(),
}


class ChainRequest(NamedTuple):
    """What a chain is wanted for.

    `avoid` holds sidecar incarnations that failed earlier attempts; `suspect` asks for
    upstreams without another suspect on board; `first` fixes the first stage.
    """

    model: str
    prompt: tuple[int, ...]
    answer_tokens: int
    entry_data_centre: str
    avoid: frozenset[str] = frozenset()
    suspect: str = ""
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
        self._turns: dict[tuple, int] = {}
        self._prefixes: OrderedDict[tuple[str, str], None] = OrderedDict()

    def models(self) -> set[str]:
        """Return the models for which a complete chain exists now."""
        names = {
            upstream.description.model
            for upstream in self._upstreams()
            if upstream.serving and not upstream.description.service
        }
        return {name for name in names if self._has_chain(name)}

    def choose(self, request: ChainRequest) -> Result[list[Upstream], NoChain]:
        """Return the upstreams of a chain in layer order, or why there is none.

        Upstreams to avoid are used only when no chain exists without them. That there
        is no chain now is an ordinary result: callers wait for one or refuse.
        """
        candidates = self._candidates(request)
        preferred = [u for u in candidates if u.incarnation not in request.avoid]
        chain = self._search(preferred, request) or self._search(candidates, request)
        if chain is None:
            missing = f"no chain of upstreams holds {request.model!r}"
            return Error(NoChain("no_chain", missing))
        self._remember(request, chain)
        return Ok(chain)

    def observe_cache(self, upstream: str, prefix: str, stored: bool):
        """Note what a cache event says; events come late and some are lost."""
        if stored:
            self._note_prefix(upstream, prefix)
        else:
            self._prefixes.pop((upstream, prefix), None)

    def forget_upstream(self, upstream: str):
        """Note that the upstream's cache is gone with its engine."""
        for known in [key for key in self._prefixes if key[0] == upstream]:
            del self._prefixes[known]

    def _candidates(self, request):
        return [
            upstream
            for upstream in self._upstreams()
            if upstream.serving
            and upstream.description.model == request.model
            and not upstream.description.service
            and not (request.suspect and upstream.solo_fingerprints - {request.suspect})
        ]

    def _has_chain(self, model):
        request = ChainRequest(model, (), 1, "")
        return self._search(self._candidates(request), request) is not None

    def _search(self, candidates, request):
        by_version: dict[str, list[Upstream]] = {}
        for upstream in candidates:
            by_version.setdefault(upstream.description.model_version, []).append(
                upstream
            )
        # All stages of a chain run the same version; the newest complete one is used.
        for version in sorted(by_version, reverse=True):
            chain = self._path(by_version[version], request)
            if chain is not None:
                return chain
        return None

    def _path(self, candidates, request):
        """Dynamic programming over layer boundaries, lowest boundary first."""
        by_first: dict[int, list[Upstream]] = {}
        for upstream in candidates:
            by_first.setdefault(upstream.layers.first, []).append(upstream)
        last_layer = max((u.description.model_layers for u in candidates), default=0)
        best: dict[Upstream | None, tuple[float, list[Upstream]]] = {None: (0.0, [])}
        ends: dict[int, list[Upstream | None]] = {0: [None]}
        for boundary in sorted(by_first):
            for previous in ends.get(boundary, []):
                for upstream in self._shortlist(by_first[boundary], boundary):
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
        known = best.get(upstream)
        if known is None:
            ends.setdefault(upstream.layers.end, []).append(upstream)
        if known is None or cost < known[0]:
            best[upstream] = (cost, [*chain, upstream])

    def _shortlist(self, upstreams, boundary):
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
                turn = self._turns[key] = self._turns.get(key, -1) + 1
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
        # The report lags and includes this entry's own work; what is above the own work
        # is taken as other entries' work.
        others = max(0, upstream.reported_tokens - upstream.assigned_tokens)
        prefix = prefix_hash(request.prompt)
        cached = prefix and (upstream.id, prefix) in self._prefixes
        prompt = len(request.prompt) - (_PREFIX_BLOCK_TOKENS if cached else 0)
        work = upstream.assigned_tokens + others + prompt + request.answer_tokens
        speed = max(upstream.description.tokens_per_second, 1e-3)
        return work / speed * (1 + _SPREAD * self._random.random())

    def _link_cost(self, previous, upstream, request):
        match self._policy:
            case LeastDelay():
                source = previous.data_centre if previous else request.entry_data_centre
                delay = self._link_delays.delay(source, upstream.data_centre)
                # Each answer token crosses the link once, one after another.
                return delay * max(request.answer_tokens, 1)
            case _:
                return 0.0

    def _remember(self, request, chain):
        prefix = prefix_hash(request.prompt)
        if prefix:
            for upstream in chain:
                self._note_prefix(upstream.id, prefix)

    def _note_prefix(self, upstream, prefix):
        self._prefixes[(upstream, prefix)] = None
        self._prefixes.move_to_end((upstream, prefix))
        if len(self._prefixes) > _REMEMBERED_PREFIXES:
            self._prefixes.popitem(last=False)
