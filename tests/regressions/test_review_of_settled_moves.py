"""Faults found in the review of moves that keep the path in use.

A suspicion must neither end work whose successor is not certain, nor use up what other
requests need.
"""

import time

import gevent
import pytest
from bench.standins.path_server import (
    END,
    RESET,
    complete_response,
    event,
    head,
    not_executed,
    resumed,
)
from tests.regressions.test_orders_cut_running_streams import (
    RecordingEngines,
    make_fleet,
    run_placement,
)
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route
from tests.unit.test_generations import (
    EVENTS,
    add_pair,
    generation_requests,
    with_reports,
)

from bulrushdrum._internal.world.routes import RequestKind
from bulrushdrum._internal.world.statements import RequestLimit

PAUSE_SECONDS = 0.7


@pytest.fixture
def make_gateway():
    gateways = []

    def make(kind, **changes):
        gateways.append(Gateway(make_route(kind, **changes)))
        return gateways[-1]

    yield make
    for gateway in gateways:
        gateway.stop()


def suspect(gateway, name="one"):
    gateway.conditions.report_refusal(gateway.fleet.get(name))


def use_up_retries(gateway):
    while gateway.budget.try_spend("llm", routers=1):
        pass


def begins_then(*steps):
    return lambda request: [
        head(request, 200, "Content-Type: text/event-stream"),
        event(1),
        event(2),
        *steps,
    ]


def limit_to_one_request(gateway, name):
    """Let an upstream accept one request now and few later."""
    upstream = gateway.fleet.get(name)
    gateway.limits.record_statement(upstream, RequestLimit(0.5), has_run=True)
    gateway.limits._allowance(name, 0.0).level = 1.0


# Guards against a new call that is refused because a late one, which may not be sent
# again, has used up the limit of the only upstream left.
def test_a_late_call_that_may_not_be_sent_again_uses_no_upstream_limit(make_gateway):
    gateway = make_gateway(RequestKind.IDEMPOTENT)
    gateway.add_server("one", lambda r: [2.5, *complete_response(r)], slots=1000)
    two = gateway.add_server("two", complete_response, data_centre="b")
    limit_to_one_request(gateway, "two")
    gateway.budget._extra = 0
    late = gevent.spawn(gateway.call)
    gevent.sleep(1.6)
    gateway.fleet.record_failure("one")
    response = gateway.call(REQUEST.replace(b"r1", b"r2"))
    assert late.get(timeout=5.0).status == 200
    assert (response.status, len(two.requests)) == (200, 1)


# Guards against a late call that is ended for an upstream which then refuses it, though
# the first one answers in time.
@pytest.mark.parametrize("fault", ["refuses", "closes"])
def test_a_late_call_goes_on_if_the_next_upstream_does_not_take_it(make_gateway, fault):
    gateway = make_gateway(RequestKind.IDEMPOTENT)
    gateway.add_server("one", lambda r: [1.8, *complete_response(r)], slots=1000)
    gateway.add_server(
        "two", not_executed if fault == "refuses" else lambda r: [None], data_centre="b"
    )
    response = gateway.call()
    assert (response.status, response.body) == (200, b"done")


# Guards against an engine that is avoided because a stream reached its deadline before
# it was sent there.
def test_a_deadline_during_a_move_says_nothing_about_the_next_path(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=1.0)
    add_pair(gateway, with_reports(begins_then(5.0)), with_reports(resumed))
    use_up_retries(gateway)

    def wait_for_loan(service, has_delivered, arrived_at):
        """Return a loan that arrives just after the deadline."""
        seconds = arrived_at + gateway.route.timeout + 0.01 - time.monotonic()
        if seconds > 0.25:
            return False
        gevent.sleep(max(seconds, 0.0))
        return True

    gateway.budget.wait_for_loan = wait_for_loan
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.7)
    suspect(gateway)
    caller.get(timeout=5.0)
    assert generation_requests(gateway.servers["two"]) == []
    assert not gateway.fleet.is_avoided("two")


# Guards against a caller that is answered long after its deadline, because its stream
# waits once more for the path that it keeps.
def test_a_deadline_during_a_move_is_no_longer_than_another(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=1.0)
    _, two = add_pair(gateway, with_reports(lambda r: [5.0]), lambda r: [5.0])
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway)
    assert caller.get(timeout=5.0).status == 504
    assert len(generation_requests(two)) == 1
    assert gateway.seconds < 1.25


