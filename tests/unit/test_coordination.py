"""Routers follow the store, hear each other, and give orders one at a time."""

import json

import gevent
import pytest
from tests.unit.pool_fakes import make_engine, make_model

from bulrushdrum._internal.coordination.announcements import RouterAnnouncements
from bulrushdrum._internal.coordination.placement_controller import PlacementController
from bulrushdrum._internal.coordination.table_follower import TableFollower
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop, MemoryReservations
from bulrushdrum._internal.platform.engine_calls import EngineReport, OrderOutcome
from bulrushdrum._internal.platform.errors import HistoryLost, StoreUnavailable
from bulrushdrum._internal.platform.rows import StoredRow, TableState
from bulrushdrum._internal.settings.router import RouterSettings
from bulrushdrum._internal.world.routes import Service
from bulrushdrum._internal.world.upstreams import LayerRange


class ScriptedStore:
    """Answers reads with what the script says, in order; then it waits."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    def _next(self, call):
        self.calls.append(call)
        if not self.script:
            gevent.sleep(60)
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def read_table(self, table):
        return self._next("whole")

    def read_changes(self, table, after):
        return self._next(after)


def follow(*script):
    seen = []
    store = ScriptedStore(*script)
    follower = TableFollower(
        store, "t", lambda rows, whole: seen.append(([r.key for r in rows], whole))
    )
    task = gevent.spawn(follower.run)
    gevent.sleep(0.6)
    task.kill()
    return follower, store, seen


def row(key):
    return StoredRow(key, b"", 1)


def test_a_table_is_read_whole_and_then_its_changes():
    _, store, seen = follow(
        TableState([row("a")], 5), TableState([], 7), TableState([row("b")], 9)
    )
    assert store.calls == ["whole", 5, 7, 9]
    assert seen == [(["a"], True), (["b"], False)]


def test_lost_history_leads_to_a_whole_read():
    # Guards against changes that are missed for good when the store compacts.
    _, store, seen = follow(
        TableState([row("a")], 5), HistoryLost("gone"), TableState([row("c")], 30)
    )
    assert store.calls[:3] == ["whole", 5, "whole"]
    assert seen[-1] == (["c"], True)


def test_an_outage_keeps_the_place_in_the_changes():
    follower, store, seen = follow(
        TableState([row("a")], 5), StoreUnavailable("down"), TableState([row("b")], 6)
    )
    assert store.calls[:3] == ["whole", 5, 5]
    assert follower.seconds_since_outage() < 1.0
    assert seen[-1] == (["b"], False)


def make_routers(*names, reaches_store=lambda: True):
    settings = [
        RouterSettings(name, "a", "127.0.0.1", "", "", 0, 0, "") for name in names
    ]
    routers = []
    for each in settings:
        fleet, reservations = Fleet(), MemoryReservations()
        fleet.put(make_engine("e", layers=(0, 20)))
        routers.append(
            RouterAnnouncements(
                each,
                "i1",
                reservations,
                fleet,
                None,
                reaches_store,
                CrashQuarantine(fleet.has_terminated),
            )
        )
    rows = [
        StoredRow(
            name,
            json.dumps(
                {"ip": "127.0.0.1", "port": router._socket.getsockname()[1]}
            ).encode(),
            1,
        )
        for name, router in zip(names, routers, strict=True)
    ]
    for router in routers:
        router.on_rows(rows, True)
        router.set_serving(True)
        router._started_at -= 10.0
    return routers


@pytest.fixture
def pair():
    routers = make_routers("r1", "r2")
    tasks = [gevent.spawn(router.listen_forever) for router in routers]
    yield routers
    gevent.killall(tasks)


def exchange(*routers):
    for router in routers:
        router._announce()
    gevent.sleep(0.05)


def test_reservations_and_silent_upstreams_reach_the_other_router(pair):
    one, two = pair
    one._reservations.reserve((Hop(make_engine("e"), LayerRange(0, 20)),), 10.0)
    one._fleet.mark_unresponsive("e")
    exchange(one)
    assert two._reservations.usage("e").token_layers == 200.0
    assert two._fleet.is_unresponsive("e")


def test_what_was_heard_of_a_silent_upstream_is_not_passed_on(pair):
    # Guards against two routers that keep an upstream silent for each other for ever.
    one, two = pair
    one._fleet.mark_unresponsive("e")
    exchange(one)
    one._fleet.record_success("e")
    exchange(two)
    assert not one._fleet.is_unresponsive("e")


def test_layers_that_an_engine_reported_reach_the_other_router_once(pair):
    one, two = pair
    one.announce_layers("e", 1, LayerRange(5, 25))
    exchange(one)
    assert two._fleet.get("e").layers == LayerRange(5, 25)
    two._fleet.put(make_engine("e", layers=(6, 26)))
    exchange(one)
    assert two._fleet.get("e").layers == LayerRange(6, 26)


def test_a_leader_goes_on_when_a_router_with_an_earlier_name_comes(pair):
    # Guards against two routers that both give orders around a restart.
    one, two = pair
    assert two.is_leader() is False or one is not None
    two._leading = True
    exchange(one, two)
    assert two.is_leader()
    assert not one.is_leader()


def test_of_two_leaders_the_first_by_name_goes_on(pair):
    one, two = pair
    one._leading = two._leading = True
    exchange(one, two)
    assert one.is_leader()
    assert not two.is_leader()


def test_a_router_that_is_cut_off_does_not_lead():
    # Guards against orders that rest on registrations nobody can renew.
    (one,) = make_routers("r1", reaches_store=lambda: False)
    assert not one.is_leader()


def test_a_bound_is_shared_with_routers_that_are_not_heard(pair):
    assert pair[0].router_count() == 2


class OrderedEngines:
    """Takes orders like engines do: only with their count of accepted orders."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.accepted: dict[str, int] = {}
        self.given: list[tuple[str, LayerRange]] = []
        self.lose_answers = False

    def order_layers(self, address, upstream_id, layers, expected_orders, urgent=False):
        self.given.append((upstream_id, layers))
        if self.accepted.get(upstream_id, 0) != expected_orders:
            return OrderOutcome.REFUSED
        self.accepted[upstream_id] = expected_orders + 1
        if self.lose_answers:
            return OrderOutcome.UNKNOWN
        return OrderOutcome.STARTED

    def report(self, address):
        upstream = self._fleet.find_by_address(address)
        layers = dict(self.given).get(upstream.id)
        count = self.accepted.get(upstream.id, 0)
        return EngineReport(count, False, 0, 0, 0, 0, 1.0, layers, frozenset())


