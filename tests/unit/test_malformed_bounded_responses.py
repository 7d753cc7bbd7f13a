"""Bytes that the clients of servers, sidecars and the store must not take for answers.

The same as `test_malformed_responses`, for `http.client`, which reads less strictly.
"""

import pytest
from gevent.server import StreamServer
from tests.unit.stage_fakes import make_settings

from bulrushdrum._internal.peering.request_messages import Call
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.platform.rows import RowStore
from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.errors import EngineLost
from bulrushdrum._internal.sidecar.service_client import ServiceClient
from bulrushdrum._internal.world.requests import Outcome

FIRST_LINE = b"HTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 2\r\n\r\n{}"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"2\r\n{}\r\n0\r\n\r\n"


@pytest.fixture
def serve():
    """Start a server that sends bytes and closes; return its address."""
    servers = []

    def start(data):
        def answer(sock, _address):
            sock.recv(65_536)
            sock.sendall(data)
            sock.close()

        servers.append(StreamServer(("127.0.0.1", 0), answer))
        servers[-1].start()
        return f"127.0.0.1:{servers[-1].server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0.1)


def call_service(address, method="POST"):
    client = ServiceClient(make_settings(upstream_url=f"http://{address}"))
    return client.run(Call(method=method, path="/pay", body=b"7"), 2.0)


def check_is_none(address):
    """Check that a service, an engine and the store have given no answer."""
    assert call_service(address).outcome == Outcome.UNKNOWN.value
    with pytest.raises(EngineLost):
        EngineClient(make_settings(upstream_url=f"http://{address}")).run_steps([])
    with pytest.raises(StoreUnavailable):
        RowStore(address, 2.0).read_table("op")


def check_is_answer(address, headers=()):
    result = call_service(address)
    assert (result.outcome, result.status) == (Outcome.ANSWERED.value, 200)
    assert result.body == b"{}"
    found = [(header.name, header.value) for header in result.headers]
    assert set(headers) <= set(found)


# Guards against first lines that are none and are read as those of a success.
@pytest.mark.parametrize(
    "line",
    [
        *(b"HTTP/1.1 0200 OK", b"HTTP/1.1 +200 OK", b"HTTP/1.1 2_00 OK"),
        *(b"HTTP/1.1  200 OK", b"HTTP/1.1\t200 OK", b"HTTP/1.1 200\tOK"),
        *(b" HTTP/1.1 200 OK", b"HTTP/0.9 200 OK", b"HTTP/1.2 200 OK"),
        *(b"HTTP/1. 200 OK", b"HTTP/1.10 200 OK", b"HTTP/1.1x 200 OK"),
        *(b"HTTP/1.1 200 O\0K", b"HTTP/1.1 200 OK\rA: b"),
    ],
)
def test_a_first_line_is_read_strictly(serve, line):
    check_is_none(serve(line + b"\r\n" + BODY))


@pytest.mark.parametrize(
    "line",
    [
        *(b"HTTP/1.1 200 OK\r\n", b"HTTP/1.0 200 OK\r\n", b"HTTP/1.1 200 \r\n"),
        *(b"HTTP/1.1 200\r\n", b"HTTP/1.1 200 \xfc\tb\r\n", b"HTTP/1.1 200 OK\n"),
    ],
)
def test_a_first_line_of_http_is_read(serve, line):
    check_is_answer(serve(line + BODY))


# Guards against header lines that split one header in two, hide one, or end the head.
@pytest.mark.parametrize(
    "line",
    [
        *(b"A: b\rContent-Length: 1", b"A: b\rc", b"A: b\0c", b"A: b\x01c", b"A: \x7f"),
        *(b"junk", b": b", b"A b: c", b"A : b", b"A\0: b", b"\xff: b", b"A(: b"),
        *(b"A: b\r\n Content-Length: 1", b" A: b"),
    ],
)
def test_header_lines_are_read_strictly(serve, line):
    check_is_none(serve(FIRST_LINE + line + b"\r\n" + BODY))
    check_is_none(serve(b"HTTP/1.1 103 X\r\n" + line + b"\r\n\r\n" + FIRST_LINE + BODY))


@pytest.mark.parametrize(
    "line, header",
    [
        (b"A:b", ("A", "b")),
        (b"A: \t b \t ", ("A", "b")),
        (b"A: b: c", ("A", "b: c")),
        (b"A:", ("A", "")),
        (b"!#$%&'*+-.^_`|~9z: \xfc\tb", ("!#$%&'*+-.^_`|~9z", "\xfc\tb")),
    ],
)
@pytest.mark.parametrize("end", [b"\r\n", b"\n"])
def test_headers_are_read(serve, line, header, end):
    check_is_answer(serve(FIRST_LINE + line + end + BODY), [header])


