"""Responses with neither a length nor chunks, ended at each of their bytes.

The end of the connection is the only end of such a response. Each one is cut after
every byte, by an orderly close and by a reset.
"""

import errno
from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from bench.standins.path_server import RESET, complete_response
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route

from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.upstream_connections import UpstreamConnection
from bulrushdrum._internal.settings.router import ResponseLimits
from bulrushdrum._internal.world.routes import RequestKind

CLOSE = None
ENDS = pytest.mark.parametrize("end", [CLOSE, RESET], ids=["closed", "reset"])
HEAD = (
    b"HTTP/1.1 200 OK\r\nBulrushdrum-Attempt-Id: r1\r\n"
    b"Bulrushdrum-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
)
HEADS = {
    "kept": HEAD + b"\r\n",
    "closing": HEAD + b"Connection: close\r\n\r\n",
    "http10": HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"\r\n",
}
BLOCKS = {
    "lf": [b"id: %d\ndata: a%d\n\n" % (n, n) for n in range(1, 4)],
    "crlf": [b"id: %d\r\ndata: a%d\r\n\r\n" % (n, n) for n in range(1, 4)],
    "mixed": [b"id: 1\ndata: a1\n\r\n", b"id: 2\r\ndata: a2\r\n\n"],
    "comments": [
        b": first\n\n",
        b"id: 1\ndata: a1\n\n",
        b": \n\n",
        b"data: a2\ndata: more\nid: 2\n\n",
        b": last\n\n",
    ],
    "unterminated": [b"id: 1\ndata: a1\n\n", b"id: 2\ndata: a2\n"],
}
FORMATS = pytest.mark.parametrize("name", BLOCKS)


def is_terminated(block):
    return block.endswith((b"\n\n", b"\n\r\n"))


class CutStream:
    """A stream of `blocks` that ends after `body_bytes` of its body."""

    def __init__(self, blocks, body_bytes):
        self.whole, self.last_id, self.has_data = b"", 0, False
        end = 0
        for block in blocks:
            end += len(block)
            if end > body_bytes or not is_terminated(block):
                break
            self.whole += block
            if b"data" in block:
                self.has_data = True
                self.last_id += 1
        self.ends_after_event = len(self.whole) == body_bytes and self.has_data


def events(first):
    """Return the events of the second engine's stream from `first` on."""
    return b"".join(b"id: %d\ndata: b%d\n\n" % (n, n) for n in range(first, 5))


def resumed(request):
    first = int(request["headers"].get("last-event-id", 0)) + 1
    return [HEADS["closing"] + events(first), CLOSE]


class Upstreams:
    """Two engines; the first sends `data` and `end`, the second a whole stream."""

    def __init__(self, **changes):
        # The engines run in the process of the router, so a pause of it silences them.
        route = make_route(RequestKind.STREAMING, goal=2.0, gap_goal=1.0, **changes)
        self.gateway = Gateway(route, extra=9999)
        self.data, self.end = b"", CLOSE
        self.gateway.add_server("one", lambda request: [self.data, self.end], (0, 40))
        self.second = self.gateway.add_server("two", resumed, (0, 40), data_centre="b")

    def call(self, data, end, request=REQUEST):
        self.data, self.end = data, end
        # The path begins at the first engine again, whatever it answered before.
        self.gateway.record_other_success("one")
        self.second.requests.clear()
        return self.gateway.call(request)


@pytest.fixture
def start():
    started = []

    def start_upstreams(**changes):
        started.append(Upstreams(**changes))
        return started[-1]

    yield start_upstreams
    for upstreams in started:
        upstreams.gateway.stop()


@ENDS
@pytest.mark.parametrize("head", HEADS)
def test_a_stream_that_ends_inside_its_head_is_sent_elsewhere(start, head, end):
    # Guards against the success of a request whose upstream sent only half a head.
    upstreams = start()
    for cut in range(len(HEADS[head])):
        response = upstreams.call(HEADS[head][:cut], end)
        assert (response.body, response.is_complete) == (events(1), True), cut


