"""Gives empty engines their layers, and moves engines to layers that went missing.

One router at a time does this. Each order names the engine's incarnation and the number
of orders that it has accepted, so that the engine refuses an order that is late, or
given twice. An engine that has just started has accepted none; one that refuses an
order for its count is asked for it. An engine that was ordered counts as holding its
layers until its registration says so, or until the load should long have ended.
"""

import time
from typing import NamedTuple

import gevent
from gevent.pool import Pool

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.data_centre_groups import (
    group_data_centres,
    group_members,
)
from bulrushdrum._internal.pipelines.fleet import LAYER_OVERRIDE_SECONDS, Fleet
from bulrushdrum._internal.pipelines.placement import (
    LayerAssignment,
    LayerCoverage,
    choose_layers,
    choose_reassignments,
    placement_order,
    token_capacity,
    token_capacity_by_data_centre,
)
from bulrushdrum._internal.platform.engine_calls import EngineCalls, OrderOutcome
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Service
from bulrushdrum._internal.world.upstreams import LayerRange

_CHECK_SECONDS = 0.3
# Engines register within a heartbeat of each other; the first choice waits until no new
# one has come for this long, in seconds, so that fast ones choose first.
_SETTLE_SECONDS = 0.7
# Lost engines often come back within seconds. Layers are moved for the sake of room
# only after the fleet has not changed for this long, in seconds.
_WIDEN_SECONDS = 6.0
# After a load should have ended, the engine's registration may be this late, seconds.
_REGISTRATION_LAG_SECONDS = 3.0
# An order that was refused for its count is given again after this long, in seconds.
_REFUSED_RETRY_SECONDS = 1.0
# An engine that loads is asked this often whether it is ready, in seconds; it would
# register what it holds only with its next heartbeat.
_LOAD_POLL_SECONDS = 0.4
# Orders that are under way at once; with more of them, the last would time out while
# this router still encodes the first.
_ORDERS_AT_ONCE = 48
# While an engine loads, only the layers that it keeps are counted on, for this long: by
# then its registration tells, in seconds.
_KEPT_SECONDS = 5.0


class _Pending(NamedTuple):
    layers: LayerRange
    born: int
    until: float


def _common(held, wanted):
    """Return the layers that an engine keeps while it loads others."""
    if held is None:
        return None
    first, end = max(held.first, wanted.first), min(held.end, wanted.end)
    return LayerRange(first, end) if first < end else None


