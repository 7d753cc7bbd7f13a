"""The condition of each upstream, as far as this router knows it.

It follows from the outcome of requests, from what upstreams say of themselves, and from
the claims of all routers. An upstream that failed a request is avoided for a backoff
time that doubles with each further failure.
"""

import time
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from bulrushdrum._internal.conditions.claim_set import ClaimSet
from bulrushdrum._internal.conditions.claims import MAX_FAILURES, Matter
from bulrushdrum._internal.observability.events import Event, log_event

# How long an upstream is avoided after its first failure, and at most: about one
# heartbeat, and about the duration of a restart.
_INITIAL_BACKOFF_SECONDS = 1.0
_MAX_BACKOFF_SECONDS = 5.0
# How long an upstream that stalls paths counts as unresponsive: about the time after
# which its registration is removed.
_UNRESPONSIVE_SECONDS = 5.0
# An upstream with this many consecutive failures is left out of the placement.
_FAILING_THRESHOLD = 3


class Failure(StrEnum):
    """Why an upstream is left out of the placement."""

    UNRESPONSIVE = "unresponsive"
    # By several claims of this router and its peers in a row.
    CLAIMED = "claimed"
    # By several such claims, of which the last one says that it refuses requests.
    REFUSING = "refusing"
    # By several failed requests of this router in a row.
    REPEATED = "repeated failures"


class _Backoff(NamedTuple):
    until: float
    failures: int
    reason: str


class _Pause(NamedTuple):
    """Until when an incarnation wants no request from this router."""

    born: int
    until: float


