"""HTTP messages and their metadata. Header names are lower-case bytes."""

from typing import NamedTuple

from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.world.statements import UpstreamStatements

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop headers and those that the router sets itself; never forwarded.
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class Request(NamedTuple):
    """A complete request of a caller; `target` is the path with its query."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    read_at: float

    @property
    def host(self) -> str:
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").rsplit(":", 1)[0].lower()
        return ""

    @property
    def path(self) -> str:
        return self.target.decode("latin-1").partition("?")[0]


class Generation(NamedTuple):
    """The size of a generation in tokens; the caller estimates `expected_output`."""

    prompt: float
    max_output: float
    expected_output: float | None


class RequestMetadata(NamedTuple):
    """Metadata from a caller's headers; `forwarded` are the headers to forward.

    `shared_parts` are the ids of the prompt parts that other requests may have too.
    """

    request_id: bytes
    seconds_left: float | None
    api_key: str | None
    generation: Generation | None
    resume_after: bytes | None
    forwarded: Headers
    shared_parts: tuple[str, ...] = ()


class ForwardingMetadata(NamedTuple):
    """Metadata that the router adds to a request to an upstream."""

    upstream_id: str
    seconds_left: float
    team: str | None = None
    hops: tuple[Hop, ...] = ()
    resume_after: bytes | None = None
    priority: int | None = None


class ResponseMetadata(NamedTuple):
    """Metadata from the headers of an upstream's response.

    `at_fault` is the address of the upstream on the path that caused a refusal.
    """

    request_id: bytes | None
    signed: bool
    has_not_run: bool
    upstream_id: str
    at_fault: str | None
    statements: UpstreamStatements


class Response(NamedTuple):
    """A complete response; `headers` has no hop-by-hop headers."""

    status: int
    headers: Headers
    body: bytes = b""


_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def end_to_end(headers: Headers) -> Headers:
    """Return the headers to forward, without hop-by-hop headers."""
    dropped = _CONNECTION_HEADERS
    for name, value in headers:
        if name == b"connection":
            named = {item.strip().lower() for item in value.split(b",")}
            dropped = dropped | named
    return [pair for pair in headers if pair[0] not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, b"Status"))
