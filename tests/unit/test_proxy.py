"""Tests that each fault of the proxy takes effect and ends when it is cleared."""

import struct
import time
from itertools import pairwise

import gevent
import pytest
from bench.proxy import Faults, Link, parse_faults
from gevent import socket
from gevent.server import StreamServer


@pytest.fixture
def received():
    return []


@pytest.fixture
def link(received):
    """A link to a server that echoes and records the bytes it receives."""

    def echo(sock, _address):
        try:
            while data := sock.recv(4096):
                received.append(data)
                sock.sendall(data)
        except OSError:
            pass  # some faults reset the connection

    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    yield Link("link", f"127.0.0.1:{server.server_port}")
    server.stop()


def connect(link):
    host, port = link.listen.split(":")
    sock = socket.create_connection((host, int(port)), timeout=2)
    return sock


def exchange(sock, data):
    sock.sendall(data)
    answer = b""
    while len(answer) < len(data):
        answer += sock.recv(4096) or pytest.fail("connection closed")
    return answer


def test_bytes_are_forwarded_unchanged(link):
    # Guards against a proxy that corrupts forwarded bytes.
    assert exchange(connect(link), b"x" * 300_000) == b"x" * 300_000


@pytest.mark.parametrize("direction", ["delay_up", "delay_down"])
def test_delay_is_applied_once(link, direction):
    # Guards against a delay that is not applied or is applied twice.
    link.set_faults(Faults(**{direction: 0.2}))
    start = time.monotonic()
    exchange(connect(link), b"a")
    assert 0.2 <= time.monotonic() - start < 0.39


def test_rate_limits_throughput(link):
    # Guards against a rate limit that does not apply to bursts.
    link.set_faults(Faults(rate=100_000))
    start = time.monotonic()
    exchange(connect(link), b"a" * 30_000)
    assert time.monotonic() - start > 0.3


def test_cut_resets_connections_until_cleared(link):
    # Guards against a cut that leaves open connections alone or never ends.
    sock = connect(link)
    exchange(sock, b"a")
    link.set_faults(Faults(cut=True))
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    with pytest.raises(ConnectionResetError):
        connect(link).recv(1)
    link.set_faults(Faults())
    assert exchange(connect(link), b"b") == b"b"


def test_drop_discards_bytes(link, received):
    # Guards against bytes that reach the target during a drop.
    link.set_faults(Faults(drop=True))
    sock = connect(link)
    sock.sendall(b"a")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(1)
    assert received == []


@pytest.mark.parametrize("direction", ["up", "down"])
def test_stall_holds_one_direction(link, received, direction):
    # Guards against a stall that affects both directions or loses bytes.
    sock = connect(link)
    exchange(sock, b"a")
    link.set_faults(Faults(stall=direction))
    gevent.sleep(0.05)
    sock.sendall(b"b")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(1)
    assert received == ([b"a"] if direction == "up" else [b"a", b"b"])
    link.set_faults(Faults())
    sock.settimeout(2)
    assert sock.recv(1) == b"b"


def test_lost_response_still_forwards_the_request(link, received):
    # Guards against a fault that loses the request instead of the response.
    link.set_faults(Faults(lose_answers="POST"))
    sock = connect(link)
    assert exchange(sock, b"GET /x HTTP/1.1") == b"GET /x HTTP/1.1"
    sock.sendall(b"POST /x HTTP/1.1")
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    assert received[-1] == b"POST /x HTTP/1.1"


def test_complete_frames_are_doubled_and_swapped(link, received):
    # Guards against split frames, and against faults that break the handshake.
    link.set_faults(Faults(double_frames=0.5, swap_frames=0.5, seed=3))
    sock = connect(link)
    sent = [bytes([number]) * (number + 1) for number in range(40)]
    for payload in sent:
        sock.sendall(struct.pack("!I", len(payload)) + payload)
    gevent.sleep(0.2)
    stream, seen = b"".join(received), []
    while stream:
        (size,) = struct.unpack_from("!I", stream)
        seen.append(stream[4 : 4 + size])
        stream = stream[4 + size :]
    assert set(seen) <= set(sent) and len(seen) > len(set(seen))
    assert seen[:2] == sent[:2]
    assert any(one[0] > two[0] for one, two in pairwise(seen))


@pytest.mark.parametrize(
    "raw", [{"delay": 1}, {"cut": 1}, {"rate": -1.0}, {"stall": "left"}]
)
def test_invalid_faults_are_rejected(raw):
    # Guards against a misspelt fault that is silently ignored.
    with pytest.raises(ValueError):
        parse_faults(raw)
