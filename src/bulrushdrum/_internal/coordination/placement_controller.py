"""Assigns layers to empty engines, and reassigns engines to layers without a copy.

Only the leader does this. Each order names the engine's incarnation and the number of
orders that it has accepted, so that the engine refuses late and duplicate orders. A new
engine has accepted none; if an engine refuses an order because of the count, the
controller queries it. An engine with a pending order counts as holding the ordered
layers until its registration confirms them or the order expires.

The orders in progress are announced, so that the next leader waits for them as well.

An engine that fails requests is not lost: it may be full, slow, or wait for another
one. It is left out only if it does not answer the leader either, because the orders
that replace its layers end the streams over the engines that receive them.
"""

import time
from typing import NamedTuple

import gevent
from gevent.pool import Pool

from bulrushdrum._internal.conditions.upstream_conditions import Failure
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
    count_missing_layers,
    placement_order,
    token_capacity,
    token_capacity_by_data_centre,
)
from bulrushdrum._internal.platform.engine_calls import EngineCalls, OrderOutcome
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Service
from bulrushdrum._internal.world.upstreams import LayerRange

_CHECK_INTERVAL_SECONDS = 0.3
# Engines register within a heartbeat of each other. Placement waits until no new engine
# has registered for this long, so that the fastest engines are placed first.
_SETTLE_SECONDS = 0.7
# Lost engines often return within seconds. Layers are moved just to gain capacity only
# after the fleet has been unchanged for this long.
_REBALANCE_DELAY_SECONDS = 6.0
# How long after the expected end of a load the engine's registration may arrive.
_REGISTRATION_LAG_SECONDS = 3.0
# Delay before an order that was refused because of its count is sent again.
_REFUSED_ORDER_RETRY_SECONDS = 1.0
# Interval at which a loading engine is polled: its registration would report the layers
# only with the next heartbeat.
_LOAD_POLL_SECONDS = 0.4
# With more concurrent orders, the last would time out while the router still encodes
# the first.
_MAX_CONCURRENT_ORDERS = 48
# About 60 bytes each, so that announcements stay small. More than are sent at once.
_MAX_ANNOUNCED_ORDERS = 128
# No order takes longer, whatever another router says.
_MAX_ORDER_SECONDS = 60.0
# Interval at which engines that fail requests are asked whether they are lost.
_FAILING_QUERY_SECONDS = 1.0
# While an engine loads, only the layers that it retains are used, for this long: by
# then its registration reports what it holds.
_RETAINED_LAYERS_SECONDS = 5.0


class _Answer(NamedTuple):
    """Whether an incarnation answered when it was asked at a time of the clock."""

    answered: bool
    asked_at: float


class _PendingOrder(NamedTuple):
    """An order that an engine has not confirmed; `is_own` if this router sent it."""

    layers: LayerRange
    born: int
    expires_at: float
    is_own: bool = True


def _retained_layers(held, target):
    """Return the layers that an engine retains while it loads others."""
    if held is None:
        return None
    first, end = max(held.first, target.first), min(held.end, target.end)
    return LayerRange(first, end) if first < end else None


