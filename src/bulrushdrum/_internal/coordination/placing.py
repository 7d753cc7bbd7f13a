"""Gives empty engines their layers.

One router at a time does this. Each order names the engine's incarnation and the number
of orders that it has accepted, so an order that is late, or given twice, is refused by
the engine. An engine that has just started has accepted none; one that refuses an order
for its count is asked for it. An engine that was ordered counts as holding its layers until its
registration says so, or until the load should long have ended.
"""

import time
from typing import NamedTuple

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.placement import (
    choose_layers,
    placement_order,
    request_tokens,
)
from bulrushdrum._internal.platform.engine_calls import EngineCalls, OrderOutcome
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Service
from bulrushdrum._internal.world.upstreams import LayerRange

_CHECK_SECONDS = 0.3
# Engines register within a heartbeat of each other; the first choice waits until no new
# one has come for this long, in seconds, so that fast ones choose first.
_SETTLE_SECONDS = 0.7
# After a load should have ended, its engine's registration may be this late, in seconds.
_REGISTRATION_LAG_SECONDS = 3.0


class _Pending(NamedTuple):
    layers: LayerRange
    born: int
    until: float


class LayerPlacement:
    """Orders layers onto the engines of all services."""

    def __init__(self, fleet: Fleet, calls: EngineCalls, is_first, services):
        self._fleet = fleet
        self._calls = calls
        self._is_first = is_first
        self._services = services
        self._pending: dict[str, _Pending] = {}
        self._accepted: dict[tuple[str, int], int] = {}
        self._seen: dict[str, frozenset[str]] = {}
        self._changed_at: dict[str, float] = {}

    def run(self):
        while True:
            gevent.sleep(_CHECK_SECONDS)
            if not self._is_first():
                self._pending.clear()
                continue
            for service in self._services():
                if service.engine is not None:
                    self._place(service, service.engine)

    def _place(self, service: Service, model: EngineModel):
        engines = [e for e in self._fleet.members(service.name) if e.is_serving]
        if not self._has_settled(service.name, engines):
            return
        now = time.monotonic()
        self._forget_ended(engines, now)
        empty = [e for e in engines if e.layers is None and e.id not in self._pending]
        if not empty:
            return
        tokens = request_tokens(model, engines)
        holding = [self._as_ordered(e) for e in engines if e not in empty]
        orders = []
        for engine in placement_order(model, empty):
            layers = choose_layers(model, engine, holding, tokens)
            if layers is None:
                log_event(
                    Event.ENGINE_TOO_SMALL, upstream=engine.id, accelerator=engine.kind
                )
                continue
            holding.append(engine._replace(layers=layers))
            wait = model.load_seconds * 2 + _REGISTRATION_LAG_SECONDS
            self._pending[engine.id] = _Pending(layers, engine.born, now + wait)
            orders.append(gevent.spawn(self._order, engine, layers, tokens))
        gevent.joinall(orders)

    def _has_settled(self, service, engines):
        seen = frozenset(engine.id for engine in engines)
        if not self._seen.get(service) and seen or service not in self._seen:
            self._changed_at[service] = time.monotonic()
        elif seen - self._seen[service]:
            self._changed_at[service] = time.monotonic()
        self._seen[service] = seen
        return time.monotonic() - self._changed_at[service] >= _SETTLE_SECONDS

    def _forget_ended(self, engines, now):
        by_id = {engine.id: engine for engine in engines}
        for upstream_id, pending in list(self._pending.items()):
            engine = by_id.get(upstream_id)
            gone = engine is None or engine.born != pending.born
            if gone or engine.layers is not None or pending.until <= now:
                del self._pending[upstream_id]

    def _as_ordered(self, engine):
        pending = self._pending.get(engine.id)
        return engine if pending is None else engine._replace(layers=pending.layers)

    def _order(self, engine, layers, tokens):
        orders_accepted = self._accepted.get((engine.id, engine.born), 0)
        outcome = self._calls.hold_layers(
            engine.address, engine.id, layers, orders_accepted
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
            request_tokens=round(tokens),
            outcome=outcome.value,
        )
        if outcome is not OrderOutcome.REFUSED:
            return
        # Its state is newer than its registration, which may be about to tell.
        until = time.monotonic() + _REGISTRATION_LAG_SECONDS
        self._pending[engine.id] = _Pending(layers, engine.born, until)
        report = self._calls.report(engine.address)
        if report is not None:
            self._accepted[engine.id, engine.born] = report.orders_accepted

    def dump(self) -> dict:
        return {
            "pending": {
                name: list(pending.layers) for name, pending in self._pending.items()
            }
        }
