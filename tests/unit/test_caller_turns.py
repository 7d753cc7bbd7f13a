"""How the callers of an entry share the event loop with its other tasks."""

import gevent
from bench.processes import PortPool
from gevent import socket
from gevent.monkey import get_original

from bulrushdrum._internal.caller.http import make_server

CALLERS = 60
# What handling one request takes.
REQUEST_SECONDS = 0.002
# Requests that are handled between two turns of another task.
MAX_REQUESTS_PER_TURN = 8


def test_requests_that_arrive_at_once_let_other_tasks_run():
    # Guards against an entry that handles the requests of all callers before it looks
    # at its timers, and is taken for silent because its heartbeats are late.
    handled, handled_at_ticks = [], [0]

    def handle(environ, start_response):
        get_original("time", "sleep")(REQUEST_SECONDS)
        handled.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def tick():
        while True:
            gevent.sleep(0.001)
            handled_at_ticks.append(len(handled))

    ports = PortPool()
    server = make_server(handle, ports.reserve(), CALLERS)
    server.start()
    callers = [socket.create_connection(server.address) for _ in range(CALLERS)]
    while len(server.connections) < CALLERS:
        gevent.sleep(0.01)
    ticker = gevent.spawn(tick)
    gevent.sleep(0.01)
    # Sending does not wait, so all requests are there when the loop looks at sockets.
    for caller in callers:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
    answers = [caller.recv(4096) for caller in callers]
    ticker.kill()
    server.stop(timeout=1)
    ports.close()
    assert all(answer.startswith(b"HTTP/1.1 200 OK") for answer in answers)
    handled_at_ticks.append(len(handled))
    gaps = [b - a for a, b in zip(handled_at_ticks, handled_at_ticks[1:], strict=False)]
    assert max(gaps) <= MAX_REQUESTS_PER_TURN, gaps