# Guards against a stream that is given up because one more event of a failing path has
# ended its move.
def test_an_event_before_a_path_breaks_off_gives_up_no_stream(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=6.0)
    add_pair(
        gateway,
        begins_then(PAUSE_SECONDS, event(3), 0.02, RESET),
        with_reports(lambda r: [1.0, *resumed(r)]),
    )
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway)
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)


# Guards against a retry that is counted again though the one counted was not sent,
# because nothing listened at the next path.
def test_a_move_to_an_engine_that_has_ended_counts_no_second_retry(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=6.0)
    one, two = add_pair(
        gateway, begins_then(1.5, event(3), event(4), event(5), END), resumed
    )
    gateway.servers["two"].stop()
    gateway.add_server(
        "three", with_reports(lambda r: [None]), (0, 40), data_centre="b"
    )
    three = gateway.servers["three"]
    caller = gevent.spawn(gateway.call)
    for _ in range(12):
        gevent.sleep(0.1)
        suspect(gateway)
    caller.get(timeout=8.0)
    counted = len(gateway.budget._retries.get("llm", ()))
    assert counted <= len(generation_requests(three))


# Guards against a suspicion that uses up the limit on retries: a stream that keeps its
# path asks others again and again while its engine pauses.
def test_a_stream_that_keeps_its_path_asks_others_only_a_few_times(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=6.0)
    end = (1.5, event(3), event(4), event(5), END)
    _, two = add_pair(gateway, begins_then(*end), with_reports(not_executed))
    caller = gevent.spawn(gateway.call)
    for _ in range(12):
        gevent.sleep(0.1)
        suspect(gateway)
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert len(generation_requests(two)) <= 4


# Guards against memory that stays reserved, and an engine that works on, when a caller
# leaves while the failure of the path that its stream has left is recorded.
def test_a_caller_that_leaves_as_a_move_ends_frees_the_next_path(
    make_gateway, monkeypatch
):
    gateway = make_gateway(RequestKind.STREAMING, timeout=6.0)
    # As an address that does not answer takes up to the timeout of a connection.
    monkeypatch.setattr(
        "bulrushdrum._internal.gateway.crash_evidence.refuses_connections",
        lambda address: gevent.sleep(0.35) or False,
    )
    one, two = add_pair(
        gateway,
        lambda r: [head(r), event(1), 0.8, None],
        lambda r: [1.0, head(r), event(2), 5.0],
    )
    with gateway.connect() as sock:
        sock.sendall(REQUEST)
        gevent.sleep(0.1)
        suspect(gateway)
        gevent.sleep(0.85)
        assert len(generation_requests(two)) == 1
    gevent.sleep(0.8)
    assert gateway.reservations.own_usage() == {}
    assert two.closed_early == 1


# Guards against an event that waits until a failure of the next path is recorded.
def test_a_failure_of_the_next_path_delays_no_event(make_gateway, monkeypatch):
    gateway = make_gateway(RequestKind.STREAMING, timeout=6.0)
    monkeypatch.setattr(
        "bulrushdrum._internal.gateway.crash_evidence.refuses_connections",
        lambda address: gevent.sleep(0.35) or False,
    )
    _, two = add_pair(
        gateway, begins_then(0.25, event(3), event(4), event(5), END), lambda r: [None]
    )
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway)
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert gateway.seconds < 0.4


# Guards against a new stream that is refused because a silent one, which may not move,
# has used up the limit of the only upstream left.
def test_a_stream_that_may_not_move_uses_no_upstream_limit(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=6.0)
    _, two = add_pair(
        gateway, begins_then(1.0, event(3), event(4), event(5), END), resumed
    )
    limit_to_one_request(gateway, "two")
    use_up_retries(gateway)
    silent = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway)
    gevent.sleep(0.4)
    response = gateway.call(REQUEST.replace(b"r1", b"r2"))
    assert silent.get(timeout=5.0).body == EVENTS
    assert (response.status, len(generation_requests(two))) == (200, 1)


