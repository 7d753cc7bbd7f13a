"""Each fault of the proxy does what its name says and ends when it is cleared."""

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
    """A link to a server that echoes and remembers what it received."""

    def echo(sock, _address):
        try:
            while data := sock.recv(4096):
                received.append(data)
                sock.sendall(data)
        except OSError:
            pass  # a reset is one of the faults

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
        answer += sock.recv(4096) or pytest.fail("connection ended")
    return answer


def test_bytes_pass_unchanged(link):
    # Guards against a proxy that damages what it forwards.
    assert exchange(connect(link), b"x" * 300_000) == b"x" * 300_000


@pytest.mark.parametrize("direction", ["delay_up", "delay_down"])
def test_delay(link, direction):
    # Guards against a delay that is not applied or is applied twice.
    link.set_faults(Faults(**{direction: 0.2}))
    start = time.monotonic()
    exchange(connect(link), b"a")
    assert 0.2 <= time.monotonic() - start < 0.39


def test_rate(link):
    # Guards against a rate limit that lets whole bursts pass.
    link.set_faults(Faults(rate=100_000))
    start = time.monotonic()
    exchange(connect(link), b"a" * 30_000)
    assert time.monotonic() - start > 0.3


def test_cut_resets_and_refuses_until_it_ends(link):
    # Guards against an open connection that survives a cut.
    sock = connect(link)
    exchange(sock, b"a")
    link.set_faults(Faults(cut=True))
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    with pytest.raises(ConnectionResetError):
        connect(link).recv(1)
    link.set_faults(Faults())
    assert exchange(connect(link), b"b") == b"b"


def test_drop_swallows(link, received):
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
    # Guards against a one-way cut that stops both directions, or that loses bytes.
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


def test_lost_answer_leaves_the_request_through(link, received):
    # Guards against a lost answer that in truth lost the request.
    link.set_faults(Faults(lose_answers="POST"))
    sock = connect(link)
    assert exchange(sock, b"GET /x HTTP/1.1") == b"GET /x HTTP/1.1"
    sock.sendall(b"POST /x HTTP/1.1")
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    assert received[-1] == b"POST /x HTTP/1.1"


def test_frames_are_doubled_and_swapped_whole(link, received):
    # Guards against frames cut apart, and against a handshake that cannot succeed.
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
def test_bad_faults_are_refused(raw):
    # Guards against a misspelt fault that silently tests nothing.
    with pytest.raises(ValueError):
        parse_faults(raw)
