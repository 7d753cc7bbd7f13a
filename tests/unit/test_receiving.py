"""Bounds on callers that send without end, slowly, or in very small parts."""

import json
import time
from contextlib import contextmanager

import bottle
import gevent
import pytest
from bench.processes import PortPool
from gevent import socket

from bulrushdrum._internal.caller.http import make_server
from bulrushdrum._internal.caller.receiving import (
    CallerStream,
    RequestLimits,
)

LIMITS = RequestLimits(header_bytes=2_000, body_bytes=200_000, read_seconds=1.0)


@contextmanager
def serving(limits=LIMITS, connections=10):
    app = bottle.Bottle()

    app.route("/", "POST", lambda: "ok")
    ports = PortPool()
    server = make_server(app, ports.reserve(), connections, limits)
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


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"n: " + b"v" * 100_000,
        HEAD + b"a: b\r\n" * 10_000,
    ],
    ids=["line", "fields"],
)
def test_a_caller_that_still_sends_sees_its_refusal(data):
    # Guards against a reset that destroys the response to a request over a limit.
    with serving() as server:
        status, body = exchange(server, data)
        assert (status, body["error"]["code"]) == (413, "request_too_large")
        assert body["error"]["ran"] == "no"
        assert sum(server.refusals.dump().values()) == 1


@pytest.mark.parametrize("head", [HEAD], ids=["head"])
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
    stream = CallerStream(EndlessSocket(), limits)
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
