"""Bounds on callers that send without end, slowly, or in very small parts."""

import json
import time
from contextlib import contextmanager
from types import SimpleNamespace

import bottle
import gevent
import pytest
from bench.processes import PortPool
from gevent import socket

from bulrushdrum._internal import entry_process
from bulrushdrum._internal.caller.errors import to_caller_error
from bulrushdrum._internal.caller.http import error_response, make_server
from bulrushdrum._internal.caller.receiving import (
    BodyBudget,
    CallerStream,
    ConnectionTable,
    RequestLimits,
    RequestRefused,
    read_body,
)

LIMITS = RequestLimits(header_bytes=2_000, body_bytes=200_000, read_seconds=1.0)


class Holder:
    is_shed = False

    def shed(self):
        self.is_shed = True


def test_the_largest_bodies_are_shed_first_and_of_these_the_oldest():
    # Guards against small requests that are refused because of a few large bodies.
    budget = BodyBudget(100)
    old, new, small = Holder(), Holder(), Holder()
    budget.add(old, 45)
    budget.add(new, 45)
    budget.add(small, 11)
    assert (old.is_shed, new.is_shed, small.is_shed) == (True, False, False)
    assert budget.total == 56
    budget.release(new)
    budget.release(small)
    assert budget.total == 0


def test_idle_connections_are_closed_before_those_that_send_and_none_that_runs():
    # Guards against a new caller that is kept out by connections that send nothing.
    table = ConnectionTable(3)
    table.set_receiving("slow")
    table.set_idle("idle")
    table.set_running("runs")
    assert table.excess() is None
    table.set_receiving("new")
    closed = []
    while (excess := table.excess()) is not None:
        closed.append(excess)
        table.remove(excess)
        table.set_receiving(f"new {len(closed)}")
        if len(closed) == 4:
            break
    assert closed == ["idle", "slow", "new", "new 1"]
    for name in ("new 2", "new 3", "new 4"):
        table.set_running(name)
    assert (len(table), table.excess()) == (4, None)


@contextmanager
def serving(handle=None, limits=LIMITS, budget=None, connections=10):
    app = bottle.Bottle()

    def echo():
        try:
            return str(len(read_body(bottle.request, limits.body_bytes)))
        except RequestRefused as refused:
            return error_response(to_caller_error(refused))

    app.route("/", "POST", handle or echo)
    ports = PortPool()
    server = make_server(app, ports.reserve(), connections, limits, budget)
    server.start()
    yield server
    server.stop(timeout=0)
    ports.close()


def exchange(server, data):
    """Return the status and the JSON body of the answer to `data`."""
    with socket.create_connection(server.address, timeout=5) as sock:
        try:
            sock.sendall(data)
        except OSError:
            pass  # refused meanwhile
        return receive(sock)


def receive(sock):
    answer = b""
    while part := sock.recv(65_536):
        answer += part
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"n: " + b"v" * 100_000,
        HEAD + b"a: b\r\n" * 10_000,
        HEAD + b"Content-Length: 10000000000\r\n\r\n" + b"x" * 500_000,
        CHUNKED + b"%x\r\n" % 500_000 + b"x" * 500_000 + b"\r\n0\r\n\r\n",
        CHUNKED + b"0\r\n" + b"t: v\r\n" * 400_000,
    ],
    ids=["line", "fields", "declared", "sent", "trailers"],
)
def test_a_caller_that_still_sends_sees_its_refusal(data):
    # Guards against a reset that destroys the response to a request over a limit.
    with serving() as server:
        status, body = exchange(server, data)
        assert (status, body["error"]["code"]) == (413, "request_too_large")
        assert body["error"]["ran"] == "no"
        assert sum(server.refusals.dump().values()) == 1


def test_the_largest_body_in_the_smallest_chunks_is_received():
    # Guards against bounds on chunk sizes that refuse a body within its limit.
    with serving() as server:
        body = b"1\r\nx\r\n" * LIMITS.body_bytes
        assert exchange(
            server,
            HEAD
            + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            + body
            + b"0\r\n\r\n",
        ) == (200, LIMITS.body_bytes)
        assert server.budget.total == 0


@pytest.mark.parametrize("head", [HEAD, CHUNKED + b"5\r\n"], ids=["head", "body"])
def test_a_request_that_arrives_byte_by_byte_ends_at_its_deadline(head):
    # Guards against callers that stay for ever because each read ends in time.
    with serving() as server:
        with socket.create_connection(server.address, timeout=5) as sock:
            sock.sendall(head)
            trickle = gevent.spawn(send_slowly, sock)
            status, body = receive(sock)
            trickle.kill()
    assert (status, body["error"]["code"]) == (408, "request_timeout")


def send_slowly(sock):
    for _ in range(100):
        try:
            sock.sendall(b"a")
        except OSError:
            return
        gevent.sleep(0.2)


class EndlessSocket:
    """A socket that always has bytes to read."""

    def gettimeout(self):
        return None

    def settimeout(self, seconds):
        pass

    def recv_into(self, buffer):
        return len(buffer)


def test_a_caller_that_always_sends_lets_other_tasks_run():
    # Guards against heartbeats that are late while one request is read.
    limits = RequestLimits(body_bytes=2**40)
    stream = CallerStream(EndlessSocket(), limits, on_begin=lambda: None)
    ticks = []

    def tick():
        while True:
            ticks.append(time.monotonic())
            gevent.sleep(0.001)

    ticker = gevent.spawn(tick)
    buffer, end = bytearray(8192), time.monotonic() + 0.3
    while time.monotonic() < end:
        stream.readinto(buffer)
    ticker.kill()
    assert len(ticks) >= 5


def test_bodies_over_the_budget_are_refused_and_small_ones_received():
    # Guards against memory in proportion to the connections that stop just short of
    # the end of their bodies.
    budget = BodyBudget(500_000)
    with serving(budget=budget) as server:
        unfinished = HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 199_999
        socks = [socket.create_connection(server.address, timeout=5) for _ in range(4)]
        for sock in socks:
            sock.sendall(unfinished)
        gevent.sleep(0.3)
        assert budget.total <= 500_000
        small = b"Connection: close\r\nContent-Length: 3\r\n\r\nabc"
        assert exchange(server, HEAD + small) == (200, 3)
        answers = [receive(sock) for sock in socks]
        assert {status for status, _ in answers} == {503, 408}
        assert all(body["error"]["ran"] == "no" for _, body in answers)
        for sock in socks:
            sock.close()


@pytest.mark.parametrize(
    ("descriptors", "allowed"),
    [(20_000, 2_000), (2_700, 2_000), (1_024, 324), (400, 100)],
)
def test_connections_leave_descriptors_for_the_store_and_peers(
    monkeypatch, descriptors, allowed
):
    # Guards against callers that keep an entry from the table and from its peers.
    settings = SimpleNamespace(max_connections=2_000, max_handshakes=200)
    limits = (descriptors, descriptors)
    monkeypatch.setattr(entry_process.resource, "getrlimit", lambda _: limits)
    assert entry_process.caller_connections(settings) == allowed
