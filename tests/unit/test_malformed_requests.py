"""Requests of callers with framing that a router cannot read."""

import pytest

from bulrushdrum._internal.gateway.errors import BadRequest
from bulrushdrum._internal.gateway.parsing import RequestReader
from bulrushdrum._internal.world.routes import CallerLimits

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKS = b"\r\n\r\n2\r\nok\r\n0\r\n\r\n"


# Guards against a body in another coding that a server gets without its name.
@pytest.mark.parametrize("codings", [b"gzip, chunked", b"x, Chunked"])
@pytest.mark.parametrize("size", [1, 1000])
def test_a_transfer_coding_but_chunked_is_refused(codings, size):
    reader = RequestReader(CallerLimits)
    data = HEAD + b"Transfer-Encoding: " + codings + CHUNKS
    with pytest.raises(BadRequest) as caught:
        for start in range(0, len(data), size):
            reader.feed(data[start : start + size])
    assert caught.value.status == 501


@pytest.mark.parametrize("coding", [b"chunked", b"Chunked  "])
def test_chunks_are_read(coding):
    reader = RequestReader(CallerLimits)
    reader.feed(HEAD + b"Transfer-Encoding: " + coding + CHUNKS)
    assert reader.take().body == b"ok"
