"""Orders need a confirmed lease, and the upstream opens only if it stayed valid."""

import json
import time

import gevent
import pytest
from tests.unit.stage_fakes import (
    ENGINE_STATE,
    ENTRY,
    FakeConnection,
    FakeHub,
    make_settings,
)

from bulrushdrum._internal.observability.events import Event
from bulrushdrum._internal.peering.shared_state_messages import (
    Desired,
    OrderLease,
    OrderLeaseRequest,
)
from bulrushdrum._internal.sidecar import orders as orders_module
from bulrushdrum._internal.sidecar.errors import EngineLost, EngineRefused
from bulrushdrum._internal.sidecar.leases import LeaseHolder
from bulrushdrum._internal.sidecar.orders import DesiredStateReconciler
from bulrushdrum._internal.sidecar.status import UpstreamStatus


class FakeEngine:
    """Applies every order, even one with a stale fencing number.

    The hooks `before` and `after` run before and after each order. `orders` records the
    epoch and the model version of each order.
    """

    def __init__(self):
        self.state = ENGINE_STATE
        self.orders = []
        self.highest_fencing = 0
        self.before = lambda order: None
        self.after = lambda order: None

    def read_state(self):
        return self.state

    def send_order(self, fencing, order):
        # Guards against orders that an engine cannot put in sequence by their numbers.
        assert fencing > self.highest_fencing
        self.highest_fencing = fencing
        self.before(order)
        self.orders.append((fencing >> 24, order["model_version"]))
        self.state = self.state._replace(model_version=order["model_version"])
        self.after(order)
        return self.state


class FakeLeaseTable:
    """Grants order leases as an entry does, from the table rows of one upstream."""

    def __init__(self, hub):
        self.hub = hub
        self.epoch = 0
        self.desired = (0, "")
        self.down = False
        self.delay = 0.0

    def respond(self, request: OrderLeaseRequest):
        gevent.sleep(self.delay)
        if self.down:
            answer = OrderLease(request.token, False, reason="down")
        elif request.epoch and request.epoch != self.epoch:
            answer = OrderLease(request.token, False, self.epoch, reason="replaced")
        else:
            self.epoch += request.epoch == 0
            answer = OrderLease(request.token, True, self.epoch, *self.desired)
        self.hub.receive(None, answer)


class FakeEntryConnection(FakeConnection):
    """A connection to an entry that responds to lease requests from `table`."""

    table = None

    def send(self, message):
        super().send(message)
        if isinstance(message, OrderLeaseRequest):
            gevent.spawn(self.table.respond, message)


class ReconcilerUnderTest:
    """A `DesiredStateReconciler` with a fake hub, entry, table and engine."""

    def __init__(self, **settings):
        self.entry = FakeEntryConnection(ENTRY)
        self.hub = FakeHub(self.entry)
        self.hub.connections = lambda kind: [self.entry]
        self.hub.on_connected = lambda callback: None
        self.table = self.entry.table = FakeLeaseTable(self.hub)
        self.engine = FakeEngine()
        self.settings = make_settings(order_lease=0.5, **settings)
        self.status = UpstreamStatus(self.settings)
        self.status.update(engine=ENGINE_STATE)
        self.open_attempts = 0
        self.reconciler = DesiredStateReconciler(
            self.hub,
            self.settings,
            self.engine,
            self.status,
            lambda: self.open_attempts,
        )
        self.reconciler.start()

    def set_desired(self, version, revision, **desired):
        """Store a desired state in the table and announce it to the sidecar."""
        text = json.dumps({"model_version": version, **desired})
        self.table.desired = (revision, text)
        self.hub.receive(self.entry, Desired("s1", revision, text))

    def wait_until(self, condition, seconds=3.0):
        """Wait until `condition()` is true; return whether it is."""
        with gevent.Timeout(seconds, False):
            while not condition():
                gevent.sleep(0.005)
        return condition()

    def serves(self, version):
        """Return whether the upstream is open with model version `version`."""
        engine = self.status.engine
        return self.status.state == "serving" and engine.model_version == version


