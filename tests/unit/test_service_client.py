"""The outcome of a failed call depends on whether any of it was sent."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from tests.unit.stage_fakes import make_settings

from bulrushdrum._internal.peering.request_messages import Call, Header
from bulrushdrum._internal.sidecar.service_client import ServiceClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"


def start_server(respond):
    """Start a server that calls `respond(sock, request)`; return it and its address."""

    def handle(sock, address):
        request = sock.recv(65_536)
        respond(sock, request)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    return server, f"127.0.0.1:{server.server_port}"


def run_call(respond, timeout=0.3, **changes):
    """Run a call against a server that answers with `respond`."""
    server, address = start_server(respond)
    settings = make_settings(upstream_url=f"http://{address}", max_answer_bytes=1024)
    call = Call(method="POST", path="/pay?x=1", body=b"7", **changes)
    try:
        return ServiceClient(settings).run(call, timeout)
    finally:
        server.stop()


def send_slowly(sock, request):
    sock.sendall(HEAD % 100 + b"\r\n")
    for _ in range(100):
        gevent.sleep(0.05)
        sock.sendall(b"x")


@pytest.mark.parametrize(
    "respond",
    [
        lambda sock, request: gevent.sleep(5),
        lambda sock, request: sock.close(),
        lambda sock, request: sock.sendall(b"garbage\r\n\r\n"),
        lambda sock, request: sock.sendall(HEAD % 100 + b"\r\nonly this"),
        lambda sock, request: sock.sendall(HEAD % 2000 + b"\r\n" + bytes(2000)),
        send_slowly,
    ],
    ids=["silence", "close", "garbage", "truncated", "too large", "too slow"],
)
def test_failure_after_sending_has_unknown_outcome(respond):
    # Guards against "not run" for a call that ran, and against forwarding a truncated
    # answer.
    result = run_call(respond)
    assert (result.outcome, result.status, result.body) == ("unknown", 0, b"")


def test_failure_before_sending_has_outcome_not_run():
    # Guards against an unknown outcome for a call that has not run.
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        address = "127.0.0.1:%d" % reserved.getsockname()[1]
        client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
        refused = client.run(Call(method="POST", path="/pay"), 1.0)
    assert refused.outcome == "not_run"
    requests = []
    for malformed in (
        {"path": "/a b"},
        {"path": "http://elsewhere/"},
        {"method": "GET /x HTTP/1.1\r\nA:"},
        {"headers": (Header("a\r\nb", "c"),)},
        {"headers": (Header("a", "c\nd: e"),)},
        {"headers": (Header("a", "\u20ac"),)},
    ):
        call = Call(method="POST", path="/pay")._replace(**malformed)
        server, address = start_server(lambda sock, request: requests.append(request))
        client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
        assert client.run(call, 0.3).outcome == "not_run"
        server.stop()
    assert not any(requests)


def test_hop_by_hop_headers_are_not_forwarded():
    # Guards against hop-by-hop headers of a caller that break the next connection.
    requests = []

    def respond(sock, request):
        requests.append(request)
        head = HEAD % 2 + b"Connection: X-Drop\r\nX-Drop: 1\r\n"
        cookies = b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
        sock.sendall(head + cookies + b"\r\nok")

    result = run_call(
        respond,
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
    sent = requests[0].decode().lower()
    assert "idempotency-key: k1" in sent and "content-length: 1\r\n" in sent
    assert "x-gone: 1" not in sent and "chunked" not in sent
    assert sent.startswith("post /pay?x=1 http/1.1\r\n")
