"""Streams that leave a silent path, over fake engines that keep their connections.

Load: an engine falls silent in the middle of many streams and closes nothing.
"""

import gevent
import pytest
from bench.standins.path_server import event, head, report, resumed, stream
from tests.unit.gateway_fakes import Gateway, make_route
from tests.unit.test_generations import EVENTS, add_pair, generation_requests

from bulrushdrum._internal.world.routes import RequestKind

# Later than any move: the route's stall check would find these.
SILENT_SECONDS = 4.0


@pytest.fixture
def gateway():
    route = make_route(RequestKind.STREAMING, goal=1.0, gap_goal=1.0, timeout=8.0)
    gateway = Gateway(route)
    for _ in range(10):
        gateway.mover.history.record_start("llm", 0.05)
        gateway.mover.history.record_longest_pause("llm", 0.05)
    yield gateway
    gateway.stop()


def falls_silent(request):
    return [head(request), event(1), event(2), SILENT_SECONDS]


def test_a_stream_over_a_silent_engine_goes_on_elsewhere(gateway):
    # Guards against streams that are all late because their engine fell silent.
    one, two = add_pair(gateway, falls_silent, resumed)
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert gateway.mover.moves == 1 and gateway.seconds < SILENT_SECONDS
    assert generation_requests(two)[0]["headers"]["last-event-id"] == "2"
    # The engine that was left stops working, as its connection is closed when the next
    # one is accepted.
    gevent.sleep(0.05)
    assert one.closed_early == 1


def test_a_move_that_the_limit_refuses_asks_again_when_a_loan_may_have_come(gateway):
    # Guards against late streams while other routers have retries left, and against
    # streams that wait for a loan instead of their events.
    add_pair(gateway, falls_silent, resumed)
    budget = gateway.budget
    while budget.try_spend("llm", routers=1):
        pass

    def borrow(service):
        number = budget.borrowed.request("r2", service, 1)
        gevent.spawn_later(0.01, budget.borrowed.receive, "r2", number, 1)

    budget.on_shortage = borrow
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert gateway.mover.moves == 1 and gateway.seconds < SILENT_SECONDS
    assert budget.borrowed.used == 1


def test_a_request_without_a_first_event_goes_on_elsewhere(gateway):
    _, two = add_pair(gateway, lambda r: [SILENT_SECONDS], resumed)
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert gateway.mover.moves == 1
    assert "last-event-id" not in generation_requests(two)[0]["headers"]


def test_events_that_arrive_after_the_move_are_not_forwarded(gateway):
    # Guards against events of the old run among those of the new one.
    def wakes(request):
        return [*falls_silent(request)[:-1], 0.6, event(3), event(4), 0.1]

    add_pair(gateway, wakes, lambda r: [head(r), 0.5, *resumed(r)[1:]])
    assert gateway.call().body == EVENTS


@pytest.mark.parametrize("reason", ["no other path", "no retry", "not resumable"])
def test_a_stream_that_cannot_move_waits_for_its_path(gateway, reason):
    # Guards against ending an attempt that nothing can follow.
    def pauses(request):
        return [*falls_silent(request)[:-1], 0.8, *stream(request, first=3)[1:]]

    one, two = add_pair(gateway, pauses, resumed)
    match reason:
        case "no other path":
            gateway.fleet.remove("two")
        case "no retry":
            gateway.budget._extra = 0
        case "not resumable":
            gateway.route = gateway.route._replace(resumable=False)
    response = gateway.call()
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert gateway.mover.moves == 0
    assert (len(generation_requests(one)), len(two.requests)) == (1, 0)


def test_a_move_counts_as_one_retry_and_one_attempt(gateway):
    # Guards against a limit on retries that moves exceed, or are charged for twice.
    one, two = add_pair(gateway, falls_silent, falls_silent)
    gateway.route = gateway.route._replace(timeout=3.0)
    assert not gateway.call().is_complete
    assert gateway.mover.moves == 1
    sent = len(generation_requests(one)) + len(generation_requests(two))
    assert sent == gateway.route.max_attempts
    assert gateway.budget.dump()["llm"]["repeats"] == 1


def test_all_streams_over_a_silent_engine_move(gateway):
    # Guards against moves that wait for reports of engines, one after another.
    reports = []

    def falls_silent_with_its_reports(request):
        if request["target"] == "/report":
            reports.append(request)
            return [SILENT_SECONDS]
        return falls_silent(request)

    one = gateway.add_server("one", falls_silent_with_its_reports, (0, 40))
    gateway.add_server("two", resumed, (0, 40), data_centre="b")
    calls = [gevent.spawn(gateway.call) for _ in range(8)]
    responses = [call.get(timeout=10.0) for call in calls]
    assert [response.body for response in responses] == [EVENTS] * 8
    assert gateway.mover.moves == 8 and one.closed_early >= 8


def test_the_silent_engine_is_looked_for_after_a_move(gateway):
    stalled = gateway.add_server("stalled", stream, (20, 40))

    def first(request):
        if request["target"] == "/report":
            return report([stalled.address])
        return falls_silent(request)

    gateway.add_server("first", first, (0, 20))
    gateway.add_server("two", resumed, (0, 40), data_centre="b")
    assert gateway.call().body == EVENTS
    gevent.sleep(0.2)
    assert gateway.fleet.is_unresponsive("stalled")
