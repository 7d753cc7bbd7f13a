"""Bounds on what callers send: for each request, and for all connections together.

The load: callers that send without end, in very small parts, or that stop just before
the end of a request and keep their connection. A byte counts when it is received.
"""

import io
import time
from typing import NamedTuple

from gevent import socket
from gevent.pywsgi import Input

from bulrushdrum._internal.event_loop import run_other_tasks_if_due

# How long a connection may stay open between two requests.
IDLE_SECONDS = 30.0
# A body of one-byte chunks takes six bytes on the wire for each byte.
_MAX_WIRE_BYTES_PER_BODY_BYTE = 8
_WIRE_ALLOWANCE_BYTES = 65_536
_PART_BYTES = 8192
# The parser keeps each chunk of a part as an object until the part is whole.
_SMALL_CHUNKS_PART_BYTES = 1024


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


class BodyBudget:
    """The bytes of all bodies that a process is receiving.

    Over `limit`, the bodies that hold most are shed, at equal size the oldest, so that
    small requests are still received. A holder has a method `shed`.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._held: dict = {}
        self._total = 0

    @property
    def total(self) -> int:
        return self._total

    def add(self, holder, size: int):
        self._held[holder] = self._held.get(holder, 0) + size
        self._total += size
        while self._total > self._limit:
            largest = max(self._held, key=self._held.get)
            self.release(largest)
            largest.shed()

    def release(self, holder):
        self._total -= self._held.pop(holder, 0)


class ConnectionTable:
    """The open connections of a server, and which one is closed for a new one.

    Idle connections are closed first, then those that have been sending a request for
    longest. Those whose request has arrived are kept.
    """

    def __init__(self, limit: int):
        self._limit = limit
        # Ordered by when a connection came into its state.
        self._idle: dict = {}
        self._receiving: dict = {}
        self._running: dict = {}

    def __len__(self):
        return len(self._idle) + len(self._receiving) + len(self._running)

    def __iter__(self):
        return iter([*self._idle, *self._receiving, *self._running])

    def set_idle(self, connection):
        self._move(connection, self._idle)

    def set_receiving(self, connection):
        if connection not in self._receiving:
            self._move(connection, self._receiving)

    def set_running(self, connection):
        self._move(connection, self._running)

    def remove(self, connection):
        for state in (self._idle, self._receiving, self._running):
            state.pop(connection, None)

    def excess(self):
        """Return the connection to close, or None while the limit is kept."""
        if len(self) <= self._limit:
            return None
        return next(iter(self._idle or self._receiving), None)

    def _move(self, connection, state):
        self.remove(connection)
        state[connection] = None


class CallerStream(io.RawIOBase):
    """Reads a caller's socket, bounded in bytes and time for each request.

    Raises `TimeoutError` for a late request, `RequestRefused` for one over the limit.
    `on_begin` is called when the first bytes of a request are received.
    """

    def __init__(self, sock, limits: RequestLimits, on_begin):
        self._sock = sock
        self._limits = limits
        self._on_begin = on_begin
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
            self._on_begin()
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


class BoundedInput(Input):
    """A body whose storage takes about its bytes, whatever the sizes of its chunks.

    `refusal_code` is set after a failed read, and the connection must then be closed.
    `on_received` is called when the application has read all of the body.
    """

    def __init__(self, pywsgi_input: Input, sock, limits, budget, on_received):
        super().__init__(
            pywsgi_input.rfile,
            pywsgi_input.content_length,
            pywsgi_input.socket,
            pywsgi_input.chunked_input,
        )
        self._sock = sock
        self._limits = limits
        self._budget = budget
        self._on_received = on_received
        self._is_shed = False
        self._received = 0
        is_too_large = (self.content_length or 0) > limits.body_bytes
        self.refusal_code = self._too_large().code if is_too_large else ""

    @property
    def is_empty(self) -> bool:
        return not self.chunked_input and not self.content_length

    def shed(self):
        """Let the reader of the body refuse the request."""
        self._is_shed = True
        try:
            # Ends a read that waits. The response can still be written.
            self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass  # the caller has disconnected

    def read(self, length=None):
        if length is None or length < 0:
            length = self._limits.body_bytes + 1
        data = bytearray()
        try:
            while len(data) < length:
                part = self._read_part(length - len(data))
                if not part:
                    self._on_received()
                    break
                data += part
        except (OSError, ValueError, RequestRefused) as error:
            # The traceback of the error keeps the bytes while the response is sent.
            data.clear()
            refusal = self._to_refusal(error)
            self.refusal_code = refusal.code
            raise refusal from error
        finally:
            self._budget.release(self)
        return bytes(data)

    def _read_part(self, length):
        size = min(length, _PART_BYTES)
        if self.chunked_input:
            left_of_chunk = self.chunk_length - self.position
            size = min(size, max(left_of_chunk, _SMALL_CHUNKS_PART_BYTES))
        part = super().read(size)
        self._received += len(part)
        if self._received > self._limits.body_bytes:
            raise self._too_large()
        self._budget.add(self, len(part))
        if self._is_shed:
            raise OSError("shed")
        return part

    def _too_large(self) -> RequestRefused:
        message = f"the body is over the limit of {self._limits.body_bytes} bytes"
        return RequestRefused("request_too_large", message)

    def _to_refusal(self, error) -> RequestRefused:
        if self._is_shed:
            message = "this process is receiving too many large bodies"
            return RequestRefused("overloaded", message)
        match error:
            case RequestRefused():
                return error
            case TimeoutError():
                return RequestRefused("request_timeout", str(error))
            case _:
                message = f"the body was cut off: {error}"
                return RequestRefused("invalid_request", message)

    def _discard(self):
        if self.refusal_code:
            return
        try:
            super()._discard()
        except RequestRefused:
            pass  # `refusal_code` is set


def read_body(request, limit: int) -> bytes:
    """Return the body of a bottle request; raises `RequestRefused` over the limit."""
    if request.content_length > limit:
        raise RequestRefused(
            "request_too_large",
            f"the body has {request.content_length} bytes, the limit is {limit}",
        )
    data = request.environ["wsgi.input"].read(limit + 1)
    if len(data) > limit:
        message = f"the body is over the limit of {limit} bytes"
        raise RequestRefused("request_too_large", message)
    if 0 <= request.content_length > len(data):
        raise RequestRefused("invalid_request", "the body is shorter than announced")
    return data