@pytest.fixture
def sidecar(monkeypatch):
    monkeypatch.setattr(orders_module, "INITIAL_RETRY_SECONDS", 0.02)
    monkeypatch.setattr(orders_module, "OPEN_ATTEMPTS_POLL_SECONDS", 0.005)
    return ReconcilerUnderTest()


def test_engine_serves_its_loaded_model_without_a_desired_state(sidecar):
    # Guards against a sidecar that waits for an operator or a store before it serves.
    sidecar.table.down = True
    gevent.sleep(0.1)
    assert sidecar.serves("1") and sidecar.engine.orders == []


def test_order_closes_the_upstream_and_waits_for_open_attempts(sidecar):
    # Guards against an order that replaces the model of a request in progress.
    sidecar.open_attempts = 1
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.status.state == "stopped")
    gevent.sleep(0.05)
    assert sidecar.engine.orders == []
    sidecar.open_attempts = 0
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert sidecar.engine.orders == [(1, "2")]


def test_no_order_is_sent_without_a_lease(sidecar):
    # Guards against an order while no entry can confirm which incarnation may send it.
    assert sidecar.wait_until(lambda: sidecar.table.epoch == 1)
    sidecar.table.down = True
    sidecar.set_desired("2", 1)
    gevent.sleep(0.2)
    assert sidecar.engine.orders == [] and sidecar.status.state == "stopped"
    sidecar.table.down = False
    assert sidecar.wait_until(lambda: sidecar.serves("2"))


def test_lease_starts_at_the_request():
    # Guards against an order under a lease that expired while its grant was delayed.
    now = [100.0]
    hub = FakeHub(FakeEntryConnection(ENTRY))
    holder = LeaseHolder(hub, make_settings(order_lease=5.0), clock=lambda: now[0])
    entry = hub.connections_by_incarnation[ENTRY.incarnation]
    hub.connections = lambda kind: [entry]
    entry.table = FakeLeaseTable(hub)
    respond = entry.table.respond

    def respond_late(request):
        now[0] += 4.9
        respond(request)

    entry.table.respond = respond_late
    lease = holder.acquire()
    assert holder.is_valid(lease)
    now[0] += 0.2
    assert not holder.is_valid(lease)


def test_no_order_is_sent_under_an_expired_lease(sidecar):
    # Guards against a sidecar that resumes after a pause and uses its expired lease.
    times = iter(range(0, 10**6, 10))
    sidecar.reconciler._leases._clock = times.__next__
    sidecar.set_desired("2", 1)
    gevent.sleep(0.3)
    assert sidecar.engine.orders == [] and sidecar.status.state == "stopped"


@pytest.fixture
def logged(monkeypatch):
    """The events that the reconciler logs."""
    events = []
    monkeypatch.setattr(
        orders_module, "log_event", lambda event, **fields: events.append(event)
    )
    return events


@pytest.mark.parametrize("reconnects_first", [True, False])
def test_an_order_is_not_trusted_if_the_sidecar_was_paused_past_its_lease(
    sidecar, logged, reconnects_first
):
    # Guards against an order that is accepted because an entry grants a new lease
    # before the answer to the order is handled.
    assert sidecar.wait_until(lambda: sidecar.table.epoch == 1)
    paused_seconds = 0.0
    sidecar.reconciler._leases._clock = lambda: time.monotonic() + paused_seconds

    def pause(order):
        nonlocal paused_seconds
        paused_seconds = 10.0
        if reconnects_first:
            gevent.sleep(0.4)

    sidecar.engine.before = pause
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert logged == [Event.ORDER_NOT_TRUSTED]
    # The state is read again under a new lease; a second order is not needed.
    assert sidecar.engine.orders == [(1, "2")]


