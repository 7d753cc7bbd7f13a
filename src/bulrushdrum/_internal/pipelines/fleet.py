"""The upstreams that this router knows.

Registrations come from the platform's store. While the store is unavailable, or has
just recovered, registrations that disappeared may only have lapsed, so they are kept
for a grace period. A store that was restored from a copy names upstreams as they were
then; what is known to be newer stays in force.

What is known of the condition of an upstream is in `conditions/`, and ends with its
incarnation.
"""

import math
import time
from collections.abc import Iterable
from typing import NamedTuple

from bulrushdrum._internal.conditions.claim_set import ClaimSet
from bulrushdrum._internal.conditions.upstream_conditions import (
    Failure,
    UpstreamConditions,
)
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.world.engines import PoolUpstream
from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState

# Registrations that lapsed during an outage are renewed within two seconds of its end;
# one that is still missing this long after the end is gone.
LAPSED_GRACE_SECONDS = 2.2
# How long layers that an engine reported stay valid without a registration: about the
# longest outage of the store during which layers are reassigned.
LAYER_OVERRIDE_SECONDS = 15.0
# A registration in a copy whose upstream was known to have left is used after this time
# if it is still there: registrations without heartbeats have expired by then.
_COPY_CONFIRMATION_SECONDS = 6.0
# How long upstreams that have left are remembered. Copies are some seconds old.
_DEPARTURE_SECONDS = 120.0


class _LayerOverride(NamedTuple):
    layers: LayerRange | None
    until: float


class _Departure(NamedTuple):
    """An upstream as it was last registered, and when it left."""

    upstream: PoolUpstream
    left_at: float


class _Unconfirmed(NamedTuple):
    """A registration from a copy, and when it is used if it is still there."""

    upstream: PoolUpstream
    used_at: float


def _is_newer(upstream: PoolUpstream, other: PoolUpstream) -> bool:
    """Whether a registration was written after another one of the same upstream."""
    return (upstream.born, upstream.heartbeats) > (other.born, other.heartbeats)


