"""Tests of table followers, router announcements, the leader and layer placement."""

import json
import time

import gevent
import pytest
from gevent.event import Event
from tests.unit.pool_fakes import make_engine, make_limits, make_model

from bulrushdrum._internal.coordination.announcements import RouterAnnouncements
from bulrushdrum._internal.coordination.placement_controller import PlacementController
from bulrushdrum._internal.coordination.router_registry import RouterRegistry
from bulrushdrum._internal.coordination.store_contact import (
    StoreContact,
    StoreOutage,
    served_others,
)
from bulrushdrum._internal.coordination.table_follower import TableFollower
from bulrushdrum._internal.observability.events import Event as EventNumber
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop, MemoryReservations
from bulrushdrum._internal.pipelines.part_quarantine import Incarnation, PartQuarantine
from bulrushdrum._internal.platform.engine_calls import EngineReport, OrderOutcome
from bulrushdrum._internal.platform.errors import HistoryLost, StoreUnavailable
from bulrushdrum._internal.platform.rows import StoredRow, TableState
from bulrushdrum._internal.settings.router import RouterSettings
from bulrushdrum._internal.world.routes import Service
from bulrushdrum._internal.world.upstreams import LayerRange


class ScriptedStore:
    """Returns the scripted results of reads in order, then blocks."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []
        self.shortened = []

    def _next(self, call):
        self.calls.append(call)
        if not self.script:
            gevent.sleep(60)
        result = self.script.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    def read_table(self, table):
        return self._next("snapshot")

    def read_changes(self, table, after, shorten_wait=0.0):
        self.shortened.append(shorten_wait)
        return self._next(after)


def run_follower(*script):
    received = []
    store = ScriptedStore(*script)
    follower = TableFollower(
        store,
        "t",
        lambda rows, is_snapshot: received.append(([r.key for r in rows], is_snapshot)),
    )
    greenlet = gevent.spawn(follower.run)
    gevent.sleep(0.6)
    greenlet.kill()
    return follower, store, received


def row(key):
    return StoredRow(key, b"", 1)


def test_follower_reads_snapshot_and_then_changes():
    _, store, received = run_follower(
        TableState([row("a")], 5), TableState([], 7), TableState([row("b")], 9)
    )
    assert store.calls == ["snapshot", 5, 7, 9]
    assert received == [(["a"], True), (["b"], False)]


def test_follower_reads_new_snapshot_after_lost_history():
    # Guards against losing changes permanently when the store compacts its history.
    _, store, received = run_follower(
        TableState([row("a")], 5), HistoryLost("gone"), TableState([row("c")], 30)
    )
    assert store.calls[:3] == ["snapshot", 5, "snapshot"]
    assert received[-1] == (["c"], True)


def test_follower_reads_new_snapshot_in_another_era():
    # Guards against going on from a version that a restored store has passed again.
    _, store, received = run_follower(
        TableState([row("a")], 5, era=1),
        TableState([row("b")], 9, era=2),
        TableState([row("b"), row("c")], 9, era=2),
        TableState([row("d")], 10, era=2),
    )
    assert store.calls == ["snapshot", 5, "snapshot", 9, 10]
    assert received == [(["a"], True), (["b", "c"], True), (["d"], False)]


def test_a_follower_that_lost_its_place_still_has_what_it_read():
    # Guards against a router that is not ready, because the store went away again
    # before the table could be read whole.
    follower, _, _ = run_follower(
        TableState([row("a")], 5), HistoryLost("gone"), StoreUnavailable("down")
    )
    assert follower.has_snapshot


def test_follower_is_not_confused_by_a_store_that_tells_no_era():
    _, store, received = run_follower(
        TableState([row("a")], 5, era=1),
        TableState([row("b")], 6),
        TableState([row("c")], 7, era=1),
    )
    assert store.calls == ["snapshot", 5, 6, 7]


def test_follower_resumes_at_same_version_after_outage():
    follower, store, received = run_follower(
        TableState([row("a")], 5), StoreUnavailable("down"), TableState([row("b")], 6)
    )
    assert store.calls[:3] == ["snapshot", 5, 5]
    assert follower.seconds_since_outage() < 1.0
    outage, contact = follower.last_outage, follower.contact
    assert outage.began_at < outage.ended_at == contact.since <= contact.last
    assert received[-1] == (["b"], False)


class ChangingStore:
    """A table whose rows change while it is followed; calls wait 0.5 s for changes."""

    def __init__(self):
        self.version = 0
        self.calls = 0
        self._changed = Event()

    def change(self):
        self.version += 1
        self._changed.set()
        self._changed.clear()

    def read_table(self, table):
        self.calls += 1
        return TableState([], self.version)

    def read_changes(self, table, after, shorten_wait=0.0):
        self.calls += 1
        if self.version == after:
            self._changed.wait(0.5 - shorten_wait)
        rows = [row(str(n)) for n in range(after + 1, self.version + 1)]
        return TableState(rows, self.version)


class RestoredStore:
    """A store that fails one call, and is restored with lower versions meanwhile."""

    def __init__(self):
        self._results = [TableState([row("old")], 9, 1), TableState([row("new")], 7, 2)]
        self._has_failed = False

    def read_table(self, table):
        return self._results.pop(0)

    def read_changes(self, table, after, shorten_wait=0.0):
        if not self._has_failed:
            self._has_failed = True
            raise StoreUnavailable("busy")
        # Nothing has a version above `after`.
        gevent.sleep(max(2.0 - shorten_wait, 0.0))
        return TableState([], 7, 2)


def test_a_restored_store_is_read_at_once_when_it_can_be_reached_again():
    # Guards against a configuration that is not in force in time, because the first
    # call after an outage waits for changes of a store that has lower versions.
    received = []
    follower = TableFollower(
        RestoredStore(),
        "t",
        lambda rows, _: received.extend(r.key for r in rows),
    )
    greenlet = gevent.spawn(follower.run)
    gevent.sleep(0.5)
    greenlet.kill()
    assert received == ["old", "new"]


@pytest.fixture
def followed():
    """Follow a changing table with a spacing of 0.2 s; yield it and what arrived."""
    store, received = ChangingStore(), []
    follower = TableFollower(
        store,
        "t",
        lambda rows, _: received.extend((r.key, time.monotonic()) for r in rows),
        spacing=0.2,
    )
    greenlet = gevent.spawn(follower.run)
    gevent.sleep(0.05)
    yield store, received
    greenlet.kill()


def test_a_burst_of_changes_is_read_together(followed):
    # The registrations of a fleet change one by one when it starts or loses servers.
    # Guards against calls that grow with routers times changes.
    store, received = followed
    for _ in range(100):
        store.change()
        gevent.sleep(0.01)
    gevent.sleep(0.3)
    assert [key for key, _ in received] == [str(n) for n in range(1, 101)]
    # One call for each 0.2 s of the burst, and those before and after it.
    assert store.calls <= 1.4 / 0.2 + 3


def test_a_change_after_a_quiet_time_is_read_at_once(followed):
    store, received = followed
    gevent.sleep(0.3)
    changed_at = time.monotonic()
    store.change()
    gevent.sleep(0.1)
    assert [key for key, _ in received] == ["1"]
    assert received[0][1] - changed_at < 0.1


def test_a_change_during_the_spacing_is_read_after_it(followed):
    store, received = followed
    store.change()
    gevent.sleep(0.05)
    changed_at = time.monotonic()
    store.change()
    gevent.sleep(0.4)
    assert [key for key, _ in received] == ["1", "2"]
    assert received[1][1] - changed_at < 0.2 + 0.1


def test_the_wait_after_the_spacing_is_shorter():
    # Guards against noticing an unresponsive connection later than without spacing.
    store = ScriptedStore(
        TableState([row("a")], 5), TableState([], 7), TableState([row("b")], 9)
    )
    follower = TableFollower(store, "t", lambda rows, _: None, spacing=0.1)
    greenlet = gevent.spawn(follower.run)
    gevent.sleep(0.5)
    greenlet.kill()
    assert store.shortened == [0.1, 0.0, 0.1]


def make_routers(*names, reaches_store=lambda: True):
    settings = [
        RouterSettings(name, "a", "127.0.0.1", "", "", 0, 0, "") for name in names
    ]
    routers = []
    for router_settings in settings:
        fleet, reservations = Fleet(), MemoryReservations()
        fleet.put(make_engine("e", layers=(0, 20)))
        registry = RouterRegistry(router_settings, "i1", None, lambda: None)
        routers.append(
            RouterAnnouncements(
                router_settings,
                "i1",
                registry,
                reservations,
                fleet,
                reaches_store,
                CrashQuarantine(fleet.has_terminated),
                PartQuarantine(fleet.has_terminated, fleet.software_versions),
                make_limits(),
                lambda: 0,
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
        router._registry.on_rows(rows, True)
        router.set_serving(True)
        router._started_at -= 10.0
    return routers


@pytest.fixture
def routers():
    routers = make_routers("r1", "r2")
    greenlets = [gevent.spawn(router.listen_forever) for router in routers]
    yield routers
    gevent.killall(greenlets)


def send_announcements(*routers):
    for router in routers:
        router._announce()
    gevent.sleep(0.05)


def test_contact_with_the_store_is_announced(routers):
    # Guards against a router that takes an outage of its own for one of the store.
    first, second = routers
    now = time.monotonic()
    first._store_contact = lambda: StoreContact(now - 30.0, now - 1.0)
    send_announcements(first)
    (contact,) = second.store_contacts()
    assert abs(contact.since - (now - 30.0)) < 0.2
    assert abs(contact.last - (now - 1.0)) < 0.2
    first._store_contact = lambda: None
    send_announcements(first)
    assert second.store_contacts() == []


@pytest.mark.parametrize(
    ("since", "last", "served"),
    [
        (-10.0, 4.9, True),
        (-10.0, 3.1, True),
        # Answered before the store went away, perhaps.
        (-10.0, 2.9, False),
        # Failed itself in the outage.
        (0.1, 5.0, False),
    ],
)
def test_an_outage_of_one_router_is_told_from_one_of_the_store(since, last, served):
    # Guards against upstreams that are used after they left, and against upstreams that
    # are not used although their registration only lapsed.
    contacts = [StoreContact(1.0, 6.0), StoreContact(since, last)]
    assert served_others(StoreOutage(0.0, 5.0), contacts) is served
    assert not served_others(StoreOutage(0.0, 5.0), [])


def test_reservations_and_unresponsive_upstreams_are_announced(routers):
    first, second = routers
    first._reservations.reserve((Hop(make_engine("e"), LayerRange(0, 20)),), 10.0)
    first._fleet.mark_unresponsive("e")
    send_announcements(first)
    assert second._reservations.usage("e").token_layers == 200.0
    assert second._fleet.is_unresponsive("e")


def test_peer_reports_of_unresponsive_upstreams_are_not_forwarded(routers):
    # Guards against two routers that keep an upstream marked as unresponsive forever by
    # repeating each other's reports.
    first, second = routers
    first._fleet.mark_unresponsive("e")
    send_announcements(first)
    first._fleet.record_success("e")
    send_announcements(second)
    assert not first._fleet.is_unresponsive("e")


def test_a_crash_is_announced_at_once(routers):
    # Guards against engines that crash at other routers until the next announcement.
    first, second = routers
    first._part_quarantine._on_crash = first.announce_soon
    greenlet = gevent.spawn(first.announce_forever)
    gevent.sleep(0.02)
    for number in range(2):
        incarnation = Incarnation("lost", number, "")
        first._part_quarantine.record_failure(incarnation, ("bad",), time.monotonic())
        assert first._part_quarantine.find_group(("bad",)) == ()
        gevent.sleep(0.02)
        assert second._part_quarantine.dump()["crashes"] == number + 1
    greenlet.kill()


def test_peers_tell_when_they_accept_work_again(routers):
    # Guards against callers that are told to come back while another router drains.
    first, second = routers
    first.set_accepts_work(False, ready_in=7.5)
    send_announcements(first)
    assert not second.all_peers_accept_work()
    assert 7.0 < second.peers_ready_in() <= 7.5
    first.set_accepts_work(True)
    send_announcements(first)
    assert second.peers_ready_in() == 0.0


def test_layer_update_is_applied_once(routers):
    first, second = routers
    first.layer_updates.add("e", 1, LayerRange(5, 25))
    send_announcements(first)
    assert second._fleet.get("e").layers == LayerRange(5, 25)
    second._fleet.put(make_engine("e", layers=(6, 26)))
    send_announcements(first)
    assert second._fleet.get("e").layers == LayerRange(6, 26)


def test_layers_that_were_registered_since_are_not_announced(routers):
    # Guards against a router that starts, hears layers of long ago, and uses them in
    # place of the newer registration: it sends requests over engines that refuse them.
    first, second = routers
    first.layer_updates.add("e", 1, LayerRange(5, 25))
    for router in routers:
        router._fleet.put(make_engine("e", layers=(6, 26)))
    send_announcements(first)
    assert second._fleet.get("e").layers == LayerRange(6, 26)


def test_leader_keeps_role_when_router_with_earlier_name_starts(routers):
    # Guards against two routers that both send orders during a restart.
    first, second = routers
    # It has heard of no other router yet.
    assert second.is_leader()
    second._is_leader = True
    send_announcements(first, second)
    assert second.is_leader()
    assert not first.is_leader()


def test_first_leader_by_name_wins_conflict(routers):
    first, second = routers
    first._is_leader = second._is_leader = True
    send_announcements(first, second)
    assert first.is_leader()
    assert not second.is_leader()


def test_the_last_leader_places_layers_while_all_routers_stop(routers):
    # Guards against lost layers that nobody places until a router has restarted.
    first, second = routers
    assert first.is_leader()
    first.set_serving(False)
    second.set_serving(False)
    send_announcements(first, second)
    assert first.is_leader()
    assert not second.is_leader()


def test_a_stopping_leader_hands_over_to_a_router_that_serves(routers):
    first, second = routers
    assert first.is_leader()
    send_announcements(first, second)
    first.set_serving(False)
    assert first.is_leader(), "the other router has just started"
    second._started_at -= 2.0
    first._peers["r2"] = first._peers["r2"]._replace(
        first_received_at=first._peers["r2"].first_received_at - 2.0
    )
    assert not first.is_leader()
    send_announcements(first, second)
    assert second.is_leader()


def test_a_leader_that_serves_wins_a_conflict_with_one_that_stops(routers):
    # Guards against a router that takes over and gives up at once, because the stopping
    # one goes first by name.
    first, second = routers
    first._is_leader = second._is_leader = True
    first.set_serving(False)
    send_announcements(first, second)
    assert second.is_leader()
    assert not first.is_leader()


def test_partitioned_router_does_not_lead():
    # Guards against orders based on registrations that cannot be renewed.
    (router,) = make_routers("r1", reaches_store=lambda: False)
    assert not router.is_leader()


def test_router_count_includes_registered_routers_without_announcements(routers):
    assert routers[0].router_count() == 2


class FakeEngines:
    """Accepts an order, as engines do, only with the current count of accepted ones."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.accepted_counts: dict[str, int] = {}
        self.orders: list[tuple[str, LayerRange]] = []
        self.lose_responses = False
        self.dark: set[str] = set()
        self.on_order = lambda layers: None

    def order_layers(self, address, upstream_id, layers, expected_orders, urgent=False):
        self.orders.append((upstream_id, layers))
        if self.accepted_counts.get(upstream_id, 0) != expected_orders:
            return OrderOutcome.REFUSED
        self.accepted_counts[upstream_id] = expected_orders + 1
        self.on_order(layers)
        if self.lose_responses:
            return OrderOutcome.UNKNOWN
        return OrderOutcome.STARTED

    def report(self, address):
        upstream = self._fleet.find_by_address(address)
        if upstream.id in self.dark:
            return None
        layers = dict(self.orders).get(upstream.id)
        count = self.accepted_counts.get(upstream.id, 0)
        return EngineReport(count, False, 0, 0, 0, 0, 1.0, layers, frozenset())