def test_an_order_that_takes_longer_than_a_lease_is_trusted(sidecar, logged):
    # Guards against an alarm for each model that takes longer to load.
    sidecar.engine.before = lambda order: gevent.sleep(1.2)
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert logged == [Event.ORDER_GIVEN]
    assert sidecar.engine.orders == [(1, "2")]


def test_an_order_is_not_trusted_if_its_lease_could_not_be_renewed(sidecar, logged):
    # Guards against an order that is accepted under a lease granted after a gap.
    def lose_table(order):
        sidecar.table.down = True
        gevent.sleep(1.2)
        sidecar.table.down = False

    sidecar.engine.before = lose_table
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert logged == [Event.ORDER_NOT_TRUSTED]


def test_a_lease_is_renewed_during_its_order_only(sidecar, logged):
    # Guards against lease requests that go on after the order.
    sidecar.engine.before = lambda order: gevent.sleep(0.4)
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    requests = len(sidecar.entry.sent)
    gevent.sleep(0.4)
    assert len(sidecar.entry.sent) == requests


def test_superseded_incarnation_neither_opens_nor_sends_orders(sidecar):
    # Guards against an incarnation that opens the upstream after its order, although a
    # later incarnation took a fencing number while the order was in progress. The
    # engine ignores fencing numbers.
    def supersede(order):
        sidecar.table.epoch += 1

    sidecar.engine.before = supersede
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: len(sidecar.engine.orders) == 1)
    gevent.sleep(0.2)
    assert sidecar.status.state == "stopped"
    sidecar.set_desired("3", 2)
    gevent.sleep(0.2)
    assert sidecar.engine.orders == [(1, "2")] and sidecar.status.state == "stopped"


def test_effect_of_a_stale_order_is_corrected(sidecar):
    # Guards against work for an engine whose version was changed by a stale order.
    stale_versions = iter(["0"])

    def apply_stale_order(order):
        version = next(stale_versions, order["model_version"])
        sidecar.engine.state = sidecar.engine.state._replace(model_version=version)

    sidecar.engine.after = apply_stale_order
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert sidecar.engine.orders == [(1, "2"), (1, "2")]
    sidecar.status.update(engine=ENGINE_STATE._replace(model_version="0"))
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert len(sidecar.engine.orders) == 3


@pytest.mark.parametrize("applied", [True, False])
def test_engine_state_is_read_back_after_a_lost_answer(sidecar, applied):
    # Guards against an assumption about whether an order without an answer was applied.
    failures = iter([EngineLost("no answer", crashed=True)])

    def lose_answer(order):
        for error in failures:
            raise error

    setattr(sidecar.engine, "after" if applied else "before", lose_answer)
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert sidecar.engine.orders == [(1, "2")]


def test_refused_fencing_number_is_replaced(sidecar):
    # Guards against an upstream that stays closed after the table was restored to an
    # older state, so that the engine has seen a higher fencing number.
    def refuse(order):
        if sidecar.table.epoch < 3:
            raise EngineRefused(409, "stale_fencing")

    sidecar.engine.before = refuse
    sidecar.set_desired("2", 1)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    assert sidecar.engine.orders == [(3, "2")]


def test_the_newest_valid_desired_state_wins(sidecar):
    # Guards against a late message that restores an older desired state, and against an
    # invalid one that stops a working upstream.
    sidecar.set_desired("2", 5)
    assert sidecar.wait_until(lambda: sidecar.serves("2"))
    ignored = [Desired("s1", 4, '{"serving": false}'), Desired("s9", 9, "{}")]
    for message in [*ignored, Desired("s1", 6, '{"serving": "no"}')]:
        sidecar.hub.receive(sidecar.entry, message)
    gevent.sleep(0.1)
    assert sidecar.serves("2")
    sidecar.hub.receive(sidecar.entry, Desired("s1", 7, '{"serving": false}'))
    assert sidecar.wait_until(lambda: sidecar.status.state == "stopped")
