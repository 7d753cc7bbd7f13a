"""Servers that answer with a status that HTTP does not have.

Guards against such bytes, or a part of them, that reach a caller as an answer, and
against requests that wait for an answer after them.
"""

import gevent
import pytest
from bench.standins.path_server import (
    complete_response,
    event,
    head,
    resumed,
    stream,
)
from gevent.server import StreamServer
from tests.unit.gateway_fakes import Gateway, make_route
from tests.unit.stage_fakes import make_settings
from tests.unit.test_generations import EVENTS, with_reports

from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.parsing import ResponseReader
from bulrushdrum._internal.operator.client import OperatorClient
from bulrushdrum._internal.operator.errors import CommandFailed
from bulrushdrum._internal.peering.request_messages import Call
from bulrushdrum._internal.platform.engine_calls import EngineCalls, OrderOutcome
from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.rows import RowStore
from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.errors import EngineLost
from bulrushdrum._internal.sidecar.service_client import ServiceClient
from bulrushdrum._internal.world.requests import Outcome
from bulrushdrum._internal.world.routes import RequestKind
from bulrushdrum._internal.world.upstreams import LayerRange

# An attempt that waits for an answer ends after 5.6 s (streams) or 13.5 s.
AT_ONCE_SECONDS = 5.0
NO_STATUSES = ["000", "001", "099", "101", "199", "600", "999"]
BODIES = {
    "length": [b"Content-Length: 5\r\n\r\nhello"],
    "chunked": [b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"],
    "to the end": [b"\r\nhello", None],
    "head alone": [b"\r\n", 20.0],
}
# 199 is an interim status; without framing, what follows it is no body.
CASES = [
    (status, framing)
    for status in NO_STATUSES
    for framing in BODIES
    if (status, framing) != ("199", "head alone")
]


def make_patient_route(kind, **changes):
    """Return a route on which an attempt that waits takes longer than at once."""
    return make_route(kind, goal=2.0, gap_goal=1.0, timeout=30.0, **changes)


def answer(request, status, framing):
    first_line = (
        f"HTTP/1.1 {status} X\r\n"
        f"Bulrushdrum-Attempt-Id: {request['headers']['bulrushdrum-attempt-id']}\r\n"
        "Bulrushdrum-Server-Stamp: stamp\r\n"
    )
    begin, *end = BODIES[framing]
    return [first_line.encode() + begin, *(end or complete_response(request))]


def respond(status, framing):
    return with_reports(lambda request: answer(request, status, framing))


@pytest.mark.parametrize("status, framing", CASES)
def test_a_call_is_sent_elsewhere(status, framing):
    gateway = Gateway(make_patient_route(RequestKind.IDEMPOTENT))
    try:
        gateway.add_server("one", respond(status, framing), slots=1000)
        gateway.add_server("two", complete_response, data_centre="b")
        response = gateway.call()
        assert (response.status, response.body) == (200, b"done")
        assert gateway.seconds < AT_ONCE_SECONDS
    finally:
        gateway.stop()


@pytest.mark.parametrize("status, framing", CASES)
def test_a_call_that_may_not_be_repeated_fails_at_once(status, framing):
    gateway = Gateway(make_patient_route(RequestKind.NON_IDEMPOTENT))
    try:
        one = gateway.add_server("one", respond(status, framing), slots=1000)
        two = gateway.add_server("two", complete_response, data_centre="b")
        response = gateway.call()
        assert (response.status, two.requests) == (502, [])
        assert gateway.seconds < AT_ONCE_SECONDS
        # The connection is not used again.
        gateway.call()
        assert len({request["connection"] for request in one.requests}) == 2
    finally:
        gateway.stop()


@pytest.mark.parametrize("begun", [False, True], ids=["begin", "resumption"])
@pytest.mark.parametrize("status, framing", CASES)
def test_a_stream_goes_on_elsewhere(status, framing, begun):
    gateway = Gateway(make_patient_route(RequestKind.STREAMING, max_attempts=3))
    cut = with_reports(lambda r: [head(r), event(1), event(2), None])
    try:
        if begun:
            gateway.add_server("cut", cut, (0, 40))
        gateway.add_server("one", respond(status, framing), (0, 40), data_centre="b")
        gateway.add_server("two", with_reports(resumed), (0, 40), data_centre="c")
        response = gateway.call()
        assert (response.status, response.is_complete) == (200, True)
        assert response.body == EVENTS
        assert gateway.seconds < AT_ONCE_SECONDS
    finally:
        gateway.stop()


def test_an_interim_response_is_skipped():
    gateway = Gateway(make_route(RequestKind.STREAMING))
    try:
        interim = [b"HTTP/1.1 103 X\r\nA: b\r\n\r\n", b"HTTP/1.1 199 X\r\n\r\n"]
        gateway.add_server("one", with_reports(lambda r: interim + stream(r)), (0, 40))
        response = gateway.call()
        assert (response.status, response.body) == (200, EVENTS)
    finally:
        gateway.stop()


@pytest.mark.parametrize("version", ["0.9", "2.0", "3.1"])
def test_a_response_in_another_version_is_none(version):
    head_line = f"HTTP/{version} 200 OK\r\nContent-Length: 0\r\n\r\n".encode()
    with pytest.raises(UpstreamFailed):
        ResponseReader().feed(head_line)


def test_what_follows_a_complete_response_does_not_spoil_it():
    reader = ResponseReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    reader.feed(b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n")
    assert (reader.status, reader.is_complete, reader.has_excess_data) == (
        200,
        True,
        True,
    )


@pytest.fixture(params=CASES, ids="-".join)
def address(request):
    """Serve one answer with a status that is none, and then one with 200."""
    status, framing = request.param

    def serve(sock, _address):
        sock.recv(65_536)
        begin, *end = BODIES[framing]
        try:
            sock.sendall(f"HTTP/1.1 {status} X\r\n".encode() + begin)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            if end != [None]:
                gevent.sleep(1.0)
        except OSError:
            pass
        sock.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop(timeout=0.1)


def test_the_store_has_not_answered(address):
    store = RowStore(address, 0.4)
    with pytest.raises(StoreUnavailable):
        store.read_table("op")
    with pytest.raises(WriteOutcomeUnknown):
        store.write("routers", "r", b"x")


def test_an_engine_has_not_reported(address):
    calls = EngineCalls(0.4)
    assert calls.report(address) is None
    outcome = calls.order_layers(address, "e1", LayerRange(0, 4), 0)
    assert outcome is OrderOutcome.UNKNOWN


def test_a_service_beside_a_sidecar_has_not_answered(address):
    client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
    result = client.run(Call(method="POST", path="/pay", body=b"7"), 0.5)
    assert result.outcome == Outcome.UNKNOWN.value


def test_an_engine_beside_a_sidecar_is_lost(address):
    client = EngineClient(make_settings(upstream_url=f"http://{address}"))
    with pytest.raises(EngineLost):
        client.run_steps([])


def test_an_entry_has_not_answered_its_operator(address):
    client = OperatorClient(address, "key")
    with pytest.raises(CommandFailed) as caught:
        client.get("entries")
    assert caught.value.body["code"] == "unreachable"
    assert "did not answer" in str(caught.value)