class UpstreamConditions:
    """Conditions by upstream id; those of an incarnation name its start time.

    `node` is the name of this router.
    """

    def __init__(self, clock=time.monotonic, node: str = "", seed=None):
        # What this router and its peers claim of upstreams.
        self.claims = ClaimSet(node, clock, seed)
        # Those that concern an upstream only as the first one of a path.
        self.first_hop_claims = ClaimSet(node, clock, seed)
        # Counted for the metrics.
        self.pauses = 0
        self._clock = clock
        self._backoffs: dict[str, _Backoff] = {}
        self._unresponsive: dict[str, float] = {}
        # Incarnations that no longer run although they are still registered.
        self._terminated: dict[str, int] = {}
        # Incarnations that said that they are leaving, ahead of their registration.
        self._leaving: dict[str, int] = {}
        self._pauses: dict[str, _Pause] = {}
        # Upstreams that may be silent, and until when that counts.
        self._suspects: dict[str, float] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Increases with every change other than the end of a time."""
        return self._version + self.claims.version + self.first_hop_claims.version

    def forget(self, upstream_id: str):
        """Forget what concerns an incarnation that has ended."""
        self._backoffs.pop(upstream_id, None)
        self._unresponsive.pop(upstream_id, None)
        self._terminated.pop(upstream_id, None)
        self._leaving.pop(upstream_id, None)
        self._pauses.pop(upstream_id, None)
        self._suspects.pop(upstream_id, None)

    def mark_leaving(self, upstream_id: str, born: int):
        self._leaving[upstream_id] = born
        self._version += 1

    def is_leaving(self, upstream_id: str, born: int) -> bool:
        return self._leaving.get(upstream_id) == born

    def leaving(self) -> dict[str, int]:
        """Return the start times of the incarnations that said they are leaving."""
        return dict(self._leaving)

    def mark_terminated(self, upstream_id: str, born: int):
        self._terminated[upstream_id] = born
        self.record_failure(upstream_id, reason="refuses connections")

    def has_terminated(self, upstream_id: str, born: int) -> bool:
        return self._terminated.get(upstream_id) == born

    def pause(self, upstream_id: str, born: int, seconds: float):
        """Use an incarnation no more for some seconds, because it asked for that.

        Unlike a backoff, a pause does not end with a request that succeeds. It ends
        early with the next start of the upstream, or with a shorter one that it names.
        """
        self._pauses[upstream_id] = _Pause(born, self._clock() + seconds)
        self._version += 1
        self.pauses += 1
        log_event(Event.UPSTREAM_PAUSED, upstream=upstream_id, seconds=seconds)

    def seconds_paused(self, upstream_id: str, born: int) -> float:
        """Return the time until the pause of an incarnation ends, or 0."""
        pause = self._pauses.get(upstream_id)
        if pause is None or pause.born != born:
            return 0.0
        return max(pause.until - self._clock(), 0.0)

    def record_failure(
        self, upstream_id: str, seconds: float | None = None, reason: str = ""
    ):
        """Avoid an upstream for a backoff time that doubles with each failure.

        `seconds` replaces the computed backoff time, up to the same maximum. `reason`
        is for the log.
        """
        now = self._clock()
        known = self._backoffs.get(upstream_id)
        if known is not None and known.until > now:
            return
        failures = 1 if known is None else min(known.failures + 1, MAX_FAILURES)
        if seconds is None:
            seconds = _INITIAL_BACKOFF_SECONDS * 2 ** (failures - 1)
        seconds = min(seconds, _MAX_BACKOFF_SECONDS)
        reason = reason or "failed a request"
        self._backoffs[upstream_id] = _Backoff(now + seconds, failures, reason)
        self._version += 1
        log_event(
            Event.UPSTREAM_AVOIDED,
            upstream=upstream_id,
            reason=reason,
            failures=failures,
            seconds=round(seconds, 3),
        )

    def record_success(self, upstream_id: str):
        """Record that an upstream served a request, and end its backoff.

        The request may have been sent before the last failure. Waiting for one that was
        sent later would avoid engines for longer than they refuse requests, and fewer
        requests would be served.
        """
        self._unresponsive.pop(upstream_id, None)
        self._terminated.pop(upstream_id, None)
        if self._backoffs.pop(upstream_id, None) is not None:
            self._version += 1

    def mark_unresponsive(self, upstream_id: str):
        self._unresponsive[upstream_id] = self._clock() + _UNRESPONSIVE_SECONDS
        self.record_failure(upstream_id, reason="stalls paths")

    def is_unresponsive(self, upstream_id: str) -> bool:
        return self._unresponsive.get(upstream_id, 0.0) > self._clock()

    def unresponsive_ids(self) -> list[str]:
        now = self._clock()
        return [name for name, until in self._unresponsive.items() if until > now]

    def failure(self, upstream_id: str, born: int) -> Failure | None:
        """Return why an incarnation is too unhealthy for the placement, or None."""
        if self.is_unresponsive(upstream_id):
            return Failure.UNRESPONSIVE
        if self.claims.failures(upstream_id, born) >= _FAILING_THRESHOLD:
            claim = self.claims.condition(upstream_id).claim
            is_refusing = claim.matter is Matter.REFUSING
            return Failure.REFUSING if is_refusing else Failure.CLAIMED
        backoff = self._backoffs.get(upstream_id)
        if backoff is None or backoff.failures < _FAILING_THRESHOLD:
            return None
        return Failure.REPEATED if backoff.until > self._clock() else None

    def is_avoided(self, upstream_id: str, born: int) -> bool:
        backoff = self._backoffs.get(upstream_id)
        if backoff is not None and backoff.until > self._clock():
            return True
        return self.claims.is_avoided(upstream_id, born)

    def describe_avoidance(self, upstream_id: str, born: int) -> str | None:
        """Return why an upstream is avoided, for the log, or None if it is not."""
        backoff = self._backoffs.get(upstream_id)
        if backoff is not None and backoff.until > self._clock():
            return backoff.reason
        if not self.claims.is_avoided(upstream_id, born):
            return None
        claim = self.claims.condition(upstream_id).claim
        return f"{claim.reporter} claims that it is {claim.matter.value}"

    def suspect(self, ids: Iterable[str], seconds: float):
        """Use upstreams that may be silent only if there are no others, for a while."""
        now = self._clock()
        self._suspects = {
            k: until for k, until in self._suspects.items() if until > now
        }
        self._suspects.update(dict.fromkeys(ids, now + seconds))

    def suspects(self) -> frozenset[str]:
        """Return the upstreams that may be silent."""
        now = self._clock()
        return frozenset(name for name, until in self._suspects.items() if until > now)
