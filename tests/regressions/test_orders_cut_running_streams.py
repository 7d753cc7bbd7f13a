"""The leader orders layers only away from engines whose loss is confirmed.

Found in the second incident around SIGTERM (docs/incidents): routers that found engines
silent under load left them out of the placement, and the next leader ordered the
engines beside them to hold their layers, which ended the streams over these.
"""

import gevent
import pytest
from tests.unit.pool_fakes import make_engine, make_model

from bulrushdrum._internal.conditions.claims import Matter
from bulrushdrum._internal.coordination.placement_controller import PlacementController
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.platform.engine_calls import EngineReport, OrderOutcome
from bulrushdrum._internal.world.routes import Service
from bulrushdrum._internal.world.upstreams import LayerRange

# Longer than registrations settle, with some checks after it.
_PLACEMENT_SECONDS = 1.8


class RecordingEngines:
    """Engines that accept all orders; those in `dark` do not answer reports."""

    def __init__(self, fleet, dark=(), reported=()):
        self._fleet = fleet
        self._dark = dark
        self._reported = dict(reported)
        self.orders = []

    def order_layers(self, address, upstream_id, layers, expected_orders, urgent=False):
        self.orders.append((upstream_id, layers))
        return OrderOutcome.STARTED

    def report(self, address):
        upstream = self._fleet.find_by_address(address)
        if upstream.id in self._dark:
            return None
        layers = self._reported.get(upstream.id, upstream.layers)
        return EngineReport(1, False, 0, 0, 0, 0, 1.0, layers, frozenset())


def make_fleet():
    """Return a fleet in which one engine holds layers that no other one holds."""
    fleet = Fleet()
    for index, layers in enumerate([(0, 20), (0, 20), (20, 40)]):
        engine = make_engine(f"e{index}", "large", layers=layers)
        fleet.put(engine._replace(address=f"10.0.0.{index}:1"))
    return fleet


def mark_unresponsive(fleet):
    fleet.mark_unresponsive("e2")


def claim_repeatedly(fleet, matter=Matter.UNRESPONSIVE):
    for _ in range(3):
        claim = fleet.claims.make("e2", 1, matter, "another")
        gevent.sleep(0 if claim.failures == 3 else claim.until - claim.made_at + 0.01)


def fail_requests(fleet):
    for _ in range(3):
        fleet.record_failure("e2", seconds=0.01)
        gevent.sleep(0.02)
    fleet.record_failure("e2", seconds=5.0)


def make_controller(fleet, engines, load_seconds=0.1, is_leader=lambda: True):
    service = Service("llm", 10, make_model(load_seconds=load_seconds))
    return PlacementController(
        fleet, engines, is_leader, lambda: [service], lambda *update: None
    )


def run_placement(fleet, engines, controller=None):
    controller = controller or make_controller(fleet, engines)
    greenlet = gevent.spawn(controller.run)
    gevent.sleep(_PLACEMENT_SECONDS)
    greenlet.kill()
    return controller


@pytest.mark.parametrize("fail", [mark_unresponsive, claim_repeatedly, fail_requests])
def test_layers_of_an_engine_that_answers_are_not_ordered_elsewhere(fail):
    # Guards against taking an engine that only failed requests for lost: its layers
    # seem to be missing, and orders to the other engines end the streams over them.
    fleet = make_fleet()
    engines = RecordingEngines(fleet)
    fail(fleet)
    assert fleet.is_failing("e2")
    run_placement(fleet, engines)
    assert engines.orders == []


@pytest.mark.parametrize("held", [(20, 40), (0, 20)])
def test_an_engine_that_refuses_requests_is_lost_unless_it_holds_other_layers(held):
    # Guards against layers that stay missing when an engine leaves during an outage
    # of the store: it refuses requests, and answers reports.
    fleet = make_fleet()
    engines = RecordingEngines(fleet, reported={"e2": LayerRange(*held)})
    claim_repeatedly(fleet, Matter.REFUSING)
    assert fleet.is_failing("e2")
    run_placement(fleet, engines)
    assert bool(engines.orders) == (held == (20, 40))


