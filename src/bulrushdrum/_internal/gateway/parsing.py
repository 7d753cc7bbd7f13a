"""Incremental HTTP parsers for requests and responses, based on httptools."""

import time
from collections import deque
from collections.abc import Callable

import httptools

from bulrushdrum._internal.gateway.body_buffer import BodyBuffer
from bulrushdrum._internal.gateway.caller_budget import LARGE_BODY_BYTES
from bulrushdrum._internal.gateway.errors import (
    BadRequest,
    ResponseTooLarge,
    UpstreamFailed,
)
from bulrushdrum._internal.gateway.messages import Headers, Request
from bulrushdrum._internal.response_statuses import is_final, is_interim
from bulrushdrum._internal.settings.router import ResponseLimits
from bulrushdrum._internal.world.routes import CallerLimits

_DEFAULT_RESPONSE_LIMITS = ResponseLimits()
_PROTOCOL = b"HTTP/"
_HTTP_VERSIONS = ("1.0", "1.1")
_CODINGS_HEADER, _CHUNKED = b"transfer-encoding", b"chunked"
# The first line of a request and the blanks around values, which do not count as bytes
# of headers, may take this much.
_HEAD_ALLOWANCE_BYTES = 1024
# The objects of a request, and of one header: a pair and two byte strings, rounded up
# as the allocator does, without the bytes of the header.
_REQUEST_OBJECT_BYTES = 700
_HEADER_OBJECT_BYTES = 160


class RequestReader:
    """Parses the requests received on one connection.

    `limits()` returns the limits in force. A request may be as large as those at its
    begin or the current ones allow. `accepts_large_body(length)` returns whether there
    is memory for a large body; `length` is None if it is not announced.

    The parser passes on a header when it is complete, so bytes count as soon as they
    are received: those of a head that has not ended, and those between two parts of a
    body.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        accepts_large_body: Callable[[int | None], bool] = lambda length: True,
    ):
        self.requests: deque[Request] = deque()
        self._limits = limits
        self._accepts_large_body = accepts_large_body
        self._limits_at_begin = limits()
        self._parser = httptools.HttpRequestParser(self)
        self._started = False
        # Bytes of whole pieces since the parser last passed on something that had
        # ended: a request, a head or a part of a body.
        self._unended_bytes = 0
        self._has_progressed = False
        self._queued_bytes = 0
        self._reset()

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has been received."""
        return self._started

    @property
    def held_bytes(self) -> int:
        """The approximate memory of what was received and not yet taken."""
        held_bytes = self._queued_bytes + self._unended_bytes
        if not self._started:
            return held_bytes
        return (
            held_bytes
            + self._header_bytes
            + len(self._headers) * _HEADER_OBJECT_BYTES
            + self._body.held_bytes
        )

    def take(self) -> Request:
        """Remove and return the first complete request."""
        request = self.requests.popleft()
        self._queued_bytes -= request_bytes(request)
        return request

    def close(self):
        """Free all that is held; nothing can be parsed any more.

        The parser and this object refer to each other, so they would keep it until the
        next garbage collection.
        """
        self._parser = None
        self.requests.clear()
        self._queued_bytes = self._unended_bytes = 0
        self._started = False
        self._reset()

    def feed(self, data: bytes):
        """Parse `data`; raises `BadRequest`."""
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except BadRequest:
            raise
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "protocol upgrades are not supported") from None
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequest):
                raise cause from None
            raise BadRequest(400, f"malformed request: {error}") from error
        if self._has_progressed:
            self._unended_bytes = 0
            return
        self._unended_bytes += len(data)
        if self._unended_bytes > self._limits_at_begin.header_bytes:
            self._check_unended_bytes()

    def _check_unended_bytes(self):
        max_bytes = self._limits().header_bytes
        if self._unended_bytes > max_bytes + _HEAD_ALLOWANCE_BYTES:
            part = "framing of the body" if self._has_head else "headers"
            raise BadRequest(431, f"{part} exceed {max_bytes} bytes")

    def _reset(self):
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._body = BodyBuffer()
        self._has_head = False
        self._is_large = False

    def on_message_begin(self):
        self._started = True
        self._limits_at_begin = self._limits()

    def on_url(self, url):
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))
        self._count_header_bytes(len(name) + len(value) + 4)

    def _count_header_bytes(self, count):
        self._header_bytes += count
        if self._header_bytes > self._limits_at_begin.header_bytes:
            max_bytes = self._limits().header_bytes
            if self._header_bytes > max_bytes:
                raise BadRequest(431, f"headers exceed {max_bytes} bytes")

    def on_headers_complete(self):
        self._has_head = self._has_progressed = True
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                self._check_body_bytes(int(value))
                self._check_large_body(int(value), int(value))
            # Servers would get a body in another coding without its name.
            if name == _CODINGS_HEADER and value.strip(b" ").lower() != _CHUNKED:
                coding = value.decode("latin-1")
                raise BadRequest(501, f"transfer coding {coding!r} is not supported")

    def on_body(self, body):
        self._has_progressed = True
        self._body.append(body)
        self._check_body_bytes(self._body.size)
        self._check_large_body(self._body.size, None)

    def _check_large_body(self, count, length):
        if count > LARGE_BODY_BYTES and not self._is_large:
            self._is_large = True
            if not self._accepts_large_body(length):
                raise BadRequest(503, "this router has no memory for the body")

    def _check_body_bytes(self, count):
        if count > self._limits_at_begin.body_bytes:
            max_bytes = self._limits().body_bytes
            if count > max_bytes:
                raise BadRequest(413, f"the body exceeds {max_bytes} bytes")

    def on_message_complete(self):
        self._has_progressed = True
        request = Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            self._body.join(),
            self._parser.should_keep_alive(),
            time.monotonic(),
        )
        self.requests.append(request)
        self._queued_bytes += request_bytes(request)
        self._started = False
        self._reset()