def place_for(seconds, fleet, engines, leads=lambda: True):
    service = Service("llm", 10, make_model(load_seconds=0.1))
    told = []
    placement = PlacementController(
        fleet, engines, leads, lambda: [service], lambda *news: told.append(news)
    )
    task = gevent.spawn(placement.run)
    gevent.sleep(seconds)
    task.kill()
    return told


def test_empty_engines_are_ordered_once_and_known_before_they_register():
    fleet = Fleet()
    for number in range(8):
        fleet.put(make_engine(f"e{number}", address=f"10.0.0.{number}:1"))
    engines = OrderedEngines(fleet)
    told = place_for(2.2, fleet, engines)
    assert len(engines.given) == 8
    assert all(fleet.get(f"e{number}").layers for number in range(8))
    assert {news[0] for news in told} == {f"e{number}" for number in range(8)}


def test_an_order_that_another_router_gave_first_is_not_given_again():
    # Guards against two routers that order one engine back and forth.
    fleet = Fleet()
    fleet.put(make_engine("e"))
    engines = OrderedEngines(fleet)
    engines.accepted["e"] = 1
    engines.given.append(("e", LayerRange(0, 7)))
    place_for(2.2, fleet, engines)
    assert fleet.get("e").layers == LayerRange(0, 7)
    assert len(engines.given) == 2


def test_an_order_without_an_answer_is_found_out_by_its_report():
    fleet = Fleet()
    fleet.put(make_engine("e"))
    engines = OrderedEngines(fleet)
    engines.lose_answers = True
    place_for(5.5, fleet, engines)
    assert fleet.get("e").layers is not None


def test_a_router_that_does_not_lead_gives_no_orders():
    fleet = Fleet()
    fleet.put(make_engine("e"))
    engines = OrderedEngines(fleet)
    place_for(1.5, fleet, engines, leads=lambda: False)
    assert engines.given == []