# Guards against bodies whose end is not known, or known in two ways, and that look
# complete: one that is cut, or one with bytes of its framing.
@pytest.mark.parametrize(
    "headers",
    [
        *(
            b"Content-Length: " + length + b"\r\n\r\n"
            for length in (
                *(b"", b"-2", b"+2", b"0x2", b"0_2", b"2x", b"2 2", b"2, 2", b"2, 4"),
                *(b"2;a", b"\xb2", b"0" * 5000 + b"2", b"18446744073709551618"),
            )
        ),
        b"Content-Length: 2\r\nContent-Length: 4\r\n\r\n",
        b"Content-Length: 2\r\nContent-Length: 2\r\n\r\n",
    ],
)
def test_a_length_is_one_number(serve, headers):
    check_is_none(serve(FIRST_LINE + headers + b"{}"))


@pytest.mark.parametrize(
    "headers",
    [
        *(
            b"Transfer-Encoding: " + codings + b"\r\n\r\n"
            for codings in (
                *(b"", b"gzip, chunked", b"gzip", b"identity", b"xchunked"),
                *(b"chunked, gzip", b"chunked, chunked"),
            )
        ),
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n",
        b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
        b"Content-Length: 2\r\nTransfer-Encoding: gzip\r\n\r\n",
    ],
)
def test_the_only_coding_is_chunked(serve, headers):
    check_is_none(serve(FIRST_LINE + headers + CHUNKS))


@pytest.mark.parametrize(
    "rest",
    [
        *(b"Content-Length: 002 \r\n\r\n{}", b"\r\n{}", CHUNKED + CHUNKS),
        b"transfer-encoding: Chunked \t\r\n\r\n" + CHUNKS,
    ],
)
def test_a_framed_body_is_read(serve, rest):
    check_is_answer(serve(FIRST_LINE + rest))


# Guards against chunks with other bytes between them, and against the head of another
# response that is read as a trailer.
@pytest.mark.parametrize(
    "chunks",
    [
        *(
            size + b"\r\n{}\r\n0\r\n\r\n"
            for size in (
                *(b"-2", b"+2", b"0x2", b"0_2", b" 2", b"", b"xyz", b"2 2", b"2\0"),
                *(b"10000000000000002", b"2;a\rb"),
            )
        ),
        *(b"2\r\n{}XX0\r\n\r\n", b"2\r\n{}\n\n0\r\n\r\n", b"2\r\n{}0\r\n\r\n"),
        *(b"2\r\n{}\r\n0\r\njunk\r\n\r\n", b"2\r\n{}\r\n0\r\n", b"2\r\n{}\r\n0"),
        b"2\r\n{}\r\n0\r\n" + FIRST_LINE + BODY,
        b"2\r\n{}\r\n0\r\n" + b"A: b\r\n" * 200 + b"\r\n",
    ],
)
def test_chunks_are_read_strictly(serve, chunks):
    check_is_none(serve(FIRST_LINE + CHUNKED + chunks))


@pytest.mark.parametrize(
    "chunks",
    [
        *(b"02\r\n{}\r\n0\r\n\r\n", b"1\r\n{\r\n1;a=b\r\n}\r\n00\r\n\r\n"),
        *(b"2 ;a\r\n{}\r\n0\r\n\r\n", b"2\r\n{}\r\n0\r\nA: b\r\nC: d\r\n\r\n"),
    ],
)
def test_chunks_are_joined(serve, chunks):
    check_is_answer(serve(FIRST_LINE + CHUNKED + chunks))


# Guards against a response that cannot have a body and is reported with one, and
# against connections that are used again with such bytes on them.
@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("rest", [BODY, CHUNKED + CHUNKS, b"\r\n{}"])
def test_a_status_without_a_body_has_none(serve, status, rest):
    address = serve(b"HTTP/1.1 %d X\r\n" % status + rest)
    result = call_service(address)
    assert (result.outcome, result.status) == (Outcome.ANSWERED.value, status)
    assert result.body == b""


@pytest.mark.parametrize("rest", [BODY, CHUNKED + CHUNKS, b"\r\n{}"])
def test_the_answer_to_a_head_request_has_no_body(serve, rest):
    result = call_service(serve(FIRST_LINE + rest), "HEAD")
    assert (result.outcome, result.body) == (Outcome.ANSWERED.value, b"")
