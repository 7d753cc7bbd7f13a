"""Limits on requests that upstreams name in their responses.

An upstream in need names, in each response, how many requests a second it accepts from
all routers together, for as long as it says so. Routers announce to each other what
upstreams said last, and how many requests they would send to each limited upstream.
Each router takes its fair share of the limit, without a coordinator.

A limit ends with the first response that does not name one, with the next start of the
upstream, or when a router announces either. It does not end with time: requests below
the limit go on, so that the end is noticed. A limit near 0 admits a request every few
seconds for that reason.
"""

import math
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from bulrushdrum._internal.limits.rate_shares import fair_share
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.world.engines import PoolUpstream
from bulrushdrum._internal.world.statements import (
    LimitStatement,
    NoLimit,
    RequestLimit,
    UnreadableLimit,
)

_RESPONSE_SOURCE = "response"
# The rate at which all routers together try whether a limit near 0 has ended.
_MIN_RATE_PER_SECOND = 0.5
# A router may send what its share allows in this time at once.
_BURST_SECONDS = 1.0
# Demand is the mean rate over this time.
_DEMAND_WINDOW_SECONDS = 2.0
# A router that has wanted nothing for this long may not use at once what its share
# allowed meanwhile: all routers may have been idle together.
_IDLE_SECONDS = 5.0
# How long the end of a limit is remembered, so that a router which was partitioned
# meanwhile does not bring it back.
_ENDED_LIMIT_SECONDS = 60.0
# Statements about upstreams that are not registered are forgotten after this time.
_UNREGISTERED_SECONDS = 30.0
_MAX_AGE_SECONDS = 24 * 3600.0
# Ages that routers announce are exact to the delay of a datagram.
_AGE_TOLERANCE_SECONDS = 0.005
# Routers announce new limits at once, but not more often than this.
_MIN_NOTICE_INTERVAL_SECONDS = 0.1
# Keeps an announcement within one datagram.
_MAX_ANNOUNCED_LIMITS = 200


class ReachedLimits(NamedTuple):
    """The limits, by upstream id, that keep requests waiting.

    This router may send `rate` requests a second to all of these upstreams, and the
    next one in `seconds`.
    """

    limits: dict[str, float]
    rate: float
    seconds: float


class _StatedLimit(NamedTuple):
    """What an incarnation last said; a `limit` of None means that it has ended."""

    born: int
    limit: float | None
    stated_at: float
    source: str


class _AnnouncedLimit(NamedTuple):
    """What a peer knows of one upstream, and how much it would send there."""

    upstream_id: str
    born: int
    limit: float | None
    age: float
    demand: float


def _decode_announced_limit(raw) -> _AnnouncedLimit:
    upstream_id, born, limit, age, demand = raw
    announced = _AnnouncedLimit(
        str(upstream_id),
        int(born),
        None if limit is None else float(limit),
        float(age),
        float(demand),
    )
    numbers = (announced.limit or 0.0, announced.age, announced.demand)
    if not all(math.isfinite(number) and number >= 0.0 for number in numbers):
        raise ValueError(f"limit {raw!r} has a number below 0 or without an end")
    if announced.age > _MAX_AGE_SECONDS:
        raise ValueError(f"age {age!r} is above {_MAX_AGE_SECONDS}")
    return announced


class _Allowance:
    """Token bucket of this router for one upstream, and the demand for it."""

    def __init__(self, now: float, level: float):
        self.level = level
        self._refilled_at = now
        # When each recent request was first meant for the upstream.
        self._wanted: OrderedDict[object, float] = OrderedDict()
        self._last_wanted_at = -math.inf

    def demand(self, now: float) -> float:
        """Return the requests a second that this router would send."""
        while self._wanted:
            requester, wanted_at = next(iter(self._wanted.items()))
            if wanted_at > now - _DEMAND_WINDOW_SECONDS:
                break
            del self._wanted[requester]
        return len(self._wanted) / _DEMAND_WINDOW_SECONDS

    def record_demand(self, requester: object, now: float):
        self._wanted.setdefault(requester, now)
        self._last_wanted_at = now

    def refill(self, share: float, idle_burst: float, now: float):
        """Add what `share`, in requests a second, allows since the last call."""
        most = max(share * _BURST_SECONDS, 1.0)
        if now - self._last_wanted_at > _IDLE_SECONDS:
            most = min(most, max(idle_burst, self.level))
        self.level = min(self.level + (now - self._refilled_at) * share, most)
        self._refilled_at = now


