"""Calls to engines and to the platform's store whose responses have no end.

Guards against memory that grows with what a peer sends, and against calls that take
longer than their time because bytes keep arriving.
"""

import itertools
import time

import gevent
import pytest
from gevent.server import StreamServer
from tests.unit.stage_fakes import make_settings

from bulrushdrum._internal.operator.router_role import run_router_role
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
from bulrushdrum._internal.world.upstreams import LayerRange

TIMEOUT_SECONDS = 0.4
# Scheduling of the test process, not a property of the clients.
MARGIN_SECONDS = 0.4
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FILLER = b"ffff\r\n" + b" " * 65_535 + b"\r\n"
RESPONSES = {
    "body": (CHUNKED, FILLER, 0.0),
    "long body": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        FILLER,
        0.0,
    ),
    "body until close": (b"HTTP/1.1 200 OK\r\n\r\n", FILLER, 0.0),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 5000, 0.0),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, 0.0),
    "trickling body": (CHUNKED, b"1\r\n \r\n", 0.02),
    "trickling head": (b"HTTP/1.1 200 OK\r\nX-A: ", b"x", 0.02),
}


@pytest.fixture(params=RESPONSES)
def endless(request):
    """Serve one endless response on each connection; `sent` counts its bytes."""
    prefix, part, gap = RESPONSES[request.param]

    class Endless:
        sent = 0

        def serve(self, sock, _address):
            try:
                sock.recv(65_536)
                for data in itertools.chain([prefix], itertools.repeat(part)):
                    sock.sendall(data)
                    self.sent += len(data)
                    gevent.sleep(gap)
            except OSError:
                pass

    endless = Endless()
    server = StreamServer(("127.0.0.1", 0), endless.serve)
    server.start()
    endless.address = f"127.0.0.1:{server.server_port}"
    yield endless
    server.stop(timeout=0.1)


def timed(call):
    started_at = time.monotonic()
    try:
        return call()
    finally:
        assert time.monotonic() - started_at < TIMEOUT_SECONDS + MARGIN_SECONDS


def test_a_report_ends_in_time(endless):
    calls = EngineCalls(TIMEOUT_SECONDS)
    assert timed(lambda: calls.report(endless.address)) is None
    assert endless.sent < 8 * 1024 * 1024


def test_the_outcome_of_an_order_is_unknown(endless):
    calls = EngineCalls(TIMEOUT_SECONDS)
    outcome = timed(
        lambda: calls.order_layers(endless.address, "e", LayerRange(0, 4), 0)
    )
    assert outcome is OrderOutcome.UNKNOWN
    assert endless.sent < 8 * 1024 * 1024


def test_the_store_counts_as_unavailable(endless):
    store = RowStore(endless.address, TIMEOUT_SECONDS)
    with pytest.raises(StoreUnavailable):
        timed(lambda: store.read_table("servers"))
    with pytest.raises(WriteOutcomeUnknown):
        timed(lambda: store.write("routers", "r", b"x"))
    assert endless.sent < 2 * 64 * 1024 * 1024


def test_steps_of_a_sidecar_are_lost_in_time(endless):
    client = EngineClient(
        make_settings(
            upstream_url=f"http://{endless.address}",
            engine_timeout=TIMEOUT_SECONDS,
            max_engine_answer_bytes=65_536,
        )
    )
    with pytest.raises(EngineLost):
        timed(lambda: client.run_steps([]))
    assert endless.sent < 8 * 1024 * 1024


def test_orders_of_a_sidecar_are_lost_in_time(endless):
    client = EngineClient(
        make_settings(
            upstream_url=f"http://{endless.address}",
            order_timeout=TIMEOUT_SECONDS,
            max_engine_answer_bytes=65_536,
        )
    )
    started_at = time.monotonic()
    with pytest.raises(EngineLost):
        client.send_order(1, {})
    # The time to connect comes on top.
    assert time.monotonic() - started_at < TIMEOUT_SECONDS + 1.0 + MARGIN_SECONDS
    assert endless.sent < 8 * 1024 * 1024


def test_a_plain_call_of_a_sidecar_has_an_unknown_outcome(endless):
    settings = make_settings(
        upstream_url=f"http://{endless.address}", max_answer_bytes=65_536
    )
    call = Call(method="POST", path="/pay", body=b"7")
    result = timed(lambda: ServiceClient(settings).run(call, TIMEOUT_SECONDS))
    assert result.outcome == Outcome.UNKNOWN.value
    assert endless.sent < 8 * 1024 * 1024


@pytest.mark.parametrize("option", ["--max-head-bytes", "--max-event-bytes"])
def test_a_limit_that_no_response_fits_is_an_error(option, capsys):
    assert run_router_role([option, "10"]) == 2
    assert f"{option} is 10, but must be at least 1024 bytes" in capsys.readouterr().err
