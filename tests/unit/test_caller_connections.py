"""Connections of callers: whether they are open, and how they are closed."""

import errno
import json
import os
import struct
import sys
import time

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from tests.unit.gateway_fakes import read_response

from bulrushdrum._internal.caller.http import is_connected
from bulrushdrum._internal.gateway import callers
from bulrushdrum._internal.gateway.caller_budget import CallerBudget
from bulrushdrum._internal.gateway.callers import CallerServer
from bulrushdrum._internal.gateway.messages import Response
from bulrushdrum._internal.world.routes import CallerLimits

HIGH_FILE_DESCRIPTOR = 1500


def test_callers_on_high_file_descriptors_count_as_connected():
    # Guards against an entry with over a thousand connections that takes its callers
    # for gone, and refuses their requests.
    caller, accepted = socket.socketpair()
    os.dup2(accepted.fileno(), HIGH_FILE_DESCRIPTOR)
    high = socket.socket(fileno=HIGH_FILE_DESCRIPTOR)
    accepted.close()
    assert is_connected(high)
    caller.send(b"next request")
    assert is_connected(high)
    assert high.recv(100) == b"next request"
    caller.close()
    assert not is_connected(high)
    high.close()


def test_a_request_that_arrives_while_its_connection_is_shut_down_is_not_handled(
    monkeypatch,
):
    # Guards against a request that reaches an upstream although its connection cannot
    # carry an answer any more.
    handled = []
    server = CallerServer("127.0.0.1:0", lambda _, request: handled.append(request))
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    with socket.create_connection(address, timeout=2.0) as sock:
        gevent.sleep(0.05)
        (connection,) = server._open
        sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        # As if it arrived between the check for input and the shutdown.
        monkeypatch.setattr(callers, "is_readable", lambda sock: False)
        connection.close_if_idle()
        gevent.sleep(0.1)
        assert handled == []
        assert not server._open
    server.stop_accepting()


def test_a_request_of_which_a_part_has_arrived_is_open():
    # Guards against a router that counts as idle while a body is still arriving.
    answered = []

    def answer(connection, request):
        answered.append(request.body)
        connection.send(Response(200, [], b""))

    server = CallerServer("127.0.0.1:0", answer)
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    with socket.create_connection(address, timeout=2.0) as sock:
        gevent.sleep(0.05)
        assert server.open_requests == 0
        sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
        gevent.sleep(0.05)
        assert server.open_requests == 1
        finishing = gevent.spawn(server.finish, 2.0)
        gevent.sleep(0.3)
        sock.sendall(b"dy")
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
        finishing.get(timeout=1.0)
        assert answered == [b"body"]


