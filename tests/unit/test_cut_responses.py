"""Responses to the clients of the sidecar and the platform, cut after each byte."""

import json

import pytest
from bench.standins.path_server import RESET, PathServer
from tests.unit.stage_fakes import make_settings

from bulrushdrum._internal.peering.request_messages import Call
from bulrushdrum._internal.platform.engine_calls import EngineCalls, OrderOutcome
from bulrushdrum._internal.platform.errors import StoreUnavailable, WriteOutcomeUnknown
from bulrushdrum._internal.platform.service import PlatformService
from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.errors import EngineLost
from bulrushdrum._internal.sidecar.service_client import ServiceClient
from bulrushdrum._internal.world.upstreams import LayerRange

CLOSE = None
ENDS = pytest.mark.parametrize("end", [CLOSE, RESET], ids=["closed", "reset"])
START = b"HTTP/1.1 200 OK\r\nX-Trace: 17\r\nContent-Type: text/plain\r\n"
HEADS = {
    "unframed": START + b"\r\n",
    "http10": START.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n",
    "length": START + b"Content-Length: %d\r\n\r\n",
    "chunked": START + b"Transfer-Encoding: chunked\r\n\r\n",
}
FRAMINGS = pytest.mark.parametrize("framing", HEADS)


def encode(framing, body):
    """Return the head and the framed body of a response."""
    if framing == "length":
        return HEADS[framing] % len(body), body
    if framing == "chunked":
        # A size may have leading zeros.
        return HEADS[framing], b"%04x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return HEADS[framing], body


class CutServer:
    """Answers each request with `data` and then ends the connection with `end`."""

    def __init__(self):
        self.data, self.end = b"", CLOSE
        self.server = PathServer("cut", lambda request: [self.data, self.end])

    def cuts(self, head, body, end):
        """Cut the response after each byte; yield the offset and whether it ended."""
        self.end = end
        is_unframed = b"ength" not in head and b"chunked" not in head
        for cut in range(len(head + body) + 1):
            self.data = (head + body)[:cut]
            if is_unframed:
                yield cut, end is CLOSE and cut >= len(head)
            else:
                yield cut, cut == len(head + body)


@pytest.fixture
def cut_server():
    server = CutServer()
    yield server
    server.server.stop()


@ENDS
@FRAMINGS
def test_a_cut_response_of_a_plain_service_is_not_forwarded(cut_server, framing, end):
    # Guards against the success of a call whose response ended inside its head.
    address = cut_server.server.address
    client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
    head, body = encode(framing, b"0\r\n\r\nok")
    for cut, is_whole in cut_server.cuts(head, body, end):
        result = client.run(Call(method="POST", path="/pay", body=b"7"), 1.0)
        assert (result.outcome == "answered") == is_whole, (cut, result)


@ENDS
def test_a_plain_response_that_ends_inside_an_event_is_not_forwarded(cut_server, end):
    # Guards against the success of a call with a stream that was broken off.
    address = cut_server.server.address
    client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
    head = HEADS["unframed"].replace(b"text/plain", b"text/event-stream; a=b")
    body = b"id: 1\ndata: a\n\n: b\r\n\r\ndata: c\n"
    whole = (0, body.index(b": b"), body.index(b"data: c"))
    for cut, is_whole in cut_server.cuts(head, body, end):
        result = client.run(Call(method="GET", path="/events"), 1.0)
        is_whole &= cut - len(head) in whole
        assert (result.outcome == "answered") == is_whole, (cut, result)


def step_response():
    result = {"request": "r", "attempt": 1, "position": 7, "token": "t"}
    body = {"model": "m", "model_version": "1", "role": "", "adapters": []}
    return json.dumps({**body, "results": [result]}).encode()


@ENDS
@FRAMINGS
def test_steps_of_a_cut_response_are_lost(cut_server, framing, end):
    # Guards against an engine's crash that counts as a refusal: it would not count
    # against the request that caused it.
    address = cut_server.server.address
    client = EngineClient(make_settings(upstream_url=f"http://{address}"))
    steps = [{"request": "r", "attempt": 1, "position": 7, "count": 1}]
    head, body = encode(framing, step_response())
    for cut, _ in cut_server.cuts(head, body, end):
        is_last = cut == len(head + body)
        try:
            client.run_steps(steps)
        except EngineLost as error:
            assert error.crashed, cut
            assert not is_last or end is RESET, cut
        else:
            assert is_last, cut


@ENDS
@FRAMINGS
def test_a_state_of_a_cut_response_is_lost(cut_server, framing, end):
    # Guards against a description of the engine that was cut off.
    address = cut_server.server.address
    client = EngineClient(make_settings(upstream_url=f"http://{address}"))
    state = {
        "model": "m",
        "model_version": "1",
        "first_layer": 0,
        "end_layer": 4,
        "model_layers": 4,
    }
    head, body = encode(framing, json.dumps(state).encode())
    for cut, _ in cut_server.cuts(head, body, end):
        is_last = cut == len(head + body)
        try:
            assert client.read_state().end_layer == 4
        except EngineLost:
            assert not is_last or end is RESET, cut
        else:
            assert is_last, cut


@ENDS
@FRAMINGS
def test_the_outcome_of_an_order_with_a_cut_response_is_unknown(
    cut_server, framing, end
):
    # Guards against an order that counts as refused or held after half a response.
    calls = EngineCalls(1.0)
    head, body = encode(framing, b"{}")
    for cut, is_whole in cut_server.cuts(head, body, end):
        outcome = calls.order_layers(
            cut_server.server.address, "e1", LayerRange(0, 4), 3
        )
        assert (outcome is OrderOutcome.ALREADY_HELD) == is_whole, cut


@ENDS
@FRAMINGS
def test_a_cut_response_of_the_store_is_not_used(cut_server, framing, end):
    # Guards against a write that counts as done, and against a read that lacks rows.
    service = PlatformService("store", cut_server.server.address, 1.0)
    head, body = encode(framing, b"rows")
    for cut, is_whole in cut_server.cuts(head, body, end):
        try:
            response = service.read("/rows", (200,))
        except StoreUnavailable:
            assert not is_whole, cut
        else:
            assert is_whole, (cut, response)
        try:
            service.write("POST", "/rows-tx", b"{}", (200,))
        except WriteOutcomeUnknown:
            assert not is_whole, cut
        else:
            assert is_whole, cut