def test_layers_of_an_engine_that_does_not_answer_are_ordered_elsewhere():
    # Guards against waiting for the registration of a lost engine to expire.
    fleet = make_fleet()
    engines = RecordingEngines(fleet, dark={"e2"})
    fleet.mark_unresponsive("e2")
    run_placement(fleet, engines)
    ((_, layers),) = engines.orders
    assert layers.first <= 20 and layers.end == 40


def make_fleet_with_empty_engine():
    """Return a fleet whose engine e2 has restarted without layers."""
    fleet = make_fleet()
    fleet.put(fleet.get("e2")._replace(layers=None))
    return fleet


def test_the_next_leader_waits_for_the_orders_of_the_previous_one():
    # Guards against a leader that takes layers for missing which an engine loads by an
    # order of its predecessor, and orders them elsewhere at once.
    first_engines = RecordingEngines(make_fleet())
    first = run_placement(
        fleet := make_fleet_with_empty_engine(),
        first_engines,
        make_controller(fleet, first_engines, load_seconds=60.0),
    )
    assert [name for name, _ in first_engines.orders] == ["e2"]
    fleet = make_fleet_with_empty_engine()
    engines = RecordingEngines(fleet)
    second = make_controller(fleet, engines, load_seconds=60.0)
    second.apply_announcement(first.announced_orders(), is_leading=True)
    run_placement(fleet, engines, second)
    assert engines.orders == []


def test_orders_of_a_stopping_leader_are_known_to_a_router_that_starts_later():
    # Guards against forgetting the orders of a router that no longer leads: while all
    # routers stop in turn, the next leader has heard only such announcements.
    fleet = make_fleet_with_empty_engine()
    engines = RecordingEngines(fleet)
    controller = make_controller(fleet, engines)
    controller.apply_announcement([["e2", 1, 20, 40, 30.0]], is_leading=False)
    run_placement(fleet, engines, controller)
    assert engines.orders == []


def test_orders_outlast_several_leaders():
    # Guards against forgetting an order when two leaders are stopped one after another
    # while an engine carries it out.
    fleet = make_fleet_with_empty_engine()
    engines = RecordingEngines(fleet)
    second, third = make_controller(fleet, engines), make_controller(fleet, engines)
    second.apply_announcement([["e2", 1, 20, 40, 30.0]], is_leading=True)
    assert second.announced_orders() == []
    run_placement(fleet, engines, second)
    third.apply_announcement(second.announced_orders(), is_leading=True)
    run_placement(fleet, engines, third)
    assert engines.orders == []


@pytest.mark.parametrize(
    "order",
    [["e2", 1, 20, 40, float("nan")], ["e2", 1, -3, 40, 1.0], ["e2", 1, 9, 9, 1.0]],
)
def test_an_announced_order_that_no_router_sends_is_refused(order):
    # Guards against orders that never expire, and layers that no model has.
    fleet = make_fleet()
    controller = make_controller(fleet, RecordingEngines(fleet))
    with pytest.raises(DECODING_ERRORS):
        controller.apply_announcement([order], is_leading=True)
    assert controller.dump()["pending"] == {}


def test_orders_of_a_follower_end_with_the_load():
    # Guards against waiting for orders that are done, or whose engine has restarted.
    fleet = make_fleet()
    follower = make_controller(fleet, RecordingEngines(fleet), is_leader=lambda: False)
    orders = [["e1", 1, 0, 20, 30.0], ["e2", 0, 0, 20, 30.0], ["e0", 1, 20, 40, 0.1]]
    follower.apply_announcement(orders, is_leading=True)
    assert set(follower.dump()["pending"]) == {"e0", "e1", "e2"}
    run_placement(fleet, None, follower)
    assert follower.dump()["pending"] == {}
    assert follower.announced_orders() == []
