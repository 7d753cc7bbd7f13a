"""Streams that pause over an engine that is only suspected to have failed.

Engines pause all their streams now and then, and go on. A router must not end such a
stream unless another attempt of it is certain to be allowed and to have a path.
"""

import gevent
import pytest
from bench.standins.path_server import event, head, not_executed, resumed, stream
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route
from tests.unit.test_generations import (
    EVENTS,
    add_pair,
    generation_requests,
    with_reports,
)

from bulrushdrum._internal.conditions.claims import Claim, Matter
from bulrushdrum._internal.world.routes import RequestKind

# Longer than the pause after which the path is checked, and shorter than the one after
# which the router takes a stream for stalled, or its caller leaves.
PAUSE_SECONDS = 0.7
# Longer than the time after which the router takes a stream for stalled.
LONG_PAUSE_SECONDS = 1.7
# Too few to add a retry to the limit, which is a fifth of the requests.
CALLERS = 4
SUSPICIONS = ["a refusal", "a claim", "no report", "a long pause"]


@pytest.fixture
def gateway():
    gateway = Gateway(make_route(RequestKind.STREAMING, timeout=6.0))
    yield gateway
    gateway.stop()


def pauses(seconds, answers_reports=True):
    """Return a script whose streams pause after two events, and then go on."""

    def respond(request):
        if "last-event-id" in request["headers"]:
            return resumed(request)
        begin = head(request, 200, "Content-Type: text/event-stream")
        return [begin, event(1), event(2), seconds, *stream(request, 3)[1:]]

    def respond_without_reports(request):
        return [5.0] if request["target"] == "/report" else respond(request)

    return with_reports(respond) if answers_reports else respond_without_reports


def suspect(gateway, suspicion):
    """Let the router suspect the engine `one`, over which a stream pauses."""
    one = gateway.fleet.get("one")
    match suspicion:
        case "a refusal":
            gateway.conditions.report_refusal(one)
        case "a claim":
            now = gateway.fleet.claims._clock()
            gateway.fleet.claims.receive(
                Claim("one", one.born, Matter.UNRESPONSIVE, "r2", now, now + 2.0, 1)
            )


def add_paused_engine(gateway, suspicion):
    script = pauses(
        LONG_PAUSE_SECONDS if suspicion == "a long pause" else PAUSE_SECONDS,
        answers_reports=suspicion != "no report",
    )
    one = gateway.add_server("one", script, (0, 40))
    two = gateway.add_server("two", with_reports(resumed), (0, 40), data_centre="b")
    return one, two


def use_up_retries(gateway):
    while gateway.budget.try_spend("llm", routers=1):
        pass


# Guards against streams that a router gives up although their engine goes on, because
# it suspects the engine and the limit on retries is used up.
@pytest.mark.parametrize("suspicion", SUSPICIONS)
def test_a_suspicion_gives_up_no_stream_when_the_retries_are_used_up(
    gateway, suspicion
):
    one, two = add_paused_engine(gateway, suspicion)
    use_up_retries(gateway)
    callers = [gevent.spawn(gateway.call) for _ in range(CALLERS)]
    gevent.sleep(0.1)
    suspect(gateway, suspicion)
    responses = [caller.get(timeout=8.0) for caller in callers]
    assert [(r.body, r.is_complete) for r in responses] == [(EVENTS, True)] * CALLERS
    assert one.closed_early == 0 or suspicion == "no report"
    assert generation_requests(two) == []


# Guards against streams that are ended on a suspicion and then find no path.
@pytest.mark.parametrize("suspicion", ["a refusal", "a claim", "no report"])
def test_a_suspicion_gives_up_no_stream_without_another_path(gateway, suspicion):
    one, _ = add_paused_engine(gateway, suspicion)
    gateway.fleet.remove("two")
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway, suspicion)
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert len([r for r in one.requests if r["target"] == "/a/x"]) == 1


# Guards against streams that are ended for a restart of an engine further along their
# path and may not be sent again; the first engine may still have events of them.
@pytest.mark.parametrize("reason", ["no retry", "one attempt", "not resumable"])
def test_a_restart_in_the_registrations_gives_up_no_stream(gateway, reason):
    gateway.add_server("one", pauses(PAUSE_SECONDS), (0, 20))
    gateway.add_server("later", with_reports(stream), (20, 40))
    gateway.add_server("two", with_reports(resumed), (0, 40), data_centre="b")
    match reason:
        case "no retry":
            use_up_retries(gateway)
        case "one attempt":
            gateway.route = gateway.route._replace(max_attempts=1)
        case "not resumable":
            gateway.route = gateway.route._replace(resumable=False)
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    gateway.fleet.put(gateway.fleet.get("later")._replace(born=2))
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)


