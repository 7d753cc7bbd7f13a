"""Limits on requests that upstreams name in their responses.

An upstream in need names, in each response, how many requests a second it accepts from
all routers together, for as long as it says so.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.world.engines import PoolUpstream
from bulrushdrum._internal.world.statements import (
    LimitStatement,
    NoLimit,
    RequestLimit,
    UnreadableLimit,
)

_RESPONSE_SOURCE = "response"


class _StatedLimit(NamedTuple):
    """What an incarnation last said; a `limit` of None means that it has ended it."""

    born: int
    limit: float | None
    stated_at: float
    source: str


class UpstreamLimits:
    """The limits in force, by upstream id."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._stated: dict[str, _StatedLimit] = {}
        # Counted for the metrics.
        self.changes = 0

    def record_statement(
        self, upstream: PoolUpstream, statement: LimitStatement, has_run: bool
    ):
        """Record what a response of `upstream` says of its limit.

        A response without a limit ends the one in force only if the upstream `has_run`
        the request: a refusal may come from a part of it that knows no limit.
        """
        match statement:
            case RequestLimit(limit):
                self._store(upstream.id, upstream.born, limit)
            case NoLimit():
                if has_run and self.limit(upstream.id) is not None:
                    self._store(upstream.id, upstream.born, None)
            case UnreadableLimit(text):
                log_event(
                    Event.UPSTREAM_LIMIT_UNREADABLE, upstream=upstream.id, text=text
                )

    def limit(self, upstream_id: str) -> float | None:
        """Return the limit in force, in requests a second; None if there is none."""
        stated = self._stated.get(upstream_id)
        return None if stated is None else stated.limit

    def _store(self, upstream_id, born, limit):
        known = self._stated.get(upstream_id)
        stated = _StatedLimit(born, limit, self._clock(), _RESPONSE_SOURCE)
        self._stated[upstream_id] = stated
        if known is None or known.limit != limit:
            self.changes += 1
            log_event(
                Event.UPSTREAM_LIMIT_CHANGED,
                upstream=upstream_id,
                limit=limit,
                previous=None if known is None else known.limit,
                source=stated.source,
                age=0.0,
            )

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
            }
            for upstream_id, stated in self._stated.items()
        }