def run_placement(seconds, fleet, engines, is_leader=lambda: True):
    service = Service("llm", 10, make_model(load_seconds=0.1))
    announced = []
    placement = PlacementController(
        fleet,
        engines,
        is_leader,
        lambda: [service],
        lambda *update: announced.append(update),
    )
    greenlet = gevent.spawn(placement.run)
    gevent.sleep(seconds)
    greenlet.kill()
    return announced


def test_empty_engines_are_ordered_once_and_announced_before_registration():
    fleet = Fleet()
    for index in range(8):
        fleet.put(make_engine(f"e{index}", address=f"10.0.0.{index}:1"))
    engines = FakeEngines(fleet)
    announced = run_placement(2.2, fleet, engines)
    assert len(engines.orders) == 8
    assert all(fleet.get(f"e{index}").layers for index in range(8))
    assert {update[0] for update in announced} == {f"e{index}" for index in range(8)}


def test_layers_registered_before_the_answer_to_an_order_are_used():
    # Guards against an engine that holds its layers and gets no requests, because the
    # answer to the order was read after the registration.
    fleet = Fleet()
    engine = make_engine("e", address="10.0.0.1:1")
    fleet.put(engine)
    engines = FakeEngines(fleet)
    engines.on_order = lambda layers: fleet.put(engine._replace(layers=layers))
    # Nothing but the registration tells that the layers are loaded.
    engines.report = lambda address: None
    run_placement(1.9, fleet, engines)
    assert [upstream_id for upstream_id, _ in engines.orders] == ["e"]
    assert fleet.get("e").layers == engines.orders[0][1]


