"""HTTP clients that bound what a peer in trouble may send, and notice a cut head.

A body without an end would fill the memory of the process that reads it. Interim
responses without an end take no memory, but as long as they arrive quickly the reader
never waits, so no other task of the process runs and no timeout expires.

`http.client` takes the end of the connection for the end of a line and of the headers,
so half a head would be a whole response without a body. It also takes any status from
101 to 999 for that of a final response, and reads first lines that are none.
"""

import http.client
import io
import re

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import HTTPError

from bulrushdrum._internal.response_statuses import is_final, is_interim

# None of the requests asks for one; a proxy may send a few nevertheless.
_MAX_INTERIM_RESPONSES = 8
# As many as headers of `http.client`.
_MAX_TRAILERS = 100
_STATUSES_WITHOUT_BODY = (204, 304)
_MAX_LINE_BYTES = 65_536
# A line may end with LF alone (RFC 9112, section 2.2).
_FIRST_LINE_RE = re.compile(
    rb"(HTTP/1\.[01]) ([0-9]{3})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?\r?\n"
)
# As the router's parser reads them; folded lines (RFC 9112, section 5.2) are refused.
_HEADER_LINE_RE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*)\r?\n"
)
_LENGTH_RE = re.compile("[0-9]{1,18}")
_CHUNK_SIZE_RE = re.compile(
    rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n"
)
_EMPTY_LINES = (b"\r\n", b"\n")


class BodyTooLarge(HTTPError):
    """A response body exceeds the limit, in bytes."""

    def __init__(self, max_bytes: int):
        super().__init__(f"the body exceeds {max_bytes} bytes")


def read_body(response, max_bytes: int) -> bytes:
    """Return the body of a response of urllib3 or `http.client`.

    Raises `BodyTooLarge`, or an error of the library if the body is cut. The connection
    must then be closed, because the rest of the body is still on it.
    """
    body = response.read(max_bytes + 1)
    if len(body) > max_bytes:
        raise BodyTooLarge(max_bytes)
    # `http.client` does not check the length if the size to read is limited.
    missing = getattr(response, "length", None)
    if missing:
        raise http.client.IncompleteRead(body, missing)
    return body


def ends_with_connection(response) -> bool:
    """Whether the body of a response has neither a length nor chunks."""
    if response.chunked:
        return False
    if isinstance(response, http.client.HTTPResponse):
        return response.length is None
    return response.length_remaining is None


class _LineReader(io.BufferedReader):
    """A reader of the lines of the head and of chunks; each must end as a line.

    `http.client` takes a CR alone for the end of a header, and skips lines that are
    none. While `reads_headers`, each line must be a header or empty.
    """

    reads_headers = False

    def readline(self, size=-1):
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected(
                "the connection ended inside the response"
            )
        if not self.reads_headers or line in _EMPTY_LINES:
            return line
        match = _HEADER_LINE_RE.fullmatch(line)
        if match is None:
            raise http.client.HTTPException(f"malformed header: {line[:100]!r}")
        return match[1].rstrip(b" \t") + b"\r\n"


class BoundedResponse(http.client.HTTPResponse):
    """A response that fails if its head is cut or has a status that HTTP does not have.

    Interim responses are skipped, and too many of them fail as well.
    """

    _heads = 0

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.fp = _LineReader(self.fp.detach())

    def begin(self):
        super().begin()
        self.fp.reads_headers = False
        self._check_framing()
        if self.status in _STATUSES_WITHOUT_BODY and self.chunked:
            self.chunked, self.length = False, 0
            # The server may send chunks nevertheless.
            self.will_close = True

    def _check_framing(self):
        """Raise an error unless the end of the body is known in one way or none."""
        lengths = self.headers.get_all("Content-Length", [])
        codings = self.headers.get_all("Transfer-Encoding", [])
        framings = [*map(_LENGTH_RE.fullmatch, lengths)]
        framings += [coding.lower() == "chunked" for coding in codings]
        if len(framings) > 1 or not all(framings):
            self._close_conn()
            raise http.client.HTTPException(
                f"malformed framing: lengths {lengths}, codings {codings}"
            )

    def _read_status(self):
        while True:
            self._heads += 1
            if self._heads > _MAX_INTERIM_RESPONSES + 1:
                self._close_conn()
                raise http.client.HTTPException(
                    f"more than {_MAX_INTERIM_RESPONSES} interim responses"
                )
            version, status, reason = self._read_first_line()
            if is_final(status):
                return version, status, reason
            headers = http.client.parse_headers(self.fp)
            is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
            if is_framed or not is_interim(status):
                self._close_conn()
                raise http.client.BadStatusLine(f"{status} is no final status")

    # `http.client` skips the two bytes behind a chunk, whatever they are, reads sizes
    # with `int`, and skips trailers until an empty line, however many there are.
    def _get_chunk_left(self):
        if self.chunk_left == 0:
            if self._safe_read(2) != b"\r\n":
                self._close_conn()
                raise http.client.HTTPException("malformed end of a chunk")
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self):
        line = self.fp.readline(_MAX_LINE_BYTES + 1)
        match = _CHUNK_SIZE_RE.fullmatch(line)
        if match is None:
            self._close_conn()
            raise http.client.HTTPException(f"malformed chunk size: {line[:100]!r}")
        return int(match[1], 16)

    def _read_and_discard_trailer(self):
        self.fp.reads_headers = True
        for _ in range(_MAX_TRAILERS + 1):
            if self.fp.readline(_MAX_LINE_BYTES + 1) in _EMPTY_LINES:
                return
        self._close_conn()
        raise http.client.HTTPException(f"more than {_MAX_TRAILERS} trailers")

    def _read_first_line(self):
        """Return version, status and reason; `http.client` would read them laxly."""
        self.fp.reads_headers = False
        line = self.fp.readline(_MAX_LINE_BYTES + 1)
        self.fp.reads_headers = True
        match = _FIRST_LINE_RE.fullmatch(line)
        if match is None:
            self._close_conn()
            raise http.client.BadStatusLine(repr(line[:100]))
        version, status, reason = match.groups(default=b"")
        return version.decode(), int(status), reason.decode("latin-1")


class BoundedConnection(HTTPConnection):
    """A connection whose responses are `BoundedResponse`."""

    response_class = BoundedResponse


class BoundedConnectionPool(HTTPConnectionPool):
    """A pool of `BoundedConnection`."""

    ConnectionCls = BoundedConnection