class UpstreamLimits:
    """The limits in force, by upstream id, and what this router may use of them.

    `is_registered(upstream_id)` tells whether an upstream is registered, and
    `count_silent_routers()` how many other routers may be running without being heard.
    `on_change` is called when a limit is new or ends.
    """

    def __init__(
        self,
        is_registered: Callable[[str], bool],
        count_silent_routers: Callable[[], int],
        on_change: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
        seed=None,
    ):
        self._random = random.Random(seed)
        self._is_registered = is_registered
        self._count_silent_routers = count_silent_routers
        self._on_change = on_change
        self._clock = clock
        self._stated: dict[str, _StatedLimit] = {}
        self._allowances: dict[str, _Allowance] = {}
        # The demand of each peer by upstream id; all heard peers have an entry.
        self._peer_demands: dict[str, dict[str, float]] = {}
        self._noticed_at = -math.inf
        # Counted for the metrics.
        self.changes = 0
        self.diversions = 0

    def record_statement(
        self, upstream: PoolUpstream, statement: LimitStatement, has_run: bool
    ):
        """Record what a response of `upstream` says of its limit.

        A response without a limit ends the one in force only if the upstream `has_run`
        the request: a refusal may come from a part of it that knows no limit.
        """
        match statement:
            case RequestLimit(limit):
                self._store(upstream.id, self._state_now(upstream, limit))
            case NoLimit():
                if has_run and self.limit(upstream) is not None:
                    self._store(upstream.id, self._state_now(upstream, None))
            case UnreadableLimit(text):
                log_event(
                    Event.UPSTREAM_LIMIT_UNREADABLE, upstream=upstream.id, text=text
                )

    def limit(self, upstream: PoolUpstream) -> float | None:
        """Return the limit in force, in requests a second; None if there is none."""
        stated = self._stated.get(upstream.id)
        if stated is None or stated.born != upstream.born:
            return None
        return stated.limit

    def acquire(
        self, upstreams: Iterable[PoolUpstream], requester: object
    ) -> list[PoolUpstream]:
        """Count a request that all of `upstreams` would get, if their limits allow it.

        Returns those that have reached their limits; if there are any, nothing is
        counted. `requester` identifies the request, whose demand counts once.
        """
        now = self._clock()
        limited = [u for u in upstreams if self.limit(u) is not None]
        reached = []
        for upstream in limited:
            allowance = self._refilled(upstream, now)
            allowance.record_demand(requester, now)
            if allowance.level < 1.0:
                reached.append(upstream)
        if reached:
            self.diversions += 1
            return reached
        for upstream in limited:
            self._allowances[upstream.id].level -= 1.0
        return []

    def record_demand(self, upstream_ids: Iterable[str], requester: object):
        """Record that a request waits for one of these limited upstreams."""
        now = self._clock()
        for upstream_id in upstream_ids:
            self._allowance(upstream_id, now).record_demand(requester, now)

    def share(self, upstream: PoolUpstream) -> float:
        """Return the requests a second that this router may send to `upstream`."""
        rate = max(self.limit(upstream), _MIN_RATE_PER_SECOND)
        now = self._clock()
        own_demand = self._allowance(upstream.id, now).demand(now)
        return fair_share(
            rate,
            own_demand,
            self._demands_of_peers(upstream.id),
            self._count_silent_routers(),
        )

    def summarize(self, reached: Sequence[PoolUpstream]) -> ReachedLimits:
        """Return what holds of upstreams whose limits are reached."""
        now = self._clock()
        seconds = min(
            max(1.0 - self._refilled(upstream, now).level, 0.0) / self.share(upstream)
            for upstream in reached
        )
        return ReachedLimits(
            {upstream.id: self.limit(upstream) for upstream in reached},
            sum(self.share(upstream) for upstream in reached),
            seconds,
        )

    def _demands_of_peers(self, upstream_id):
        return [
            demands.get(upstream_id, 0.0) for demands in self._peer_demands.values()
        ]

    def _allowance(self, upstream_id, now):
        allowance = self._allowances.get(upstream_id)
        if allowance is None:
            # Routers that learn of a limit together do not send in step.
            allowance = _Allowance(now, self._random.random())
            self._allowances[upstream_id] = allowance
        return allowance

    def _refilled(self, upstream, now):
        allowance = self._allowance(upstream.id, now)
        demands = self._demands_of_peers(upstream.id)
        active = 1 + sum(demand > 0.0 for demand in demands)
        burst = max(self.limit(upstream) * _BURST_SECONDS, 1.0)
        allowance.refill(self.share(upstream), burst / active, now)
        return allowance

    def _state_now(self, upstream, limit):
        return _StatedLimit(upstream.born, limit, self._clock(), _RESPONSE_SOURCE)

    def _store(self, upstream_id, stated: _StatedLimit):
        known = self._stated.get(upstream_id)
        if known is not None and known.born != stated.born:
            known = None
        self._stated[upstream_id] = stated
        previous = None if known is None else known.limit
        if stated.limit == previous:
            return
        now = self._clock()
        if previous is None or stated.limit is None:
            self._allowances.pop(upstream_id, None)
        if previous is None:
            self._allowance(upstream_id, now)
        self.changes += 1
        log_event(
            Event.UPSTREAM_LIMIT_CHANGED,
            upstream=upstream_id,
            limit=stated.limit,
            previous=previous,
            source=stated.source,
            age=round(now - stated.stated_at, 3),
        )
        if now - self._noticed_at >= _MIN_NOTICE_INTERVAL_SECONDS:
            self._noticed_at = now
            self._on_change()

    def announcement(self) -> list[list]:
        """Return what to announce: id, start, limit, age and demand by upstream."""
        self._remove_outdated()
        now = self._clock()
        newest = sorted(
            self._stated.items(), key=lambda item: item[1].stated_at, reverse=True
        )
        return [
            [
                upstream_id,
                stated.born,
                stated.limit,
                round(now - stated.stated_at, 3),
                self._announced_demand(upstream_id, now),
            ]
            for upstream_id, stated in newest[:_MAX_ANNOUNCED_LIMITS]
        ]

    def _announced_demand(self, upstream_id, now):
        allowance = self._allowances.get(upstream_id)
        return 0.0 if allowance is None else allowance.demand(now)

    def apply_announcement(self, peer: str, raw: Iterable):
        """Apply the announcement of a peer; raises `TypeError` or `ValueError`."""
        now = self._clock()
        announced_limits = [_decode_announced_limit(entry) for entry in raw]
        self._peer_demands[peer] = {
            announced.upstream_id: announced.demand for announced in announced_limits
        }
        for announced in announced_limits:
            known = self._stated.get(announced.upstream_id)
            stated = _StatedLimit(
                announced.born, announced.limit, now - announced.age, peer
            )
            if known is None or _supersedes(stated, known):
                self._store(announced.upstream_id, stated)

    def remove_peer(self, peer: str):
        self._peer_demands.pop(peer, None)

    def _remove_outdated(self):
        now = self._clock()
        for upstream_id, stated in list(self._stated.items()):
            age = now - stated.stated_at
            has_ended = stated.limit is None and age > _ENDED_LIMIT_SECONDS
            is_gone = age > _UNREGISTERED_SECONDS and not self._is_registered(
                upstream_id
            )
            if has_ended or is_gone:
                del self._stated[upstream_id]
                self._allowances.pop(upstream_id, None)

    @property
    def count(self) -> int:
        """The number of limits in force."""
        return sum(stated.limit is not None for stated in self._stated.values())

    def dump(self) -> dict:
        now = self._clock()
        return {
            upstream_id: {
                "limit": stated.limit,
                "source": stated.source,
                "age": round(now - stated.stated_at, 3),
                "demand": self._announced_demand(upstream_id, now),
                "peer_demand": sum(self._demands_of_peers(upstream_id)),
            }
            for upstream_id, stated in self._stated.items()
        }


def _supersedes(stated: _StatedLimit, known: _StatedLimit) -> bool:
    """Whether an announced statement is newer than the known one."""
    if stated.born != known.born:
        return stated.born > known.born
    return stated.stated_at > known.stated_at + _AGE_TOLERANCE_SECONDS