class Fleet:
    """Known upstreams by id, with their condition and the layers that they hold."""

    def __init__(self, clock=time.monotonic, node: str = "", seed=None):
        self._clock = clock
        self.conditions = UpstreamConditions(clock, node, seed)
        self._upstreams: dict[str, PoolUpstream] = {}
        self._lapsed: dict[str, float] = {}
        self._layer_overrides: dict[str, _LayerOverride] = {}
        self._departures: dict[str, _Departure] = {}
        self._unconfirmed: dict[str, _Unconfirmed] = {}
        self._version = 0
        self._ids_by_address: dict[str, str] = {}

    @property
    def first_hop_claims(self) -> ClaimSet:
        """Those that concern an upstream only as the first one of a path."""
        return self.conditions.first_hop_claims

    @property
    def claims(self) -> ClaimSet:
        """What this router and its peers claim of upstreams."""
        return self.conditions.claims

    @property
    def pauses(self) -> int:
        """How often an upstream asked for a pause, for the metrics."""
        return self.conditions.pauses

    @property
    def version(self) -> int:
        """Increases with every change of membership, state or health."""
        self._apply_due_changes()
        return self._version + self.conditions.version

    def replace_all(
        self,
        upstreams: Iterable[PoolUpstream],
        lapsed_until: float = -math.inf,
        from_copy: Iterable[PoolUpstream] = (),
    ):
        """Replace all upstreams; keep missing ones as `remove` does.

        Those `from_copy` may be older than what is known.
        """
        upstreams, from_copy = list(upstreams), list(from_copy)
        listed = {upstream.id for upstream in [*upstreams, *from_copy]}
        for upstream_id in {*self._upstreams, *self._unconfirmed} - listed:
            self.remove(upstream_id, lapsed_until)
        for upstream in upstreams:
            self.put(upstream)
        for upstream in from_copy:
            self._put_from_copy(upstream)

    def _put_from_copy(self, upstream):
        known = self._upstreams.get(upstream.id)
        departure = self._departures.get(upstream.id)
        if known is not None:
            self._lapsed.pop(upstream.id, None)
            is_revoked = not known.is_serving and not _is_newer(upstream, known)
            if not _is_newer(known, upstream) and not is_revoked:
                self.put(upstream)
        elif departure is None or _is_newer(upstream, departure.upstream):
            self.put(upstream)
        elif upstream.id not in self._unconfirmed:
            used_at = self._clock() + _COPY_CONFIRMATION_SECONDS
            self._unconfirmed[upstream.id] = _Unconfirmed(upstream, used_at)
            log_event(
                Event.COPIED_REGISTRATION_HELD,
                upstream=upstream.id,
                address=upstream.address,
            )

    def put(self, upstream: PoolUpstream):
        known = self._upstreams.get(upstream.id)
        self._lapsed.pop(upstream.id, None)
        self._departures.pop(upstream.id, None)
        self._unconfirmed.pop(upstream.id, None)
        if known is not None and known._replace(heartbeats=upstream.heartbeats) == (
            upstream
        ):
            self._upstreams[upstream.id] = upstream
            return
        if known is not None and known.born != upstream.born:
            self.conditions.forget(upstream.id)
        self._layer_overrides.pop(upstream.id, None)
        self._upstreams[upstream.id] = upstream
        self._ids_by_address[upstream.address] = upstream.id
        self._version += 1

    def registered_layers(self, upstream_id: str) -> LayerRange | None:
        """Return the layers that an engine registered last, without overrides."""
        upstream = self._upstreams.get(upstream_id)
        return None if upstream is None else upstream.layers

    def override_layers(
        self, upstream_id: str, born: int, layers: LayerRange | None, seconds: float
    ):
        """Override the layers of an engine until it registers them.

        The override ends with the next registration that differs, or after `seconds`:
        it may be older than the registration that it overrides.
        """
        known = self._upstreams.get(upstream_id)
        if known is not None and known.born == born and known.layers != layers:
            until = self._clock() + seconds
            self._layer_overrides[upstream_id] = _LayerOverride(layers, until)
            self._version += 1

    def mark_leaving(self, upstream_id: str, born: int):
        """Record that an incarnation is leaving; its registration may say so later."""
        known = self._upstreams.get(upstream_id)
        if known is None or known.born != born:
            return
        if self.conditions.is_leaving(upstream_id, born):
            return
        self.conditions.mark_leaving(upstream_id, born)
        log_event(
            Event.UPSTREAM_LEAVING, upstream=upstream_id, registered=known.state.value
        )

    def leaving(self) -> dict[str, int]:
        """Return the start times of the incarnations that said they are leaving."""
        return self.conditions.leaving()

    def _with_own_statements(self, upstream):
        """Return a registration with what its upstream has said since."""
        if self.conditions.is_leaving(upstream.id, upstream.born):
            upstream = upstream._replace(state=UpstreamState.DRAINING)
        return self._with_layer_override(upstream)

    def _with_layer_override(self, upstream):
        override = self._layer_overrides.get(upstream.id)
        if override is None:
            return upstream
        if override.until <= self._clock():
            del self._layer_overrides[upstream.id]
            return upstream
        return upstream._replace(layers=override.layers)

    def remove(self, upstream_id: str, lapsed_until: float = -math.inf):
        """Remove an upstream, at once or at `lapsed_until`, a time of the clock.

        Until then its registration may only have lapsed in an outage of the store. The
        time does not depend on when the removal was read, so an upstream that left
        after the outage is not used for longer than one that lapsed in it.
        """
        self._unconfirmed.pop(upstream_id, None)
        if upstream_id not in self._upstreams:
            return
        if lapsed_until > self._clock():
            self._lapsed.setdefault(upstream_id, lapsed_until)
            return
        upstream = self._upstreams.pop(upstream_id)
        self._departures[upstream_id] = _Departure(upstream, self._clock())
        self._lapsed.pop(upstream_id, None)
        self._layer_overrides.pop(upstream_id, None)
        self.conditions.forget(upstream_id)
        if self._ids_by_address.get(upstream.address) == upstream_id:
            del self._ids_by_address[upstream.address]
        self._version += 1

    def remove_lapsed(self):
        """Remove the upstreams that were kept because they may only have lapsed."""
        for upstream_id in list(self._lapsed):
            self.remove(upstream_id)

    def get(self, upstream_id: str) -> PoolUpstream | None:
        upstream = self._upstreams.get(upstream_id)
        return None if upstream is None else self._with_own_statements(upstream)

    def has_terminated(self, upstream_id: str, born: int) -> bool:
        """Whether an incarnation is known to have ended.

        It is no longer registered, was replaced, or refuses connections.
        """
        known = self._upstreams.get(upstream_id)
        if known is None or known.born != born:
            return True
        return self.conditions.has_terminated(upstream_id, born)

    def mark_terminated(self, upstream_id: str, born: int):
        """Record that nothing listens at the address of an incarnation, and avoid it.

        Its registration expires some heartbeats later.
        """
        known = self._upstreams.get(upstream_id)
        if known is not None and known.born == born:
            self.conditions.mark_terminated(upstream_id, born)

    def software_versions(self) -> set[str]:
        """Return the software versions of all registered upstreams."""
        return {upstream.software_version for upstream in self._upstreams.values()}

    def find_by_address(self, address: str) -> PoolUpstream | None:
        return self._upstreams.get(self._ids_by_address.get(address, ""))

    def registered(self, service: str) -> list[PoolUpstream]:
        """Return all registered upstreams of a service, whatever their health."""
        self._apply_due_changes()
        return [
            self._with_own_statements(upstream)
            for upstream in self._upstreams.values()
            if upstream.service == service
        ]

    def available(self, service: str) -> list[PoolUpstream]:
        """Return the serving upstreams of a service that are not avoided now."""
        return [
            upstream
            for upstream in self.registered(service)
            if upstream.is_serving
            and not self.is_avoided(upstream.id)
            and not self.is_paused(upstream)
        ]

    def pause(self, upstream_id: str, born: int, seconds: float):
        """Use an incarnation no more for some seconds, because it asked for that."""
        known = self._upstreams.get(upstream_id)
        if known is not None and known.born == born and seconds > 0.0:
            self.conditions.pause(upstream_id, born, seconds)

    def is_paused(self, upstream: PoolUpstream) -> bool:
        return self.conditions.seconds_paused(upstream.id, upstream.born) > 0.0

    def seconds_until_pause_ends(self, service: str) -> float:
        """Return the time until some upstream that is paused may be used again.

        It is 0 if an upstream of the service is available, or if none is paused.
        """
        if self.available(service):
            return 0.0
        waits = [
            self.conditions.seconds_paused(upstream.id, upstream.born)
            for upstream in self.registered(service)
            if upstream.is_serving and self.is_paused(upstream)
        ]
        return min(waits, default=0.0)

    def record_failure(
        self, upstream_id: str, seconds: float | None = None, reason: str = ""
    ):
        """Avoid an upstream for a backoff time that doubles with each failure.

        `seconds` replaces the computed backoff time, up to the same maximum. `reason`
        is for the log.
        """
        if upstream_id in self._upstreams:
            self.conditions.record_failure(upstream_id, seconds, reason)

    def record_success(self, upstream_id: str):
        """Record that an upstream served a request, and end its backoff."""
        self.conditions.record_success(upstream_id)

    def mark_unresponsive(self, upstream_id: str):
        """Mark an upstream that stalls paths as unresponsive, and avoid it."""
        if upstream_id in self._upstreams:
            self.conditions.mark_unresponsive(upstream_id)

    def is_unresponsive(self, upstream_id: str) -> bool:
        return self.conditions.is_unresponsive(upstream_id)

    def failure(self, upstream_id: str) -> Failure | None:
        """Return why an upstream is left out of the placement, or None."""
        known = self._upstreams.get(upstream_id)
        if known is None:
            return None
        return self.conditions.failure(upstream_id, known.born)

    def is_failing(self, upstream_id: str) -> bool:
        """Whether an upstream is unhealthy enough to be left out of the placement."""
        return self.failure(upstream_id) is not None

    def unresponsive_ids(self) -> list[str]:
        return self.conditions.unresponsive_ids()

    def is_avoided(self, upstream_id: str) -> bool:
        known = self._upstreams.get(upstream_id)
        return known is not None and self.conditions.is_avoided(upstream_id, known.born)

    def describe_avoidance(self, upstream_id: str) -> str | None:
        """Return why an upstream is avoided, for the log, or None if it is not."""
        known = self._upstreams.get(upstream_id)
        if known is None:
            return None
        return self.conditions.describe_avoidance(upstream_id, known.born)

    def is_avoided_as_first(self, upstream: PoolUpstream) -> bool:
        """Whether no path should begin at an upstream, if another one can."""
        return self.first_hop_claims.is_avoided(upstream.id, upstream.born)

    def suspect(self, ids: Iterable[str], seconds: float):
        """Use upstreams that may be silent only if there are no others, for a while."""
        self.conditions.suspect(ids, seconds)

    def suspects(self) -> frozenset[str]:
        """Return the upstreams that may be silent."""
        return self.conditions.suspects()

    def avoided_ids(self) -> list[str]:
        return [
            upstream_id
            for upstream_id in self._upstreams
            if self.is_avoided(upstream_id)
        ]

    def dump(self) -> dict:
        return {
            "upstreams": {
                upstream.id: {**upstream._asdict(), "state": upstream.state.value}
                for upstream in self._upstreams.values()
            },
            "avoided": self.avoided_ids(),
            "claims": self.claims.dump(),
            "first_hop_claims": self.first_hop_claims.dump(),
            "suspects": sorted(self.suspects()),
            "lapsed": sorted(self._lapsed),
            "leaving": sorted(self.leaving()),
            "paused": sorted(
                upstream.id
                for upstream in self._upstreams.values()
                if self.is_paused(upstream)
            ),
            "unconfirmed": sorted(self._unconfirmed),
        }

    def _apply_due_changes(self):
        now = self._clock()
        for upstream_id, until in list(self._lapsed.items()):
            if until <= now:
                self.remove(upstream_id)
        for unconfirmed in list(self._unconfirmed.values()):
            if unconfirmed.used_at <= now:
                self.put(unconfirmed.upstream)
        while self._departures:
            upstream_id, departure = next(iter(self._departures.items()))
            if departure.left_at > now - _DEPARTURE_SECONDS:
                break
            del self._departures[upstream_id]
