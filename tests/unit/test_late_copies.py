"""Second copies of an answer that arrive late, on a connection that is in use again.

A copy must never reach the caller of the next request, whether it names its request or
not, and wherever it arrives.
"""

import gevent
import pytest
from bench.standins.path_server import chunk, complete_response, head, report, stream
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.world.routes import RequestKind

OLD_ID = {"headers": {"bulrushdrum-attempt-id": "r0"}}
FIRST, SECOND = (REQUEST.replace(b"r1", b"r%d" % n) for n in (0, 1))


def old_copy(with_id):
    data = complete_response(OLD_ID, b"old answer")[0]
    return data if with_id else data.replace(b"Bulrushdrum-Attempt-Id: r0\r\n", b"")


def identity(request, body):
    return complete_response(request, body)[0]


def chunked(request, body):
    return head(request) + chunk(body) + b"0\r\n\r\n"


PLACES = {
    "before the answer": lambda copy, r: [copy, identity(r, b"new answer")],
    "after an interim answer": lambda copy, r: [
        b"HTTP/1.1 100 Continue\r\n\r\n" + copy,
        identity(r, b"new answer"),
    ],
    "after an interim answer with the right id": lambda copy, r: [
        b"HTTP/1.1 103 X\r\nBulrushdrum-Attempt-Id: r1\r\n\r\n" + copy,
        identity(r, b"new answer"),
    ],
    "inside the head": lambda copy, r: [
        identity(r, b"new answer")[:20],
        0.01,
        copy + identity(r, b"new answer")[20:],
    ],
    "inside the body": lambda copy, r: [
        identity(r, b"new answer" * 40)[:-200],
        0.01,
        copy + identity(r, b"new answer" * 40)[-200:],
    ],
    "between chunks": lambda copy, r: [
        head(r) + chunk(b"new "),
        0.01,
        copy + chunk(b"answer") + b"0\r\n\r\n",
    ],
    "inside a chunk": lambda copy, r: [
        chunked(r, b"new answer" * 40)[:-205],
        0.01,
        copy + chunked(r, b"new answer" * 40)[-205:],
    ],
    "after the answer": lambda copy, r: [identity(r, b"new answer") + copy],
}


def answer_second(place, with_id):
    def script(request):
        if request["headers"]["bulrushdrum-attempt-id"] == "r0":
            return [identity(request, b"first answer")]
        return PLACES[place](old_copy(with_id), request)

    return script


@pytest.mark.parametrize("with_id", [True, False])
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_a_plain_call_never_gets_a_late_copy(kind, place, with_id):
    gateway = Gateway(make_route(kind, max_attempts=1))
    try:
        server = gateway.add_server("one", answer_second(place, with_id))
        assert gateway.call(FIRST).body == b"first answer"
        response = gateway.call(SECOND)
        assert gateway.pool.opened == 1, "the connection was not in use again"
        assert b"old" not in response.body
        if response.status == 200:
            assert set(response.body.split(b"new answer")) == {b""}
        else:
            # The upstream has run it, so the caller must not be told otherwise.
            assert response.status in (502, 504)
        assert len(server.requests) == 2
        # The connection is not used for a third request.
        gateway.call(REQUEST.replace(b"r1", b"r0"))
        assert gateway.pool.opened == 2
    finally:
        gateway.stop()


@pytest.mark.parametrize("with_id", [True, False])
def test_a_copy_on_an_idle_connection_is_not_used(with_id):
    gateway = Gateway(make_route(RequestKind.NON_IDEMPOTENT))

    def script(request):
        return [identity(request, b"answer"), 0.02, old_copy(with_id)]

    try:
        gateway.add_server("one", script)
        for _ in range(3):
            assert gateway.call(SECOND).body == b"answer"
            gevent.sleep(0.05)
        assert gateway.pool.opened == 3
    finally:
        gateway.stop()


@pytest.mark.parametrize("with_id", [True, False])
@pytest.mark.parametrize("status", [200, 500, 503])
def test_a_generation_never_gets_a_late_copy(with_id, status):
    gateway = Gateway(make_route(RequestKind.STREAMING, max_attempts=2))
    events = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))
    copy = b"".join(stream(OLD_ID)).replace(b"data: t", b"data: old")
    copy = copy.replace(b" 200 ", b" %d " % status)
    if status == 503:
        copy = copy.replace(b"\r\n", b"\r\nBulrushdrum-Not-Executed: 1\r\n", 1)
    if not with_id:
        copy = copy.replace(b"Bulrushdrum-Attempt-Id: r0\r\n", b"")
    attempts = []

    def script(request):
        if request["target"] == "/report":
            return report()
        attempts.append(request["headers"]["bulrushdrum-attempt-id"])
        if attempts == ["r0", "r1"]:
            return [copy, *stream(request)]
        return stream(request)

    try:
        gateway.add_server("one", script, (0, 40))
        assert gateway.call(FIRST).body == events
        response = gateway.call(SECOND)
        assert (response.body, response.is_complete) == (events, True)
        # The copy counts as an attempt that may have run.
        assert attempts == ["r0", "r1", "r1"]
    finally:
        gateway.stop()