def test_layers_ordered_by_another_router_are_kept():
    # Guards against two routers that repeatedly order one engine to different layers.
    fleet = Fleet()
    fleet.put(make_engine("e"))
    engines = FakeEngines(fleet)
    engines.accepted_counts["e"] = 1
    engines.orders.append(("e", LayerRange(0, 7)))
    run_placement(2.2, fleet, engines)
    assert fleet.get("e").layers == LayerRange(0, 7)
    assert len(engines.orders) == 2


def test_order_without_response_is_confirmed_by_report():
    fleet = Fleet()
    fleet.put(make_engine("e"))
    engines = FakeEngines(fleet)
    engines.lose_responses = True
    run_placement(5.5, fleet, engines)
    assert fleet.get("e").layers is not None


def test_missing_layers_are_logged_with_the_engines_that_do_not_count(monkeypatch):
    # Guards against orders whose cause no log line tells: whether engines are gone, or
    # only held for unusable by this router.
    logged = []
    monkeypatch.setattr(
        "bulrushdrum._internal.coordination.placement_controller.log_event",
        lambda event, **fields: logged.append((event, fields)),
    )
    fleet = Fleet()
    fleet.put(make_engine("e1", kind="large", layers=(0, 20), address="10.0.0.1:1"))
    fleet.put(make_engine("e2", kind="large", layers=(20, 40), address="10.0.0.2:1"))
    fleet.mark_unresponsive("e2")
    engines = FakeEngines(fleet)
    engines.dark.add("e2")
    run_placement(0.5, fleet, engines)
    assert logged[0] == (EventNumber.LEADER_CHANGED, {"leads": True})
    event, fields = logged[1]
    assert event is EventNumber.LAYERS_MISSING
    assert fields["missing"] == {"a": 20}
    assert fields["left_out"] == {"e2": "unresponsive"}
    assert fields["settling"]


