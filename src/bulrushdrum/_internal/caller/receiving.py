"""Bounds on what callers send: for each request, and for all connections together.

The load: callers that send without end, in very small parts, or that stop just before
the end of a request and keep their connection. A byte counts when it is received.
"""

import io
import time
from typing import NamedTuple

from bulrushdrum._internal.event_loop import run_other_tasks_if_due

# How long a connection may stay open between two requests.
IDLE_SECONDS = 30.0
# A body of one-byte chunks takes six bytes on the wire for each byte.
_MAX_WIRE_BYTES_PER_BODY_BYTE = 8
_WIRE_ALLOWANCE_BYTES = 65_536


class RequestLimits(NamedTuple):
    """Limits of one request. All of it must arrive within `read_seconds`."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    read_seconds: float = 30.0

    @property
    def wire_bytes(self) -> int:
        """Bytes of a request with its chunk sizes, extensions and trailers."""
        body = _MAX_WIRE_BYTES_PER_BODY_BYTE * self.body_bytes
        return body + self.header_bytes + _WIRE_ALLOWANCE_BYTES


class RequestRefused(Exception):
    """A request that has not run and is refused while it is received."""

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class CallerStream(io.RawIOBase):
    """Reads a caller's socket, bounded in bytes and time for each request.

    Raises `TimeoutError` for a late request, `RequestRefused` for one over the limit.
    """

    def __init__(self, sock, limits: RequestLimits):
        self._sock = sock
        self._limits = limits
        self.begin_request()

    def begin_request(self):
        self._deadline = None
        self._bytes_left = self._limits.wire_bytes

    def readable(self):
        return True

    def readinto(self, buffer):
        # A caller that always has bytes to read keeps other tasks from running.
        run_other_tasks_if_due()
        seconds = IDLE_SECONDS
        if self._deadline is not None:
            seconds = self._deadline - time.monotonic()
            if seconds <= 0:
                raise TimeoutError("the request did not arrive in time")
        write_timeout = self._sock.gettimeout()
        self._sock.settimeout(seconds)
        try:
            received = self._sock.recv_into(buffer)
        finally:
            self._sock.settimeout(write_timeout)
        if self._deadline is None:
            self._deadline = time.monotonic() + self._limits.read_seconds
        self._bytes_left -= received
        if self._bytes_left < 0:
            raise RequestRefused(
                "request_too_large",
                f"the request takes over {self._limits.wire_bytes} bytes with its "
                "chunk sizes, extensions and trailers",
            )
        return received


class HeaderLines:
    """The lines of a header section; raises `RequestRefused` over the limit."""

    def __init__(self, reader, limit: int):
        self._reader = reader
        self._limit = self._left = limit

    def readline(self, size: int) -> bytes:
        line = self._reader.readline(min(size, self._left + 1))
        self._left -= len(line)
        if self._left < 0:
            message = f"the header section is over the limit of {self._limit} bytes"
            raise RequestRefused("request_too_large", message)
        return line