@ENDS
@FORMATS
def test_a_stream_that_is_cut_resumes_after_its_last_whole_event(start, name, end):
    # Guards against a stream that looks complete though it ended inside an event, and
    # against half an event that is followed by the events of another run.
    upstreams = start()
    body = b"".join(BLOCKS[name])
    for cut in range(len(body) + 1):
        expected = CutStream(BLOCKS[name], cut)
        response = upstreams.call(HEADS["closing"] + body[:cut], end)
        assert response.is_complete, cut
        if end is CLOSE and expected.ends_after_event:
            assert response.body == expected.whole, cut
            assert not upstreams.second.requests, cut
            continue
        assert response.body == expected.whole + events(expected.last_id + 1), cut


@ENDS
@FORMATS
def test_a_cut_stream_that_is_not_resumable_stays_incomplete(start, name, end):
    # Guards against a last chunk after the events of a stream that was cut.
    upstreams = start(resumable=False)
    body = b"".join(BLOCKS[name])
    for cut in range(len(body) + 1):
        expected = CutStream(BLOCKS[name], cut)
        response = upstreams.call(HEADS["closing"] + body[:cut], end)
        assert not upstreams.second.requests, cut
        if not expected.whole:
            assert response.status == 502, cut
            continue
        assert response.status == 200
        assert response.body == expected.whole, cut
        is_whole = end is CLOSE and expected.ends_after_event
        assert response.is_complete == is_whole, cut


@ENDS
@FORMATS
def test_a_cut_stream_of_the_last_attempt_stays_incomplete(start, name, end):
    # Guards against a last chunk after a resumed run that was cut as well.
    upstreams = start()
    head, body = HEADS["closing"], b"".join(BLOCKS[name])
    part = [b""]
    upstreams.second.script = lambda request: [head + part[0], end]
    for cut in range(len(body) + 1):
        part[0] = body[:cut]
        response = upstreams.call(head + b"id: 0\ndata: a0\n\n", RESET)
        expected = CutStream(BLOCKS[name], cut)
        assert response.body == b"id: 0\ndata: a0\n\n" + expected.whole, cut
        is_whole = end is CLOSE and len(expected.whole) == cut
        assert response.is_complete == is_whole, cut


@pytest.mark.parametrize("partial", [b"i", b"id: 1\r\ndata: a1\r\n\r"])
@ENDS
def test_a_resumed_stream_lacks_an_event_that_had_begun(start, partial, end):
    # Guards against a stream that looks complete though an event had begun that no run
    # delivered whole.
    upstreams = start()
    head, first, second = HEADS["closing"], b"id: 0\ndata: a0\n\n", BLOCKS["lf"][0]
    upstreams.second.script = lambda request: [head + upstreams.rest, CLOSE]
    for cut in range(len(second) + 1):
        upstreams.rest = b": comment\n\n" + second[:cut]
        response = upstreams.call(head + first + partial, end)
        assert response.is_complete == (cut == len(second)), cut


def test_a_stream_cut_inside_a_comment_may_be_resumed_without_events(start):
    # Guards against a failure of a stream that has no event left.
    upstreams = start()
    upstreams.second.script = lambda request: [HEADS["closing"], CLOSE]
    first = b"id: 0\ndata: a0\n\n"
    response = upstreams.call(HEADS["closing"] + first + b": comm", CLOSE)
    assert (response.body, response.is_complete) == (first, True)


def test_a_cut_stream_is_not_resumed_after_an_event_without_an_id(start):
    # Guards against an event that is delivered twice, because the other run goes on
    # after the last event that has an id.
    upstreams = start()
    whole = BLOCKS["lf"][0] + b"data: no id\n\n"
    response = upstreams.call(HEADS["closing"] + whole + b"id: 2\n", CLOSE)
    assert (response.body, response.is_complete) == (whole, False)