class PlacementController:
    """Orders layers onto the engines of all services."""

    def __init__(
        self, fleet: Fleet, calls: EngineCalls, is_leader, services, announce_layers
    ):
        self._announce_layers = announce_layers
        self._fleet = fleet
        self._calls = calls
        self._is_leader = is_leader
        self._services = services
        self._pending: dict[str, _Pending] = {}
        self._accepted: dict[tuple[str, int], int] = {}
        self._seen: dict[str, frozenset[str]] = {}
        self._changed_at: dict[str, float] = {}
        self._added_at: dict[str, float] = {}

    def run(self):
        while True:
            gevent.sleep(_CHECK_SECONDS)
            if not self._is_leader():
                self._pending.clear()
                continue
            for service in self._services():
                if service.engine is not None:
                    self._place(service, service.engine)

    def _place(self, service: Service, model: EngineModel):
        engines = [
            engine
            for engine in self._fleet.registered(service.name)
            if engine.is_serving and not self._fleet.is_failing(engine.id)
        ]
        if not self._has_settled(service.name, engines):
            return
        now = time.monotonic()
        self._forget_ended(engines, now)
        empty = [e for e in engines if e.layers is None and e.id not in self._pending]
        capacities = token_capacity_by_data_centre(model, engines)
        near = group_members(group_data_centres(model, engines, token_capacity))
        holding = [self._as_ordered(e) for e in engines if e not in empty]
        coverage = LayerCoverage(model, near, holding)
        orders = []
        for engine in placement_order(model, empty, near):
            tokens = capacities[engine.data_centre]
            layers = choose_layers(model, engine, coverage, tokens)
            if layers is None:
                log_event(
                    Event.ENGINE_TOO_SMALL, upstream=engine.id, accelerator=engine.kind
                )
                continue
            holding.append(engine._replace(layers=layers))
            coverage.add(holding[-1])
            orders.append(LayerAssignment(engine, layers))
        may_widen = not orders and self._is_long_whole(service.name, now)
        # A data centre in which engines still load is left alone until they are done:
        # what they will hold is known, but not yet what is missing then.
        loading = {e.data_centre for e in engines if e.id in self._pending}
        orders += [
            assignment
            for assignment in choose_reassignments(model, holding, may_widen)
            if assignment.engine.data_centre not in loading
        ]
        wait = model.load_seconds + _REGISTRATION_LAG_SECONDS
        tasks = Pool(_ORDERS_AT_ONCE)
        for assignment in orders:
            self._pending[assignment.engine.id] = _Pending(
                assignment.layers, assignment.engine.born, now + wait
            )
            tasks.spawn(self._order, assignment)
        tasks.join()

    def _is_long_whole(self, service, now):
        """Whether nothing has changed for a while, so that widening is worth it."""
        return not self._pending and now - self._changed_at[service] >= _WIDEN_SECONDS

    def _has_settled(self, service, engines):
        seen = frozenset(engine.id for engine in engines)
        if not self._seen.get(service) and seen or service not in self._seen:
            self._changed_at[service] = time.monotonic()
            self._added_at[service] = time.monotonic()
        elif seen != self._seen[service]:
            self._changed_at[service] = time.monotonic()
            if seen - self._seen[service]:
                self._added_at[service] = time.monotonic()
        self._seen[service] = seen
        return time.monotonic() - self._added_at[service] >= _SETTLE_SECONDS

    def _forget_ended(self, engines, now):
        by_id = {engine.id: engine for engine in engines}
        for upstream_id, pending in list(self._pending.items()):
            engine = by_id.get(upstream_id)
            gone = engine is None or engine.born != pending.born
            if gone or engine.layers == pending.layers or pending.until <= now:
                del self._pending[upstream_id]

    def _as_ordered(self, engine):
        pending = self._pending.get(engine.id)
        return engine if pending is None else engine._replace(layers=pending.layers)

    def _order(self, assignment):
        engine, layers = assignment.engine, assignment.layers
        incarnation = (engine.id, engine.born)
        if incarnation not in self._accepted and engine.layers is not None:
            # Another router may have ordered it; an empty engine is taken as new.
            self._ask_for_count(engine)
        orders_accepted = self._accepted.get(incarnation, 0)
        outcome = self._calls.order_layers(
            engine.address, engine.id, layers, orders_accepted, assignment.urgent
        )
        log_event(
            Event.LAYERS_ORDERED,
            upstream=engine.id,
            address=engine.address,
            data_centre=engine.data_centre,
            accelerator=engine.kind,
            first=layers.first,
            end=layers.end,
            orders_accepted=orders_accepted,
            urgent=assignment.urgent,
            outcome=outcome.value,
        )
        match outcome:
            case OrderOutcome.STARTED:
                self._accepted[incarnation] = orders_accepted + 1
                kept = _common(engine.layers, layers)
                self._fleet.override_layers(engine.id, engine.born, kept, _KEPT_SECONDS)
                gevent.spawn(self._await_load, engine, layers)
            case OrderOutcome.ALREADY_HELD:
                self._override_layers(engine, layers)
            case OrderOutcome.REFUSED:
                self._ask_for_count(engine)
                self._try_again(engine, layers, _REFUSED_RETRY_SECONDS)
            case OrderOutcome.UNKNOWN:
                # It may be carried out still; by then the registration shows it.
                self._accepted.pop(incarnation, None)
                self._try_again(engine, layers, _REGISTRATION_LAG_SECONDS)

    def _await_load(self, engine, layers):
        """Ask the engine until it holds the layers, and make that known.

        Its registration follows a heartbeat later, or not while the store is away.
        """
        until = self._pending[engine.id].until
        while time.monotonic() < until:
            busy = max(len(self._pending) / _ORDERS_AT_ONCE, 1.0)
            gevent.sleep(_LOAD_POLL_SECONDS * busy)
            report = self._calls.report(engine.address)
            if report is not None and report.layers == layers and not report.is_busy:
                self._override_layers(engine, layers)
                return

    def _override_layers(self, engine, layers):
        self._fleet.override_layers(
            engine.id, engine.born, layers, LAYER_OVERRIDE_SECONDS
        )
        self._announce_layers(engine.id, engine.born, layers)

    def _ask_for_count(self, engine):
        report = self._calls.report(engine.address)
        if report is None:
            return
        self._accepted[engine.id, engine.born] = report.orders_accepted
        if not report.is_busy:
            self._override_layers(engine, report.layers)

    def _try_again(self, engine, layers, seconds):
        until = time.monotonic() + seconds
        self._pending[engine.id] = _Pending(layers, engine.born, until)

    def dump(self) -> dict:
        return {
            "pending": {
                name: list(pending.layers) for name, pending in self._pending.items()
            }
        }