class PlacementController:
    """Sends layer orders to the engines of all services while this router leads."""

    def __init__(
        self, fleet: Fleet, calls: EngineCalls, is_leader, services, announce_layers
    ):
        self._announce_layers = announce_layers
        self._fleet = fleet
        self._calls = calls
        self._is_leader = is_leader
        self._services = services
        self._pending_orders: dict[str, _PendingOrder] = {}
        self._accepted_counts: dict[tuple[str, int], int] = {}
        self._known_ids: dict[str, frozenset[str]] = {}
        self._changed_at: dict[str, float] = {}
        self._added_at: dict[str, float] = {}
        # What was last logged as unusable, by service.
        self._unusable: dict[str, frozenset] = {}
        # What was last logged of missing layers, by service.
        self._missing: dict[str, dict] = {}
        self._has_led = False
        # The latest answers of engines that fail requests, by service and incarnation.
        self._answers: dict[str, dict[tuple[str, int], _Answer]] = {}

    def run(self):
        while True:
            gevent.sleep(_CHECK_INTERVAL_SECONDS)
            is_leader = self._is_leader()
            if is_leader != self._has_led:
                self._has_led = is_leader
                log_event(Event.LEADER_CHANGED, leads=is_leader)
            if not is_leader:
                self._prune_orders_of_followers()
                self._missing.clear()
                continue
            for service in self._services():
                if service.engine is not None:
                    self._place_service(service, service.engine)

    def _place_service(self, service: Service, model: EngineModel):
        registered = self._fleet.registered(service.name)
        self._log_unusable(
            service.name, [e for e in registered if not model.can_use(e)]
        )
        serving = [e for e in registered if e.is_serving and model.can_use(e)]
        lost = self._find_lost(service.name, serving)
        engines = [engine for engine in serving if engine.id not in lost]
        have_settled = self._have_registrations_settled(service.name, engines)
        self._log_missing_layers(service.name, model, registered, engines, have_settled)
        if not have_settled:
            return
        now = time.monotonic()
        self._prune_pending_orders(engines, now)
        empty = [
            e for e in engines if e.layers is None and e.id not in self._pending_orders
        ]
        capacities = token_capacity_by_data_centre(model, engines)
        members_by_data_centre = group_members(
            group_data_centres(model, engines, token_capacity)
        )
        holding = [self._with_pending_layers(e) for e in engines if e not in empty]
        coverage = LayerCoverage(model, members_by_data_centre, holding)
        orders = []
        for engine in placement_order(model, empty, members_by_data_centre):
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
        may_rebalance = not orders and self._is_stable(service.name, now)
        # Data centres with loading engines are skipped: the layers that will be held
        # are known, but not yet those that will be missing.
        loading = {e.data_centre for e in engines if e.id in self._pending_orders}
        assignments = {assignment.engine.id: assignment for assignment in orders}
        for assignment in choose_reassignments(model, holding, may_rebalance):
            if assignment.engine.data_centre in loading:
                continue
            name = assignment.engine.id
            first = assignments.get(name, assignment)
            assignments[name] = first._replace(layers=assignment.layers)
        lifetime = model.load_seconds + _REGISTRATION_LAG_SECONDS
        tasks = Pool(_MAX_CONCURRENT_ORDERS)
        for assignment in assignments.values():
            self._pending_orders[assignment.engine.id] = _PendingOrder(
                assignment.layers, assignment.engine.born, now + lifetime
            )
            tasks.spawn(self._send_order, assignment)
        tasks.join()

    def _find_lost(self, service, engines) -> set[str]:
        """Return the engines that fail requests and do not answer this router.

        One that refuses requests in a row is lost too if it holds the layers that this
        router expects: it leaves, and its registration cannot say so yet. If it holds
        others, the requests were sent to it by mistake.
        """
        failing = [e for e in engines if self._fleet.is_failing(e.id)]
        now = time.monotonic()
        oldest = now - _FAILING_QUERY_SECONDS
        known_answers = self._answers.get(service, {})
        answers = {(e.id, e.born): known_answers.get((e.id, e.born)) for e in failing}
        due = [
            engine
            for engine in failing
            if (known := answers[engine.id, engine.born]) is None
            or known.asked_at <= oldest
        ]
        reports = Pool(_MAX_CONCURRENT_ORDERS).map(
            lambda engine: self._calls.report(engine.address), due
        )
        for engine, report in zip(due, reports, strict=True):
            answered = report is not None and report.born in (None, engine.born)
            if answered and self._fleet.failure(engine.id) is Failure.REFUSING:
                answered = report.layers != engine.layers
            answers[engine.id, engine.born] = _Answer(answered, now)
        self._answers[service] = answers
        return {e.id for e in failing if not answers[e.id, e.born].answered}

    def _log_unusable(self, service, engines):
        """Log the engines that cannot hold layers of the model, once each."""
        unusable = {(e.id, e.address, e.kind, e.layers) for e in engines}
        for name, address, kind, layers in unusable - self._unusable.get(
            service, frozenset()
        ):
            log_event(
                Event.ENGINE_UNUSABLE,
                upstream=name,
                address=address,
                accelerator=kind,
                layers=layers,
            )
        self._unusable[service] = frozenset(unusable)

    def _log_missing_layers(self, service, model, registered, engines, have_settled):
        """Log which layers are missing when that changes, and what may explain it."""
        missing = count_missing_layers(model, engines)
        if missing == self._missing.get(service, {}):
            return
        self._missing[service] = missing
        used = {engine.id for engine in engines}
        left_out = {
            e.id: self._fleet.failure(e.id) or e.state.value
            for e in registered
            if e.id not in used
        }
        log_event(
            Event.LAYERS_MISSING,
            service=service,
            missing=missing,
            left_out=left_out,
            loading=sorted(self._pending_orders),
            settling=not have_settled,
        )

    def _is_stable(self, service, now):
        """Whether the fleet has been unchanged long enough to rebalance layers."""
        return (
            not self._pending_orders
            and now - self._changed_at[service] >= _REBALANCE_DELAY_SECONDS
        )

    def _have_registrations_settled(self, service, engines):
        ids = frozenset(engine.id for engine in engines)
        if not self._known_ids.get(service) and ids or service not in self._known_ids:
            self._changed_at[service] = time.monotonic()
            self._added_at[service] = time.monotonic()
        elif ids != self._known_ids[service]:
            self._changed_at[service] = time.monotonic()
            if ids - self._known_ids[service]:
                self._added_at[service] = time.monotonic()
        self._known_ids[service] = ids
        return time.monotonic() - self._added_at[service] >= _SETTLE_SECONDS

    def announced_orders(self) -> list[list]:
        """Return the orders that are not confirmed, for the peers of this router.

        A leader announces all that it knows: a router that follows it may be stopped
        too before the orders of an earlier leader are done.
        """
        now = time.monotonic()
        return [
            [upstream_id, pending.born, *pending.layers, round(remaining, 2)]
            for upstream_id, pending in self._pending_orders.items()
            if (pending.is_own or self._has_led)
            and (remaining := pending.expires_at - now) > 0.0
        ][:_MAX_ANNOUNCED_ORDERS]

    def apply_announcement(self, raw: list, is_leading: bool):
        """Take over the orders of a peer; raises `DECODING_ERRORS`.

        The next leader must know them: an engine that loads layers seems to lack them,
        and an order to another one would end the streams over it. The orders of a
        leader replace those of earlier ones; a leader knows its own best.
        """
        now = time.monotonic()
        orders = {}
        for upstream_id, born, first, end, seconds in raw[:_MAX_ANNOUNCED_ORDERS]:
            seconds, layers = float(seconds), LayerRange(int(first), int(end))
            if not (0.0 <= seconds and 0 <= layers.first < layers.end):
                raise ValueError(f"an order of {layers} for {seconds} s")
            expires_at = now + min(seconds, _MAX_ORDER_SECONDS)
            orders[str(upstream_id)] = _PendingOrder(
                layers, int(born), expires_at, is_own=False
            )
        if self._has_led:
            return
        if is_leading:
            self._pending_orders = orders
        else:
            self._pending_orders = {**orders, **self._pending_orders}

    def _prune_orders_of_followers(self):
        """Forget the orders that are done, while another router leads."""
        now = time.monotonic()
        engines = map(self._fleet.get, self._pending_orders)
        self._prune_pending_orders([e for e in engines if e is not None], now)

    def _prune_pending_orders(self, engines, now):
        by_id = {engine.id: engine for engine in engines}
        for upstream_id, pending in list(self._pending_orders.items()):
            engine = by_id.get(upstream_id)
            is_lost = engine is None or engine.born != pending.born
            if is_lost or engine.layers == pending.layers or pending.expires_at <= now:
                del self._pending_orders[upstream_id]

    def _with_pending_layers(self, engine):
        pending = self._pending_orders.get(engine.id)
        return engine if pending is None else engine._replace(layers=pending.layers)

    def _send_order(self, assignment):
        engine, layers = assignment.engine, assignment.layers
        incarnation = (engine.id, engine.born)
        if incarnation not in self._accepted_counts and engine.layers is not None:
            # Another router may have sent orders; an empty engine is treated as new.
            self._refresh_accepted_count(engine)
        orders_accepted = self._accepted_counts.get(incarnation, 0)
        registered = self._fleet.registered_layers(engine.id)
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
                self._accepted_counts[incarnation] = orders_accepted + 1
                # A registration that was read meanwhile is newer than this answer.
                if self._fleet.registered_layers(engine.id) == registered:
                    retained = _retained_layers(engine.layers, layers)
                    self._fleet.override_layers(
                        engine.id, engine.born, retained, _RETAINED_LAYERS_SECONDS
                    )
                gevent.spawn(self._await_load, engine, layers)
            case OrderOutcome.ALREADY_HELD:
                self._override_layers(engine, layers)
            case OrderOutcome.REFUSED:
                self._refresh_accepted_count(engine)
                self._schedule_retry(engine, layers, _REFUSED_ORDER_RETRY_SECONDS)
            case OrderOutcome.UNKNOWN:
                # The engine may still execute the order; its registration will show it
                # by the time of the retry.
                self._accepted_counts.pop(incarnation, None)
                self._schedule_retry(engine, layers, _REGISTRATION_LAG_SECONDS)

    def _await_load(self, engine, layers):
        """Poll the engine until it holds the layers, then announce them.

        Its registration follows one heartbeat later, or after an outage of the store.
        """
        expires_at = self._pending_orders[engine.id].expires_at
        while time.monotonic() < expires_at:
            load_factor = max(len(self._pending_orders) / _MAX_CONCURRENT_ORDERS, 1.0)
            gevent.sleep(_LOAD_POLL_SECONDS * load_factor)
            report = self._calls.report(engine.address)
            if report is not None and report.layers == layers and not report.is_busy:
                self._override_layers(engine, layers)
                return

    def _override_layers(self, engine, layers):
        self._fleet.override_layers(
            engine.id, engine.born, layers, LAYER_OVERRIDE_SECONDS
        )
        self._announce_layers(engine.id, engine.born, layers)

    def _refresh_accepted_count(self, engine):
        report = self._calls.report(engine.address)
        if report is None:
            return
        self._accepted_counts[engine.id, engine.born] = report.orders_accepted
        if not report.is_busy:
            self._override_layers(engine, report.layers)

    def _schedule_retry(self, engine, layers, seconds):
        expires_at = time.monotonic() + seconds
        self._pending_orders[engine.id] = _PendingOrder(layers, engine.born, expires_at)

    def dump(self) -> dict:
        return {
            "pending": {
                name: list(pending.layers)
                for name, pending in self._pending_orders.items()
            }
        }
