"""A call's outcome follows from the place where the exchange failed."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from tests.unit.stage_fakes import make_settings

from bulrushdrum._internal.peering.messages import Call, Header
from bulrushdrum._internal.sidecar.service_client import ServiceClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"


def serve(behave):
    """Start a server whose `behave(sock, request)` answers, and return its address."""

    def handle(sock, address):
        received = sock.recv(65_536)
        behave(sock, received)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    return server, f"127.0.0.1:{server.server_port}"


def run(behave, timeout=0.3, **changes):
    server, address = serve(behave)
    settings = make_settings(upstream_url=f"http://{address}", max_answer_bytes=1024)
    call = Call(method="POST", path="/pay?x=1", body=b"7", **changes)
    try:
        return ServiceClient(settings).run(call, timeout)
    finally:
        server.stop()


def trickle(sock, request):
    sock.sendall(HEAD % 100 + b"\r\n")
    for _ in range(100):
        gevent.sleep(0.05)
        sock.sendall(b"x")


@pytest.mark.parametrize(
    "behave",
    [
        lambda sock, request: gevent.sleep(5),
        lambda sock, request: sock.close(),
        lambda sock, request: sock.sendall(b"garbage\r\n\r\n"),
        lambda sock, request: sock.sendall(HEAD % 100 + b"\r\nonly this"),
        lambda sock, request: sock.sendall(HEAD % 2000 + b"\r\n" + bytes(2000)),
        trickle,
    ],
    ids=["silence", "close", "garbage", "cut short", "too large", "too slow"],
)
def test_after_the_request_was_sent_a_failure_is_unknown(behave):
    # Guards against "not run" for a call that ran, and against a cut answer passed on.
    result = run(behave)
    assert (result.outcome, result.status, result.body) == ("unknown", 0, b"")


def test_before_the_request_was_sent_a_failure_is_not_run():
    # Guards against an unknown outcome for a call that certainly did not run.
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        address = "127.0.0.1:%d" % reserved.getsockname()[1]
        client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
        refused = client.run(Call(method="POST", path="/pay"), 1.0)
    assert refused.outcome == "not_run"
    seen = []
    for bad in (
        {"path": "/a b"},
        {"path": "http://elsewhere/"},
        {"method": "GET /x HTTP/1.1\r\nA:"},
        {"headers": (Header("a\r\nb", "c"),)},
        {"headers": (Header("a", "c\nd: e"),)},
        {"headers": (Header("a", "\u20ac"),)},
    ):
        call = Call(method="POST", path="/pay")._replace(**bad)
        server, address = serve(lambda sock, request: seen.append(request))
        client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
        assert client.run(call, 0.3).outcome == "not_run"
        server.stop()
    assert not any(seen)


def test_headers_of_the_connection_are_not_passed_on():
    # Guards against a caller's connection headers that break the next hop.
    seen = []

    def answer(sock, request):
        seen.append(request)
        head = HEAD % 2 + b"Connection: X-Drop\r\nX-Drop: 1\r\n"
        cookies = b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
        sock.sendall(head + cookies + b"\r\nok")

    result = run(
        answer,
        headers=(
            Header("Connection", "X-Gone, close"),
            Header("X-Gone", "1"),
            Header("Content-Length", "999"),
            Header("Transfer-Encoding", "chunked"),
            Header("Idempotency-Key", "k1"),
        ),
    )
    assert (result.outcome, result.status, result.body) == ("answered", 200, b"ok")
    assert [(h.name, h.value) for h in result.headers] == [
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
    ]
    sent = seen[0].decode().lower()
    assert "idempotency-key: k1" in sent and "content-length: 1\r\n" in sent
    assert "x-gone: 1" not in sent and "chunked" not in sent
    assert sent.startswith("post /pay?x=1 http/1.1\r\n")
