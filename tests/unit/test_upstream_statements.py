"""What upstreams say of themselves in responses, and what routers do about it."""

import pytest
from bench.standins.path_server import complete_response, event, head, resumed, stream
from tests.unit.gateway_fakes import Gateway, make_route
from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.world.routes import RequestKind


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
