"""Incremental HTTP parsers for requests and responses, based on httptools."""

import time
from collections import deque
from collections.abc import Callable

import httptools

from bulrushdrum._internal.gateway.errors import (
    BadRequest,
    ResponseTooLarge,
    UpstreamFailed,
)
from bulrushdrum._internal.gateway.messages import Headers, Request
from bulrushdrum._internal.settings.router import ResponseLimits
from bulrushdrum._internal.world.routes import CallerLimits

_DEFAULT_RESPONSE_LIMITS = ResponseLimits()
# The first line of a request and the blanks around values, which do not count as bytes
# of headers, may take this much.
_HEAD_ALLOWANCE_BYTES = 1024


class RequestReader:
    """Parses the requests received on one connection.

    `limits()` returns the limits in force. A request may be as large as those at its
    begin or the current ones allow.

    The parser passes on a header when it is complete, so bytes count as soon as they
    are received: those of a head that has not ended, and those between two parts of a
    body.
    """

    def __init__(self, limits: Callable[[], CallerLimits]):
        self.requests: deque[Request] = deque()
        self._limits = limits
        self._limits_at_begin = limits()
        self._parser = httptools.HttpRequestParser(self)
        self._started = False
        # Bytes of whole pieces since the parser last passed on something that had
        # ended: a request, a head or a part of a body.
        self._unended_bytes = 0
        self._has_progressed = False
        self._reset()

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has been received."""
        return self._started

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
        self._body: bytes | bytearray = b""
        self._has_head = False

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

    def on_body(self, body):
        self._has_progressed = True
        if not self._body:
            self._body = body
        else:
            # One buffer, because an object for each chunk costs a multiple of its size.
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body
        self._check_body_bytes(len(self._body))

    def _check_body_bytes(self, count):
        if count > self._limits_at_begin.body_bytes:
            max_bytes = self._limits().body_bytes
            if count > max_bytes:
                raise BadRequest(413, f"the body exceeds {max_bytes} bytes")

    def on_message_complete(self):
        self._has_progressed = True
        self.requests.append(
            Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
                time.monotonic(),
            )
        )
        self._started = False
        self._reset()


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
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes):
        """Parse `data`; raises `UpstreamFailed` if it is not a valid HTTP response."""
        self._bytes_without_progress += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.is_complete:
                # Data after a complete response belongs to no request.
                self.has_excess_data = True
                return
            raise UpstreamFailed(f"malformed answer: {error}", True) from error
        if self._bytes_without_progress > self._max_head_bytes and not self.is_complete:
            part = "framing of the body" if self.has_head else "head"
            raise ResponseTooLarge(part, self._max_head_bytes)

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
        framed = b"content-length" in names or b"transfer-encoding" in names
        self.ends_with_connection = not framed and self.status not in (204, 304)
        self.has_head = self.status >= 200
        self.keep_alive = self._parser.should_keep_alive()
        if self.has_head:
            self._bytes_without_progress = 0
            self.is_complete = self._is_head_request

    def on_body(self, body):
        if self.is_complete:
            self.has_excess_data = True
            return
        self.body.append(body)
        self.body_bytes += len(body)
        self._bytes_without_progress = 0

    def on_message_complete(self):
        if self.status < 200:
            # An interim response; the final one follows.
            self.headers = []
            return
        self.is_complete = True

    def feed_eof(self):
        """Complete a response that is delimited by the end of the connection."""
        if self.has_head and self.ends_with_connection:
            self.is_complete = True
