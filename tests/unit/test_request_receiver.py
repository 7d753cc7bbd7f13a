"""Turns of the event loop while a caller sends without end."""

import gc
import weakref

import gevent
import pytest
from gevent import socket

from bulrushdrum._internal.gateway import request_receiver
from bulrushdrum._internal.gateway.caller_budget import CallerBudget, Holding
from bulrushdrum._internal.gateway.errors import BadRequest
from bulrushdrum._internal.gateway.request_receiver import RequestReceiver
from bulrushdrum._internal.world.routes import CallerLimits

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


def make_receiver(sock):
    group = CallerBudget(10_000_000).add_group()
    holding = Holding(None)
    group.add(holding)
    return RequestReceiver(sock, CallerLimits, group, holding)


@pytest.fixture
def sockets():
    pair = socket.socketpair()
    yield pair
    for sock in pair:
        sock.close()


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"1\r\na\r\n" * 400_000 + b"0\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n" * 600_000,
    ],
    ids=["tiny chunks", "requests sent ahead"],
)
def test_a_caller_that_always_has_data_lets_others_run(sockets, monkeypatch, data):
    # Guards against one caller that keeps a router from answering all others: reading
    # returns at once while data is there.
    ours, theirs = sockets
    turns = []
    monkeypatch.setattr(
        request_receiver, "run_other_tasks_if_due", lambda: turns.append(1)
    )
    receiver = make_receiver(ours)
    sending = gevent.spawn(theirs.sendall, data)
    received = 0
    with gevent.Timeout(10.0, False):
        while received < 10_000:
            receiver.receive()
            received += 1
            if data.startswith(HEAD):
                break
    sending.kill()
    # Once for each request sent ahead, or for 16 KB of a request.
    assert len(turns) > 100


def test_few_requests_are_parsed_ahead(sockets):
    # Guards against thousands of requests in memory, of which one is handled at a time.
    ours, theirs = sockets
    theirs.sendall(b"GET / HTTP/1.1\r\n\r\n" * 3000)
    receiver = make_receiver(ours)
    assert receiver.receive().method == b"GET"
    assert len(receiver._reader.requests) < 250
    assert receiver.has_partial_request


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n" * 30_000,
        b"GET /" + b"a" * 30_000,
        b"GET / HTTP/1.1\r\nname" + b"a" * 30_000,
        b"GET / HTTP/1.1\r\nname: " + b"a" * 30_000,
        HEAD + b"0" * 30_000,
        HEAD + b"1;x=" + b"a" * 30_000,
        HEAD + b"0\r\nname: " + b"a" * 30_000,
        HEAD + b"0\r\n" + b"a: b\r\n" * 10_000,
    ],
    ids="lines target name value size extension trailer trailers".split(),
)
def test_elements_without_end_are_refused(sockets, data):
    # Guards against bytes that count only when the element they belong to has ended.
    ours, theirs = sockets
    theirs.sendall(data)
    with pytest.raises(BadRequest, match="exceed 16384 bytes") as caught:
        make_receiver(ours).receive()
    assert caught.value.status == 431


def test_a_head_of_the_largest_size_is_accepted(sockets):
    # Guards against counting the bytes of a body, or of the next request, as headers.
    ours, theirs = sockets
    head = b"POST / HTTP/1.1\r\nx: " + b"a" * (16_384 - 32 - 5 - 4 - 1)
    request = head + b"\r\nContent-Length: 20000\r\n\r\n" + b"b" * 20_000
    receiver = make_receiver(ours)
    sending = gevent.spawn(theirs.sendall, 3 * request)
    for _ in range(3):
        assert len(receiver.receive().body) == 20_000
    sending.get()


def test_what_a_connection_held_is_free_at_once(sockets):
    # Guards against bodies that stay in memory until the next garbage collection: the
    # parser and its reader refer to each other.
    ours, theirs = sockets
    receiver = make_receiver(ours)
    theirs.sendall(b"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + b"a" * 99)
    receiving = gevent.spawn(receiver.receive)
    gevent.sleep(0.05)
    reader = weakref.ref(receiver._reader)
    assert receiver.has_partial_request
    gc.disable()
    try:
        receiver.drop_request()
        with pytest.raises(BadRequest, match="no memory"):
            receiving.get(timeout=2.0)
        assert not receiver.has_partial_request
        del receiver, receiving
        assert reader() is None
    finally:
        gc.enable()
