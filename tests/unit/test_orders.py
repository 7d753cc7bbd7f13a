"""Orders go out under a confirmed lease, and the upstream opens only when it held."""

import json

import gevent
import pytest
from tests.unit.stage_fakes import ENTRY, STATE, Hub, Peer, make_settings

from bulrushdrum._internal.peering.messages import (
    Desired,
    OrderLease,
    OrderLeaseRequest,
)
from bulrushdrum._internal.sidecar import orders as orders_module
from bulrushdrum._internal.sidecar.errors import EngineLost, EngineRefused
from bulrushdrum._internal.sidecar.leases import LeaseHolder
from bulrushdrum._internal.sidecar.orders import Orders
from bulrushdrum._internal.sidecar.status import UpstreamStatus


class Engine:
    """Obeys every order, whatever its number; a hook runs before each one.

    `orders` has the epoch and version of each order; their numbers must grow.
    """

    def __init__(self):
        self.state = STATE
        self.orders = []
        self.highest = 0
        self.before = lambda order: None
        self.after = lambda order: None

    def describe(self):
        return self.state

    def give_order(self, fencing, order):
        # Guards against two orders that an engine cannot put into their order.
        assert fencing > self.highest
        self.highest = fencing
        self.before(order)
        self.orders.append((fencing >> 24, order["model_version"]))
        self.state = self.state._replace(model_version=order["model_version"])
        self.after(order)
        return self.state


class Table:
    """The entry's side of leases: the rows that the order leases read."""

    def __init__(self, hub):
        self.hub = hub
        self.epoch = 0
        self.desired = (0, "")
        self.down = False
        self.delay = 0.0

    def answer(self, request: OrderLeaseRequest):
        gevent.sleep(self.delay)
        if self.down:
            answer = OrderLease(request.token, False, reason="down")
        elif request.epoch and request.epoch != self.epoch:
            answer = OrderLease(request.token, False, self.epoch, reason="replaced")
        else:
            self.epoch += request.epoch == 0
            answer = OrderLease(request.token, True, self.epoch, *self.desired)
        self.hub.receive(None, answer)


class Entry(Peer):
    table = None

    def send(self, message):
        super().send(message)
        if isinstance(message, OrderLeaseRequest):
            gevent.spawn(self.table.answer, message)


class World:
    def __init__(self, **settings):
        self.entry = Entry(ENTRY)
        self.hub = Hub(self.entry)
        self.hub.connections = lambda kind: [self.entry]
        self.hub.on_connected = lambda callback: None
        self.table = self.entry.table = Table(self.hub)
        self.engine = Engine()
        self.settings = make_settings(order_lease=0.5, **settings)
        self.status = UpstreamStatus(self.settings)
        self.status.update(engine=STATE)
        self.open_work = 0
        self.orders = Orders(
            self.hub, self.settings, self.engine, self.status, lambda: self.open_work
        )
        self.orders.start()

    def want(self, version, revision, **desired):
        text = json.dumps({"model_version": version, **desired})
        self.table.desired = (revision, text)
        self.hub.receive(self.entry, Desired("s1", revision, text))

    def wait(self, condition, seconds=3.0):
        with gevent.Timeout(seconds, False):
            while not condition():
                gevent.sleep(0.005)
        return condition()

    def serves(self, version):
        engine = self.status.engine
        return self.status.state == "serving" and engine.model_version == version


@pytest.fixture
def world(monkeypatch):
    monkeypatch.setattr(orders_module, "FIRST_PAUSE_SECONDS", 0.02)
    monkeypatch.setattr(orders_module, "IDLE_POLL_SECONDS", 0.005)
    return World()


def test_without_a_desired_state_the_engine_serves_what_it_holds(world):
    # Guards against a sidecar that waits for an operator or a store before it serves.
    world.table.down = True
    gevent.sleep(0.1)
    assert world.serves("1") and world.engine.orders == []


def test_an_order_waits_for_open_work_and_closes_the_upstream(world):
    # Guards against an order that takes the model away from a request in progress.
    world.open_work = 1
    world.want("2", 1)
    assert world.wait(lambda: world.status.state == "stopped")
    gevent.sleep(0.05)
    assert world.engine.orders == []
    world.open_work = 0
    assert world.wait(lambda: world.serves("2"))
    assert world.engine.orders == [(1, "2")]


