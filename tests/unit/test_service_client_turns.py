"""How calls to a service share the event loop with the other tasks of a sidecar."""

import gevent
from gevent.event import Event
from gevent.monkey import get_original
from gevent.server import StreamServer

from bulrushdrum._internal.peering.request_messages import Call
from bulrushdrum._internal.sidecar import service_client
from bulrushdrum._internal.sidecar.service_client import ServiceClient

CALLS = 60
# What handling one answer takes.
ANSWER_SECONDS = 0.002
# Answers that are handled between two turns of another task.
MAX_ANSWERS_PER_TURN = 8


class Settings:
    def __init__(self, port):
        self.upstream_url = f"http://127.0.0.1:{port}"
        self.max_answer_bytes = 1_000_000


def test_answers_that_arrive_at_once_let_other_tasks_run(monkeypatch):
    # Guards against a sidecar that reads the answers of all its calls before it looks
    # at its timers, and is taken for silent because its heartbeats are late.
    answered, connected = Event(), []
    handled, handled_at_ticks = [], [0]

    def serve(sock, _address):
        connected.append(sock.recv(65_536))
        answered.wait()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def handle(content_type, body):
        get_original("time", "sleep")(ANSWER_SECONDS)
        handled.append(body)
        return False

    def tick():
        while True:
            gevent.sleep(0.001)
            handled_at_ticks.append(len(handled))

    monkeypatch.setattr(service_client, "is_cut_event_stream", handle)
    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = ServiceClient(Settings(server.server_port))
    call = Call(call="c", service="ledger", method="GET", path="/", timeout_ms=9000)
    calls = [gevent.spawn(client.run, call, 9.0) for _ in range(CALLS)]
    while len(connected) < CALLS:
        gevent.sleep(0.01)
    ticker = gevent.spawn(tick)
    answered.set()
    results = [job.get(timeout=9) for job in calls]
    ticker.kill()
    server.stop()
    assert [(r.outcome, r.body) for r in results] == [("answered", b"ok")] * CALLS
    handled_at_ticks.append(len(handled))
    gaps = [b - a for a, b in zip(handled_at_ticks, handled_at_ticks[1:], strict=False)]
    assert max(gaps) <= MAX_ANSWERS_PER_TURN, gaps