# Guards against "not run" for a request that was sent to an upstream which has not
# refused it.
def test_a_request_that_is_refused_after_its_deadline_may_have_run(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=1.0)
    _, two = add_pair(
        gateway, with_reports(lambda r: [1.17, *not_executed(r)]), lambda r: [5.0]
    )
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway)
    response = caller.get(timeout=5.0)
    assert len(generation_requests(two)) == 1
    assert response.status in (502, 504)


# Guards against a late call that is ended shortly before its deadline, for an attempt
# that has no time left.
def test_a_late_call_is_not_sent_again_when_no_time_is_left(make_gateway):
    gateway = make_gateway(RequestKind.IDEMPOTENT)
    gateway.add_server("one", lambda r: [2.9, *complete_response(r)], slots=1000)
    gateway.add_server("two", lambda r: [1.0, *complete_response(r)], data_centre="b")
    gateway.budget._extra = 0
    caller = gevent.spawn(gateway.call)
    gevent.sleep(2.75)
    gateway.budget._extra = 100
    response = caller.get(timeout=5.0)
    assert (response.status, response.body) == (200, b"done")


# Guards against an answer that arrives while its request waits for a loan and is thrown
# away.
def test_an_answer_that_arrives_while_a_retry_is_settled_is_used(make_gateway):
    gateway = make_gateway(RequestKind.IDEMPOTENT)
    gateway.add_server("one", lambda r: [1.37, *complete_response(r)], slots=1000)
    two = gateway.add_server("two", complete_response, data_centre="b")
    gateway.budget._extra = 0
    gateway.budget.wait_for_loan = lambda *_: gevent.sleep(0.03) or True
    response = gateway.call()
    assert (response.status, response.body) == (200, b"done")
    assert two.requests == []


# Guards against a request that both engines have refused and that counts as run.
def test_a_refusal_during_a_move_is_no_attempt_that_may_have_run(make_gateway):
    gateway = make_gateway(RequestKind.STREAMING, timeout=3.0)
    add_pair(
        gateway,
        with_reports(lambda r: [0.4, *not_executed(r)]),
        with_reports(lambda r: [0.6, *not_executed(r)]),
    )
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway)
    response = caller.get(timeout=5.0)
    assert response.status == 503


# Guards against a stream that is given up after its path broke off, because a stream
# whose path is only suspected has taken the retry that is kept for lost paths.
def test_a_suspicion_leaves_the_last_retries_to_streams_that_lost_their_path(
    make_gateway,
):
    gateway = make_gateway(RequestKind.STREAMING, timeout=6.0)

    def respond(request):
        if request["headers"]["bulrushdrum-attempt-id"] == "lost":
            gaps = [step for n in range(1, 13) for step in (event(n), 0.05)]
            return [head(request), *gaps, RESET]
        return begins_then(PAUSE_SECONDS, *map(event, range(3, 21)), END)(request)

    add_pair(gateway, respond, lambda r: resumed(r, 20))
    while gateway.budget.try_spend("llm", routers=1, has_delivered=False):
        pass
    retries = gateway.budget._retries["llm"]
    gateway.budget._extra = (len(retries) + 1 - 0.4) / 0.6
    silent = gevent.spawn(gateway.call)
    lost = gevent.spawn(gateway.call, REQUEST.replace(b"r1", b"lost"))
    gevent.sleep(0.1)
    suspect(gateway)
    assert [c.get(timeout=8.0).is_complete for c in (silent, lost)] == [True, True]


class PausingEngines(RecordingEngines):
    """Engines of which `e2` does not answer the first report; records urgent orders."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.urgent_orders = []
        self._has_paused = False

    def order_layers(self, address, upstream_id, layers, expected_orders, urgent=False):
        if urgent:
            self.urgent_orders.append((upstream_id, layers))
        return super().order_layers(
            address, upstream_id, layers, expected_orders, urgent
        )

    def report(self, address):
        if address == "10.0.0.2:1" and not self._has_paused:
            self._has_paused = True
            return None
        return super().report(address)


# Guards against an order that ends the streams over an engine because another one, the
# only one with the other layers, did not answer one report and then goes on.
def test_one_report_that_is_missing_ends_no_streams():
    fleet = make_fleet()
    engines = PausingEngines(fleet)
    fleet.mark_unresponsive("e2")
    run_placement(fleet, engines)
    assert engines.urgent_orders == []