def test_no_lease_no_order(world):
    # Guards against an order while nobody can say who may give it.
    assert world.wait(lambda: world.table.epoch == 1)
    world.table.down = True
    world.want("2", 1)
    gevent.sleep(0.2)
    assert world.engine.orders == [] and world.status.state == "stopped"
    world.table.down = False
    assert world.wait(lambda: world.serves("2"))


def test_a_lease_counts_from_the_question():
    # Guards against an order under a lease whose answer was on its way for long.
    now = [100.0]
    hub = Hub(Entry(ENTRY))
    holder = LeaseHolder(hub, make_settings(order_lease=5.0), clock=lambda: now[0])
    entry = hub.peers[ENTRY.incarnation]
    hub.connections = lambda kind: [entry]
    entry.table = Table(hub)
    answer = entry.table.answer

    def late(request):
        now[0] += 4.9
        answer(request)

    entry.table.answer = late
    lease = holder.acquire()
    assert holder.is_valid(lease)
    now[0] += 0.2
    assert not holder.is_valid(lease)


def test_an_expired_lease_gives_no_order(world):
    # Guards against a paused holder that goes on as if its lease had waited for it.
    pauses = iter(range(0, 10**6, 10))
    world.orders._leases._clock = pauses.__next__
    world.want("2", 1)
    gevent.sleep(0.3)
    assert world.engine.orders == [] and world.status.state == "stopped"


def test_after_a_later_incarnation_nothing_is_opened_or_ordered(world):
    # Guards against an order that was overtaken: a later incarnation took a number
    # while the order was under way, and the engine ignores numbers.
    def overtaken(order):
        world.table.epoch += 1

    world.engine.before = overtaken
    world.want("2", 1)
    assert world.wait(lambda: len(world.engine.orders) == 1)
    gevent.sleep(0.2)
    assert world.status.state == "stopped"
    world.want("3", 2)
    gevent.sleep(0.2)
    assert world.engine.orders == [(1, "2")] and world.status.state == "stopped"


def test_a_stale_order_that_reaches_the_engine_is_undone(world):
    # Guards against work for an engine that a stale order moved to another version.
    stale = iter(["0"])

    def overwritten(order):
        version = next(stale, order["model_version"])
        world.engine.state = world.engine.state._replace(model_version=version)

    world.engine.after = overwritten
    world.want("2", 1)
    assert world.wait(lambda: world.serves("2"))
    assert world.engine.orders == [(1, "2"), (1, "2")]
    world.status.update(engine=STATE._replace(model_version="0"))
    assert world.wait(lambda: world.serves("2"))
    assert len(world.engine.orders) == 3


@pytest.mark.parametrize("obeyed", [True, False])
def test_a_lost_answer_is_settled_by_reading_back(world, obeyed):
    # Guards against a guess about an order whose answer was lost.
    failures = iter([EngineLost("no answer", crashed=True)])

    def lose(order):
        for error in failures:
            raise error

    setattr(world.engine, "after" if obeyed else "before", lose)
    world.want("2", 1)
    assert world.wait(lambda: world.serves("2"))
    assert world.engine.orders == [(1, "2")]


def test_a_refused_number_is_replaced_by_a_new_one(world):
    # Guards against an upstream that stays closed after its table was restored.
    def refuse(order):
        if world.table.epoch < 3:
            raise EngineRefused(409, "stale_fencing")

    world.engine.before = refuse
    world.want("2", 1)
    assert world.wait(lambda: world.serves("2"))
    assert world.engine.orders == [(3, "2")]


def test_the_newest_valid_desired_state_wins(world):
    # Guards against a late message that brings an old state back, and against an
    # invalid one that stops a working upstream.
    world.want("2", 5)
    assert world.wait(lambda: world.serves("2"))
    late = [Desired("s1", 4, '{"serving": false}'), Desired("s9", 9, "{}")]
    for message in [*late, Desired("s1", 6, '{"serving": "no"}')]:
        world.hub.receive(world.entry, message)
    gevent.sleep(0.1)
    assert world.serves("2")
    world.hub.receive(world.entry, Desired("s1", 7, '{"serving": false}'))
    assert world.wait(lambda: world.status.state == "stopped")