# Guards against an older registration, read after a newer one, that ends the streams
# of an engine which has not restarted.
def test_an_earlier_start_in_the_registrations_is_no_restart(gateway):
    one = gateway.add_server("one", pauses(PAUSE_SECONDS), (0, 40), born=5)
    two = gateway.add_server("two", with_reports(resumed), (0, 40), data_centre="b")
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    gateway.fleet.put(gateway.fleet.get("one")._replace(born=4))
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert (len(generation_requests(one)), len(generation_requests(two))) == (1, 0)


# Guards against a stream that is moved on a suspicion, refused by its next path, and
# given up although the engine that it left goes on.
def test_a_stream_whose_next_path_refuses_it_keeps_the_one_that_it_has(gateway):
    add_pair(gateway, pauses(PAUSE_SECONDS), not_executed)
    while gateway.budget.try_spend("llm", routers=1, has_delivered=False):
        pass
    retries = gateway.budget._retries["llm"]
    gateway.budget._extra = (len(retries) + 1) / 0.6
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway, "a refusal")
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)


def begin_move(gateway, first, second):
    """Begin a stream at `first` that moves to `second`; return servers and caller."""
    one, two = add_pair(gateway, first, second)
    caller = gevent.spawn(gateway.call)
    gevent.sleep(0.1)
    suspect(gateway, "a refusal")
    return one, two, caller


# Guards against an engine that goes on in vain, because the stream waits for its next
# path, and against events that come twice or are missing then.
def test_an_event_of_the_path_in_use_ends_a_move(gateway):
    one, two, caller = begin_move(gateway, pauses(PAUSE_SECONDS), lambda r: [3.0])
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert (len(generation_requests(one)), len(generation_requests(two))) == (1, 1)
    assert gateway.seconds < PAUSE_SECONDS + 0.5
    gevent.sleep(0.05)
    assert two.closed_early == 1
    assert gateway.reservations.own_usage() == {}


# Guards against a stream that goes on over a path that has broken off during a move.
@pytest.mark.parametrize("end", [[None], [b"14\r\nid: 3\ndata", None]])
def test_a_path_that_breaks_off_during_a_move_is_left(gateway, end):
    def breaks_off(request):
        return [head(request), event(1), event(2), PAUSE_SECONDS, *end]

    one, two, caller = begin_move(gateway, breaks_off, lambda r: [1.0, *resumed(r)])
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert (len(generation_requests(one)), len(generation_requests(two))) == (1, 1)
    assert gateway.reservations.own_usage() == {}


# Guards against a next path that answers with an error and ends the stream.
@pytest.mark.parametrize("fault", ["closes", "fails", "answers another stream"])
def test_a_next_path_that_fails_ends_no_stream(gateway, fault):
    def respond(request):
        match fault:
            case "closes":
                return [None]
            case "fails":
                return [head(request, 500, length=0)]
            case _:
                return [head(request, 200, "Content-Type: text/html", length=2) + b"ok"]

    one, _, caller = begin_move(gateway, pauses(PAUSE_SECONDS), respond)
    response = caller.get(timeout=8.0)
    assert (response.body, response.is_complete) == (EVENTS, True)
    assert len(generation_requests(one)) == 1
    assert gateway.reservations.own_usage() == {}


# Guards against engines that work on for a caller that left during a move.
def test_a_caller_that_leaves_during_a_move_closes_both_attempts(gateway):
    one, two = add_pair(gateway, lambda r: [head(r), event(1), 5.0], lambda r: [5.0])
    with gateway.connect() as sock:
        sock.sendall(REQUEST)
        gevent.sleep(0.1)
        suspect(gateway, "a refusal")
        gevent.sleep(0.6)
        assert len(generation_requests(two)) == 1
    gevent.sleep(0.2)
    assert (one.closed_early, two.closed_early) == (1, 1)
    assert gateway.reservations.own_usage() == {}
