"""What upstreams say of themselves in responses, and what routers do about it."""

import time

import gevent
import pytest
from bench.standins.path_server import complete_response, event, head, resumed, stream
from tests.unit.gateway_fakes import Gateway, make_route
from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.platform.headers import parse_statements
from bulrushdrum._internal.world.routes import RequestKind
from bulrushdrum._internal.world.statements import RequestLimit


def with_header(steps, header):
    """Return the steps of a response with one more header."""
    end = steps[0].index(b"\r\n") + 2
    return [steps[0][:end] + header + b"\r\n" + steps[0][end:], *steps[1:]]


@pytest.fixture
def calls():
    gateway = Gateway(make_route(RequestKind.NON_IDEMPOTENT))
    yield gateway
    gateway.stop()


@pytest.fixture
def streams():
    gateway = Gateway(make_route(RequestKind.STREAMING))
    yield gateway
    gateway.stop()


def leaving(script):
    return lambda request: with_header(script(request), b"Server-Leaving: 1")


def not_run(request):
    extra = ["Bulrushdrum-Not-Executed: 1", "Server-Leaving: 1"]
    return [head(request, 503, *extra, signed=False, length=0)]


def asks_for_pause(seconds, requests=1):
    """Return a script that refuses the first requests and asks for a pause."""
    refused = []

    def script(request):
        if len(refused) >= requests:
            return stream(request) if request["target"] == "/a/x" else []
        refused.append(request)
        extra = ["Bulrushdrum-Not-Executed: 1", f"Retry-After: {seconds}"]
        return [head(request, 503, *extra, signed=False, length=0)]

    return script


@pytest.mark.parametrize("script", [leaving(complete_response), not_run])
def test_a_server_that_says_it_leaves_gets_no_more_calls(calls, script):
    # Guards against requests to a server that leaves before its registration says so.
    one = calls.add_server("one", script, slots=1000)
    calls.add_server("two", complete_response, data_centre="b")
    for _ in range(6):
        assert calls.call().status == 200
    assert len(one.requests) == 1


def test_an_engine_that_says_it_leaves_gets_no_more_streams(streams):
    one = streams.add_server("one", leaving(stream), layers=(0, 40))
    two = streams.add_server("two", stream, layers=(0, 40), data_centre="b")
    for _ in range(6):
        assert streams.call().status == 200
    assert len(one.requests) <= 1
    assert len(two.requests) >= 5


def test_a_stream_is_not_resumed_at_a_server_that_says_it_leaves(streams):
    # Guards against using a leaving server because it failed the request only once.
    def break_off(request):
        first = head(request, 200, "Content-Type: text/event-stream")
        steps = with_header([first + event(1), None], b"Server-Leaving: 1")
        return steps

    one = streams.add_server("one", break_off, layers=(0, 40))
    two = streams.add_server("two", resumed, layers=(0, 40), data_centre="b")
    assert streams.call().is_complete
    assert streams.call().is_complete
    assert len(one.requests) <= 1
    assert two.requests


def test_nothing_is_sent_to_the_only_server_if_it_leaves(calls):
    # Guards against a last resort that ignores the leaving.
    one = calls.add_server("one", leaving(complete_response))
    assert calls.call().status == 200
    assert calls.call().status == 503
    assert len(one.requests) == 1


def test_a_late_copy_of_another_answer_does_not_make_a_server_leave(calls):
    # Guards against statements of responses that belong to no request.
    def foreign(request):
        request = {"headers": {"bulrushdrum-attempt-id": "other"}}
        return leaving(complete_response)(request)

    calls.add_server("one", foreign)
    calls.call()
    assert calls.fleet.leaving() == {}


def test_leaving_ends_with_the_incarnation():
    fleet = Fleet()
    fleet.put(make_engine("x"))
    fleet.mark_leaving("x", 1)
    fleet.put(make_engine("x", layers=(0, 4), heartbeats=2))
    assert fleet.available("llm") == []
    fleet.mark_leaving("x", 0)
    fleet.put(make_engine("x", born=2))
    assert [upstream.id for upstream in fleet.available("llm")] == ["x"]


def test_a_server_that_asks_for_a_pause_gets_no_calls_meanwhile(calls):
    # Guards against requests that come back sooner than their server wants them.
    one = calls.add_server("one", asks_for_pause(1.0), slots=1000)
    calls.add_server("two", complete_response, data_centre="b")
    ends_at = time.monotonic() + 0.9
    while time.monotonic() < ends_at:
        assert calls.call().status == 200
    assert len(one.requests) == 1


def test_a_pause_is_kept_if_no_other_server_is_left(calls):
    # Guards against a last resort that ignores the pause, and against callers that come
    # back before its end.
    one = calls.add_server("one", asks_for_pause(1.5))
    for _ in range(5):
        response = calls.call()
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 1.0
    assert len(one.requests) == 1


def test_an_engine_is_used_again_after_its_pause(streams):
    # Guards against a pause that ends with a success elsewhere, or never.
    one = streams.add_server("one", asks_for_pause(0.8), layers=(0, 40))
    streams.add_server("two", stream, layers=(0, 40), data_centre="b")
    ends_at = time.monotonic() + 0.7
    while time.monotonic() < ends_at:
        assert streams.call().status == 200
        # The success of a request that was sent earlier.
        streams.fleet.record_success("one")
    assert len(one.requests) == 1
    gevent.sleep(0.4)
    assert streams.call().status == 200
    assert len(one.requests) == 2


@pytest.mark.parametrize(
    ("status", "value", "pause"),
    [
        (503, b"2", 2.0),
        (503, b"0.5", 0.5),
        (503, b"1.3333333333333333", 4 / 3),
        (503, b".25", 0.25),
        (503, b"2.", 2.0),
        (503, b".", None),
        (503, b"-1", None),
        (503, b"nan", None),
        (503, b"1e9", None),
        (503, b"Fri, 31 Dec 1999 23:59:59 GMT", None),
        (429, b"2", None),
        (200, b"2", None),
    ],
)
def test_a_pause_is_read_from_refusals_only(status, value, pause):
    # Guards against a pause that was meant for callers, or is no number of seconds.
    statements = parse_statements(status, [(b"retry-after", value)])
    assert statements.pause_seconds == pause


def test_a_pause_lasts_as_long_as_it_was_named():
    # Guards against requests to an upstream that wants none for longer than a minute.
    now = [100.0]
    fleet = Fleet(clock=lambda: now[0])
    fleet.put(make_engine("x"))
    fleet.pause("x", 1, 900.0)
    now[0] += 899.9
    assert fleet.available("llm") == []
    now[0] += 0.2
    assert len(fleet.available("llm")) == 1
    fleet.pause("x", 1, 999_999_999.0)
    now[0] += 86_400.0
    assert fleet.available("llm") == []
    fleet.put(make_engine("x", born=2))
    assert len(fleet.available("llm")) == 1


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        (b"3.3333333333333335", 10 / 3),
        (b"0.10000000000000000555", 0.1),
        (b"12", 12.0),
        (b" 2.5 ", 2.5),
        (b".5", 0.5),
    ],
)
def test_a_limit_is_read_whatever_the_number_of_its_decimals(text, limit):
    # Guards against an upstream whose limit is ignored, because it was written as a
    # number of double precision.
    statements = parse_statements(200, [(b"server-limit", text)])
    assert statements.limit == RequestLimit(limit)