def test_a_server_that_drains_closes_connections_that_had_a_request():
    # Guards against requests that reach a router out of rotation because it keeps the
    # connections of earlier ones open until it exits.
    answered, may_end = [], Event()

    def answer(connection, request):
        answered.append(request.path)
        connection.start_stream(200, [])
        if request.path == "/long":
            may_end.wait()
        connection.end_stream()

    def send(sock, path):
        sock.sendall(b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" % path)

    server = CallerServer("127.0.0.1:0", answer)
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    with (
        socket.create_connection(address, timeout=2.0) as idle,
        socket.create_connection(address, timeout=2.0) as busy,
        socket.create_connection(address, timeout=2.0) as ahead,
        socket.create_connection(address, timeout=2.0) as unused,
    ):
        send(idle, b"/short")
        assert read_response(idle).is_complete
        send(busy, b"/long")
        send(ahead, b"/long")
        send(ahead, b"/ahead")
        gevent.sleep(0.05)
        server.begin_drain()
        assert idle.recv(1) == b""
        may_end.set()
        assert read_response(busy).is_complete
        assert busy.recv(1) == b""
        gevent.sleep(0.05)
        send(unused, b"/new")
        assert read_response(unused).is_complete
        assert answered == ["/short", "/long", "/long", "/ahead", "/new"]
    server.stop_accepting()


def reset_connection(sock):
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


@pytest.mark.parametrize("close", ["begin_drain", "finish"])
def test_a_caller_that_resets_its_connection_does_not_end_a_drain(close):
    # Guards against a router that ends with all its requests in a planned stop, because
    # a connection that it wants to close has been reset by its caller.
    answered = []

    def answer(connection, request):
        if request.path == "/long":
            gevent.sleep(0.3)
        answered.append(request.path)
        connection.send(Response(200, [], b""))

    server = CallerServer("127.0.0.1:0", answer)
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    request = b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    with socket.create_connection(address, timeout=2.0) as sound:
        sound.sendall(request % b"/long")
        callers = [socket.create_connection(address, timeout=2.0) for _ in range(5)]
        for caller in callers:
            caller.sendall(request % b"/short")
            read_response(caller)
        gevent.sleep(0.05)
        for caller in callers:
            # The body is over the limit, so that the rest of it is discarded.
            caller.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
            caller.recv(1)
            reset_connection(caller)
        match close:
            case "begin_drain":
                server.begin_drain()
            case _:
                server.finish(1.0)
        assert read_response(sound).is_complete
    assert answered == ["/short"] * 5 + ["/long"]
    server.stop_accepting()


def test_changed_limits_hold_for_connections_that_are_open():
    # Guards against refusing what the configuration allows, on connections that were
    # opened before it was changed.
    limits = CallerLimits(header_bytes=200, body_bytes=3)

    def send(sock, body, *headers):
        lines = [b"POST /a HTTP/1.1", b"Host: h", b"Content-Length: %d" % len(body)]
        sock.sendall(b"\r\n".join([*lines, *headers, b"", body]))
        return int(sock.recv(1000).split()[1])

    server = CallerServer(
        "127.0.0.1:0",
        lambda connection, _: connection.send(Response(200, [], b"")),
        lambda: limits,
    )
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    with (
        socket.create_connection(address, timeout=2.0) as first,
        socket.create_connection(address, timeout=2.0) as second,
    ):
        assert send(first, b"abc") == send(second, b"abc") == 200
        limits = limits._replace(header_bytes=500, body_bytes=6)
        assert send(first, b"abcdef") == 200
        assert send(first, b"abcdef", b"X: " + b"x" * 300) == 200
        limits = limits._replace(header_bytes=200, body_bytes=3)
        assert send(first, b"abcd") == 413
        assert send(second, b"abc", b"X: " + b"x" * 300) == 431
    server.stop_accepting()


def test_a_connection_that_waits_to_be_served_is_answered_before_the_server_ends():
    # Guards against a router that exits while the task of a connection that it has
    # accepted still waits for its turn in a late event loop.
    answered = []

    def answer(connection, request):
        answered.append(request.body)
        connection.send(Response(200, [], b""))

    def compute(rounds):
        end = time.monotonic() + 0.001
        while time.monotonic() < end:
            pass
        if rounds:
            gevent.spawn(compute, rounds - 1)

    server = CallerServer("127.0.0.1:0", answer)
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    with socket.create_connection(address, timeout=2.0) as sock:
        sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        for _ in range(200):
            gevent.spawn(compute, 3)
        server.finish(3.0)
        assert answered == [b""]
        assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_a_refused_caller_that_goes_on_sending_sees_the_refusal():
    # Guards against a reset that takes the place of the answer, because the connection
    # is closed before all that the caller sends has been read.
    server = CallerServer(
        "127.0.0.1:0", lambda *_: None, lambda: CallerLimits(body_bytes=1000)
    )
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n"
    with socket.create_connection(address, timeout=2.0) as sock:
        sock.sendall(head)
        for _ in range(40):
            sock.sendall(b"a" * 100_000)
            gevent.sleep(0.002)
        assert sock.recv(1000).startswith(b"HTTP/1.1 413 ")
    server.stop_accepting()


def test_a_refused_connection_does_not_delay_a_stop():
    # Guards against a stop that waits for callers whose requests were refused.
    server = CallerServer("127.0.0.1:0", lambda *_: None)
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    with socket.create_connection(address, timeout=2.0) as sock:
        sock.sendall(b"no request\r\n\r\n")
        assert sock.recv(1000).startswith(b"HTTP/1.1 400 ")
        sock.sendall(b"more")
        assert server.open_requests == 0
        with gevent.Timeout(0.5):
            server.finish(5.0)


def test_a_request_is_not_kept_after_its_answer():
    # Guards against idle connections that each keep the body of their last request.
    bodies = []

    def answer(connection, request):
        bodies.append(request.body)
        connection.send(Response(200, [], b""))

    server = CallerServer("127.0.0.1:0", answer)
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    with socket.create_connection(address, timeout=2.0) as sock:
        sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
        gevent.sleep(0.05)
        assert server.connections == 1
        # The list and the argument of the call.
        references = sys.getrefcount(bodies[0])
        assert references == 2
    server.stop_accepting()


def test_connections_in_excess_are_closed_and_idle_ones_first():
    # Guards against a router that accepts connections until it has no descriptor left,
    # and against idle ones that keep callers out.
    budget = CallerBudget(1_000_000)
    server = CallerServer(
        "127.0.0.1:0",
        lambda connection, _: connection.send(Response(200, [], b"")),
        group=budget.add_group(3),
    )
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    socks = []
    for _ in range(5):
        socks.append(socket.create_connection(address, timeout=2.0))
        gevent.sleep(0.02)
    assert socks[0].recv(1) == socks[1].recv(1) == b""
    for sock in socks[2:]:
        sock.sendall(b"POST /a HTTP/1.1\r\n")
    gevent.sleep(0.05)
    with socket.create_connection(address, timeout=2.0) as sock:
        assert sock.recv(1) == b""
    assert (budget.closed_idle, budget.closed_new) == (2, 1)
    for sock in socks[2:]:
        sock.sendall(b"Host: h\r\nContent-Length: 0\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
    for sock in socks:
        sock.close()
    gevent.sleep(0.05)
    assert budget.held_bytes == 0
    server.stop_accepting()


def test_a_listener_without_descriptors_goes_on_later(monkeypatch):
    # Guards against a router that accepts nothing any more, or tries without a pause,
    # after its descriptors have run out once.
    server = CallerServer(
        "127.0.0.1:0", lambda connection, _: connection.send(Response(200, [], b""))
    )
    server.start()
    accept, failures = server._server.do_read, []

    def fail_at_first():
        if len(failures) < 4:
            failures.append(1)
            raise OSError(errno.EMFILE, "too many open files")
        return accept()

    monkeypatch.setattr(server._server, "do_read", fail_at_first)
    address = ("127.0.0.1", server._server.server_port)
    with socket.create_connection(address, timeout=5.0) as sock:
        sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
    assert len(failures) == 4
    server.stop_accepting()


def test_a_large_body_without_room_is_refused_as_not_run_and_small_ones_are_served():
    # Guards against refusing small requests while the memory is taken, and against a
    # refusal that does not say that the request has not run.
    handled = []

    def answer(connection, request):
        handled.append(len(request.body))
        connection.send(Response(200, [], b""))

    budget = CallerBudget(260_000)
    server = CallerServer("127.0.0.1:0", answer, group=budget.add_group())
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    with (
        socket.create_connection(address, timeout=2.0) as first,
        socket.create_connection(address, timeout=2.0) as second,
    ):
        first.sendall(head % 150_000 + b"a" * 100_000)
        gevent.sleep(0.05)
        second.sendall(head % 150_000 + b"a" * 150_000)
        response = read_response(second)
        assert (response.status, handled) == (503, [])
        assert float(response.headers["retry-after"]) > 0
        assert json.loads(response.body)["error"]["ran"] == "no"
        with socket.create_connection(address, timeout=2.0) as third:
            third.sendall(head % 10_000 + b"a" * 10_000)
            assert read_response(third).status == 200
        first.sendall(b"a" * 50_000)
        assert read_response(first).status == 200
    assert handled == [10_000, 150_000]
    assert (budget.bodies_refused, budget.requests_shed) == (1, 0)
    server.stop_accepting()


def test_an_unfinished_request_that_is_shed_is_refused():
    # Guards against a connection that is left without an answer when its memory is
    # needed, and against handling what is left of its request.
    handled = []
    budget = CallerBudget(300_000)
    server = CallerServer(
        "127.0.0.1:0",
        lambda _, request: handled.append(request),
        group=budget.add_group(),
    )
    server.start()
    address = ("127.0.0.1", server._server.server_port)
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n"
    with (
        socket.create_connection(address, timeout=2.0) as first,
        socket.create_connection(address, timeout=2.0) as second,
    ):
        # Both begin while there is room for either of them.
        first.sendall(head + b"a" * 1000)
        second.sendall(head + b"a" * 1000)
        gevent.sleep(0.05)
        first.sendall(b"a" * 148_000)
        gevent.sleep(0.05)
        second.sendall(b"a" * 147_000)
        gevent.sleep(0.05)
        assert read_response(first).status == 503
        assert budget.requests_shed == 1
        first.sendall(b"a" * 1000)
    assert handled == []
    server.stop_accepting()