def request_bytes(request: Request) -> int:
    """Return the approximate memory that a request takes."""
    objects = _REQUEST_OBJECT_BYTES + len(request.headers) * _HEADER_OBJECT_BYTES
    return objects + len(request.target) + len(request.body)


class ResponseReader:
    """Parses the response to one request; `body` holds the parts not yet consumed.

    Trailers are discarded. A head over `limits.head_bytes`, or as many bytes of framing
    between two parts of the body, raises `ResponseTooLarge`; `body_bytes` counts the
    body, which the reader does not limit. The response to a `HEAD` request has no body,
    whatever its headers say.
    """

    def __init__(
        self,
        limits: ResponseLimits = _DEFAULT_RESPONSE_LIMITS,
        is_head_request: bool = False,
    ):
        self.status = 0
        self.headers: Headers = []
        self.body: deque[bytes] = deque()
        self.body_bytes = 0
        self.has_head = False
        self.is_complete = False
        self.ends_with_connection = False
        self.keep_alive = False
        self.has_excess_data = False
        self._max_head_bytes = limits.head_bytes
        self._is_head_request = is_head_request
        # Bytes received since the last part of the body, or in total before the head.
        self._bytes_without_progress = 0
        self._first_bytes = b""
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes):
        """Parse `data`; raises `UpstreamFailed` if it is not a valid HTTP response."""
        self._bytes_without_progress += len(data)
        if len(self._first_bytes) < len(_PROTOCOL):
            self._check_protocol(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.is_complete:
                # Data after a complete response belongs to no request.
                self.has_excess_data = True
                return
            cause = error.__context__
            if isinstance(cause, UpstreamFailed):
                raise cause from None
            raise UpstreamFailed(f"malformed answer: {error}", True) from error
        if self._bytes_without_progress > self._max_head_bytes and not self.is_complete:
            part = "framing of the body" if self.has_head else "head"
            raise ResponseTooLarge(part, self._max_head_bytes)

    def _check_protocol(self, data):
        """Raise `UpstreamFailed` for RTSP and ICE, which the parser accepts too."""
        first_bytes = (self._first_bytes + data).lstrip(b"\r\n")
        self._first_bytes = first_bytes[: len(_PROTOCOL)]
        if not _PROTOCOL.startswith(self._first_bytes):
            raise UpstreamFailed("malformed answer: another protocol", True)

    def on_message_begin(self):
        if self.is_complete:
            self.has_excess_data = True

    def on_header(self, name, value):
        if not self.has_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        if self.is_complete:
            return
        self.status = self._parser.get_status_code()
        names = {name for name, _ in self.headers}
        framed = b"content-length" in names or _CODINGS_HEADER in names
        self._check_head(framed)
        self.ends_with_connection = not framed and self.status not in (204, 304)
        self.has_head = is_final(self.status)
        self.keep_alive = self._parser.should_keep_alive()
        if self.has_head:
            self._bytes_without_progress = 0
            self.is_complete = self._is_head_request

    def _check_head(self, framed):
        """Raise `UpstreamFailed` if the head is that of no response."""
        if self._parser.get_http_version() not in _HTTP_VERSIONS:
            raise UpstreamFailed("malformed answer: another version of HTTP", True)
        if not (is_final(self.status) or is_interim(self.status)):
            raise UpstreamFailed(f"malformed answer: status {self.status:03}", True)
        if framed and is_interim(self.status):
            raise UpstreamFailed("malformed answer: interim and with a body", True)
        # Callers would get a body in another coding without its name. The parser takes
        # `chunked` with a tab behind it for another coding too.
        codings = [value for name, value in self.headers if name == _CODINGS_HEADER]
        if codings and [coding.strip(b" ").lower() for coding in codings] != [_CHUNKED]:
            raise UpstreamFailed("malformed answer: codings other than chunked", True)

    def on_body(self, body):
        if self.is_complete:
            self.has_excess_data = True
            return
        self.body.append(body)
        self.body_bytes += len(body)
        self._bytes_without_progress = 0

    def on_message_complete(self):
        if is_interim(self.status):
            self.headers = []
            return
        self.is_complete = True

    def feed_eof(self):
        """Complete a response that is delimited by the end of the connection."""
        if self.has_head and self.ends_with_connection:
            self.is_complete = True
