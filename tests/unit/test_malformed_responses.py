"""Bytes that are no response of HTTP, or of which a part is none (RFC 9110, 9112)."""

import pytest

from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.parsing import ResponseReader

CHUNKED = b"\r\n\r\n2\r\nok\r\n0\r\n\r\n"


def read(data, size):
    """Return a reader that was fed `data` in pieces of `size` bytes."""
    reader = ResponseReader()
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
    return reader


# Guards against a body whose coding callers are not told of, or that a router waits
# for although its end cannot be known.
@pytest.mark.parametrize(
    "codings",
    [
        *(b"gzip, chunked", b"gzip", b"identity", b"xchunked", b"chunked, gzip"),
        b"chunked\t",
        *(b"chunked, chunked", b"chunked\r\nTransfer-Encoding: chunked"),
    ],
)
@pytest.mark.parametrize("size", [1, 1000])
def test_a_router_reads_no_transfer_coding_but_chunked(codings, size):
    with pytest.raises(UpstreamFailed):
        read(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings + CHUNKED, size)


@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b" chunked  "])
def test_a_router_reads_chunks(coding):
    reader = read(b"HTTP/1.1 200 OK\r\nTransfer-Encoding:" + coding + CHUNKED, 1000)
    assert (reader.is_complete, b"".join(reader.body)) == (True, b"ok")


# Guards against a response of another protocol that callers get as one of HTTP.
@pytest.mark.parametrize("protocol", [b"RTSP", b"ICE"])
@pytest.mark.parametrize("begin", [b"", b"\r\n" * 600])
@pytest.mark.parametrize("size", [1, 1000])
def test_a_router_reads_no_other_protocol(protocol, begin, size):
    with pytest.raises(UpstreamFailed):
        read(begin + protocol + b"/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", size)


@pytest.mark.parametrize("size", [1, 1000])
def test_a_router_reads_http(size):
    reader = read(
        b"\r\n" * 600 + b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", size
    )
    assert (reader.is_complete, b"".join(reader.body)) == (True, b"ok")