@ENDS
@pytest.mark.parametrize("status", [400, 500, 503])
def test_a_cut_error_response_to_a_generation(start, status, end):
    # Guards against half an error response, and against a 503 that promises that a
    # request has not run without the upstream's word.
    upstreams = start(resumable=False)
    head = HEADS["kept"].replace(b"200 OK", b"%d X" % status)
    body = b"no such model"
    for cut in range(len(head + body) + 1):
        response = upstreams.call((head + body)[:cut], end)
        assert response.is_complete, cut
        if status == 400 and end is CLOSE and cut >= len(head):
            assert (response.status, response.body) == (400, body[: cut - len(head)])
        else:
            assert response.status == 502, cut
        assert not upstreams.second.requests, cut


def test_an_unframed_response_that_does_not_end_is_bounded(start, start_plain):
    # Guards against a caller that waits beyond its deadline for a connection to end.
    request = REQUEST.replace(b"\r\n\r\n", b"\r\nBulrushdrum-Deadline-Ms: 200\r\n\r\n")
    streams = start(resumable=False)
    response = streams.call(HEADS["kept"] + BLOCKS["lf"][0], 2.0, request)
    assert (response.body, response.is_complete) == (BLOCKS["lf"][0], False)
    calls = start_plain(RequestKind.NON_IDEMPOTENT)
    response = calls.call(HEADS["kept"].replace(b"event-stream", b"x"), 2.0, request)
    assert response.status == 504
    assert max(streams.gateway.seconds, calls.gateway.seconds) < 1.0


def test_a_connection_that_timed_out_has_not_ended_in_order(start):
    # Guards against a connection error that is reported once: the next read returns the
    # end of the connection, which would complete the stream.
    connection = UpstreamConnection(start().second.address, ResponseLimits())
    error = OSError(errno.ETIMEDOUT, "Connection timed out")
    connection._socket = SimpleNamespace(
        settimeout=lambda seconds: None,
        sendall=lambda data: None,
        recv=Mock(side_effect=[HEADS["kept"], error, b""]),
    )
    reader = connection.send(b"", 1.0)
    assert connection.receive(1.0)
    with pytest.raises(UpstreamFailed, match="connection lost"):
        connection.receive(1.0)
    assert not reader.is_complete


def test_a_stream_whose_upstream_restarted_before_its_end_is_resumed(start):
    # Guards against a complete stream though an upstream of its path restarted, so that
    # the connection was closed between two events.
    upstreams = start()
    restarted = upstreams.gateway.fleet.get("one")._replace(born=99)

    def restarts(request):
        yield HEADS["closing"] + BLOCKS["lf"][0]
        upstreams.gateway.fleet.put(restarted)
        yield CLOSE

    upstreams.gateway.servers["one"].script = restarts
    response = upstreams.gateway.call()
    assert (response.body, response.is_complete) == (
        BLOCKS["lf"][0] + events(2),
        True,
    )