def test_an_engine_gets_one_order_at_a_time():
    # Guards against a second order in the same pass, which the engine refuses: an empty
    # engine gets layers, and the other missing layers are distributed over all engines.
    fleet = Fleet()
    held = [(0, 6), (6, 12), (18, 24), (24, 30), (30, 36), None]
    for index, layers in enumerate(held):
        engine = make_engine(f"e{index}", layers=layers, address=f"10.0.0.{index}:1")
        fleet.put(engine)
    engines = FakeEngines(fleet)
    run_placement(1.4, fleet, engines)
    names = [name for name, _ in engines.orders]
    assert "e5" in names
    assert len(names) == len(set(names))


def test_router_that_is_not_leader_sends_no_orders():
    fleet = Fleet()
    fleet.put(make_engine("e"))
    engines = FakeEngines(fleet)
    run_placement(1.5, fleet, engines, is_leader=lambda: False)
    assert engines.orders == []


def test_a_router_in_the_copy_that_has_left_is_not_counted():
    # Guards against equal shares of a limit for routers that are gone.
    (announcements,) = make_routers("r1")
    registry = announcements._registry
    value = json.dumps({"ip": "127.0.0.1", "port": 9}).encode()
    registry.on_rows([StoredRow("r2", value, 5)], False)
    registry.on_rows([StoredRow("r2", None, 7)], False)
    own = StoredRow("r1", value, 3)
    registry.on_rows(
        [own, StoredRow("r2", value, 5)], True, from_copy=frozenset(("r1", "r2"))
    )
    assert announcements.router_count() == 1
    registry.on_rows([StoredRow("r2", value, 9)], False)
    assert announcements.router_count() == 2