def test_a_response_without_content_to_a_generation_has_no_chunks(start):
    # Guards against the last chunk of a response that cannot have a body: the caller
    # would take it for the start of its next response.
    upstreams = start()
    upstreams.data, upstreams.end = HEADS["kept"].replace(b"200 OK", b"204 X"), 1.0
    with upstreams.gateway.connect() as sock:
        sock.sendall(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        received = b"".join(iter(lambda: sock.recv(4096), b""))
    assert received.startswith(b"HTTP/1.1 204 ")
    assert received.endswith(b"\r\n\r\n") and received.count(b"\r\n\r\n") == 1
    assert b"chunked" not in received


class PlainUpstreams:
    """Two plain services; the first sends `data` and `end`, the second "whole"."""

    def __init__(self, kind):
        self.gateway = Gateway(make_route(kind), extra=9999)
        self.data, self.end = b"", CLOSE
        self.gateway.add_server(
            "one", lambda request: [self.data, self.end], slots=1000
        )
        self.second = self.gateway.add_server(
            "two", lambda request: complete_response(request, b"whole"), data_centre="b"
        )

    def call(self, data, end, request=REQUEST):
        self.data, self.end = data, end
        # The path begins at the first engine again, whatever it answered before.
        self.gateway.record_other_success("one")
        self.second.requests.clear()
        return self.gateway.call(request)


@pytest.fixture
def start_plain():
    started = []

    def start_upstreams(kind):
        started.append(PlainUpstreams(kind))
        return started[-1]

    yield start_upstreams
    for upstreams in started:
        upstreams.gateway.stop()


@ENDS
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_a_plain_response_is_whole_only_if_it_ends_in_order(
    start_plain, kind, head, end
):
    # Guards against a success with half a head, or with a body that was reset.
    upstreams = start_plain(kind)
    head = HEADS[head].replace(b"text/event-stream", b"text/plain")
    body = b"0\r\n\r\nbody\n"
    for cut in range(len(head + body) + 1):
        response = upstreams.call((head + body)[:cut], end)
        assert response.is_complete, cut
        if end is CLOSE and cut >= len(head):
            assert (response.status, response.body) == (
                200,
                (head + body)[len(head) : cut],
            )
            assert not upstreams.second.requests, cut
        elif kind is RequestKind.IDEMPOTENT:
            assert (response.status, response.body) == (200, b"whole"), cut
        else:
            assert response.status == 502, cut
            assert "bulrushdrum-server-stamp" not in response.headers
            assert not upstreams.second.requests, cut
    assert not upstreams.gateway.pool._idle.get(
        upstreams.gateway.servers["one"].address
    )


@ENDS
@FORMATS
@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT])
def test_a_buffered_stream_that_ends_inside_an_event_is_not_forwarded(
    start_plain, kind, name, end
):
    # Guards against the success of a plain call with a stream that was broken off.
    upstreams = start_plain(kind)
    head, body = HEADS["closing"], b"".join(BLOCKS[name])
    for cut in range(1, len(body) + 1):
        response = upstreams.call(head + body[:cut], end)
        if end is CLOSE and len(CutStream(BLOCKS[name], cut).whole) == cut:
            assert (response.status, response.body) == (200, body[:cut]), cut
        elif kind is RequestKind.IDEMPOTENT:
            assert (response.status, response.body) == (200, b"whole"), cut
        else:
            assert response.status == 502, cut


BODYLESS = {
    "HEAD unframed": (b"HEAD", 200, b""),
    "HEAD with a length": (b"HEAD", 200, b"Content-Length: 9\r\n"),
    "HEAD in chunks": (b"HEAD", 200, b"Transfer-Encoding: chunked\r\n"),
    "204": (b"POST", 204, b""),
    "304": (b"POST", 304, b""),
    "304 with a length": (b"POST", 304, b"Content-Length: 9\r\n"),
}


@pytest.mark.parametrize("name", BODYLESS)
def test_a_response_without_a_body_ends_with_its_head(start_plain, name):
    # Guards against waiting until the deadline for a body that never comes, and against
    # the success of half a head.
    method, status, framing = BODYLESS[name]
    upstreams = start_plain(RequestKind.NON_IDEMPOTENT)
    request = REQUEST.replace(b"POST", method)
    if method == b"HEAD":
        request = request.replace(b"Content-Length: 4\r\n\r\nbody", b"\r\n")
    head = HEADS["kept"].replace(b" 200 OK", b" %d X" % status)
    head = head.removesuffix(b"\r\n") + framing + b"\r\n"
    for cut in range(0, len(head), 8):
        for end in (CLOSE, RESET):
            assert upstreams.call(head[:cut], end, request).status == 502, cut
    response = upstreams.call(head, 2.0, request)
    assert (response.status, response.body) == (status, b"")
    assert upstreams.gateway.seconds < 1.0
