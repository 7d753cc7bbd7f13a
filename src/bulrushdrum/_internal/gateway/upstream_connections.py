"""Connections to upstreams, and a pool that keeps idle ones for reuse."""

import time
from collections import deque

import gevent
from gevent import socket

from bulrushdrum._internal.gateway.errors import ConnectionRefused, UpstreamFailed
from bulrushdrum._internal.gateway.messages import Headers
from bulrushdrum._internal.gateway.parsing import ResponseReader
from bulrushdrum._internal.gateway.readiness import is_readable
from bulrushdrum._internal.settings.router import ResponseLimits

_DEFAULT_RESPONSE_LIMITS = ResponseLimits()
_RECEIVE_BYTES = 16_384
# Reading returns at once while data is available, so that a fast upstream would keep
# all other tasks from running. Others run after this many bytes.
_YIELD_BYTES = 16_384
CONNECT_TIMEOUT_SECONDS = 0.35
# An idle connection is not reused within this time before the upstream's keep-alive
# timeout, because the upstream may close it while the request is sent.
_IDLE_MARGIN_SECONDS = 0.6
# How many refused requests are remembered for each connection.
_MAX_REFUSED_IDS = 64
# Used for upstreams that send no keep-alive timeout.
_DEFAULT_KEEP_ALIVE_SECONDS = 4.0


class UpstreamConnection:
    """One connection to one upstream; carries one request at a time."""

    def __init__(self, address: str, limits: ResponseLimits):
        host, _, port = address.rpartition(":")
        self.address = address
        self.is_new = True
        self.limits = limits
        # Requests that were refused on this connection.
        self.refused_ids: deque[bytes] = deque(maxlen=_MAX_REFUSED_IDS)
        self._bytes_since_yield = 0
        self.expires_at = 0.0
        self._reader: ResponseReader | None = None
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        try:
            sock.connect((host, int(port)))
        except OSError as error:
            sock.close()
            unresponsive = isinstance(error, TimeoutError)
            message = f"cannot connect to {address}: {error}"
            if isinstance(error, ConnectionRefusedError):
                raise ConnectionRefused(message) from error
            raise UpstreamFailed(message, False, unresponsive) from error
        self._socket = sock

    def send(
        self, data: bytes, timeout: float, is_head_request: bool = False
    ) -> ResponseReader:
        """Send a request and return the reader of its response."""
        self._reader = ResponseReader(self.limits, is_head_request)
        self._socket.settimeout(max(timeout, 0.001))
        try:
            self._socket.sendall(data)
        except OSError as error:
            # The upstream may have read the complete request despite the error.
            raise UpstreamFailed(f"sending failed: {error}", True) from error
        return self._reader

    def receive(self, timeout: float) -> bool:
        """Feed received data to the reader; return False if the timeout expired.

        Raises `UpstreamFailed` if the connection closes before the response ends.
        """
        self._socket.settimeout(max(timeout, 0.001))
        try:
            data = self._socket.recv(_RECEIVE_BYTES)
        except OSError as error:
            # A timeout of the connection itself has an error number. It is reported
            # once; the next read would return the end of the connection.
            if isinstance(error, TimeoutError) and error.errno is None:
                return False
            raise UpstreamFailed(f"connection lost: {error}", True) from error
        if data:
            self._reader.feed(data)
            self._bytes_since_yield += len(data)
            if self._bytes_since_yield > _YIELD_BYTES:
                self._bytes_since_yield = 0
                _run_other_tasks()
            return True
        self._reader.feed_eof()
        if not self._reader.is_complete:
            raise UpstreamFailed("connection closed before the answer's end", True)
        self._reader.keep_alive = False
        return True

    def is_reusable(self) -> bool:
        reader = self._reader
        return (
            reader is not None
            and reader.is_complete
            and reader.keep_alive
            and not reader.has_excess_data
            and not reader.ends_with_connection
        )

    def fileno(self) -> int:
        return self._socket.fileno()

    def has_pending_input(self) -> bool:
        """Whether data, or the end of the connection, waits to be read.

        On an idle connection that is excess data, or its end.
        """
        return is_readable(self._socket)

    def close(self):
        self._socket.close()


def refuses_connections(address: str) -> bool:
    """Whether nothing listens at `address`; false if it does not answer."""
    try:
        UpstreamConnection(address, _DEFAULT_RESPONSE_LIMITS).close()
    except ConnectionRefused:
        return True
    except UpstreamFailed:
        return False
    return False


def _run_other_tasks():
    """Let one iteration of the event loop run, with timers and sockets that are ready.

    `gevent.sleep(0)` only lets tasks run that wait for neither: the loop looks at these
    after 50 such calls.
    """
    hub = gevent.get_hub()
    with hub.loop.timer(0) as timer:
        hub.wait(timer)


def keep_alive_seconds(headers: Headers) -> float:
    """Return the timeout of the `Keep-Alive` header, or the default."""
    for name, value in headers:
        if name == b"keep-alive":
            for item in value.split(b","):
                key, _, number = item.strip().partition(b"=")
                if key.lower() == b"timeout" and number.strip().isdigit():
                    return float(number)
    return _DEFAULT_KEEP_ALIVE_SECONDS


class ConnectionPool:
    """Pool of idle connections by address; `limits` bound each response."""

    def __init__(self, limits: ResponseLimits = _DEFAULT_RESPONSE_LIMITS):
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._limits = limits
        self.opened = 0
        # Responses that were aborted because they exceeded a limit.
        self.oversized_responses = 0

    def acquire(
        self, address: str, request_id: bytes = b"", force_new: bool = False
    ) -> UpstreamConnection:
        """Return an idle connection or a new one; raises `UpstreamFailed`.

        A connection on which the request was refused before is not used for it: a late
        copy of the refusal could not be told from the new response.
        """
        idle = self._idle.get(address, ())
        now = time.monotonic()
        for connection in [] if force_new else reversed(list(idle)):
            if connection.expires_at > now and not connection.has_pending_input():
                if request_id in connection.refused_ids:
                    continue
                idle.remove(connection)
                connection.is_new = False
                return connection
            idle.remove(connection)
            connection.close()
        self.opened += 1
        return UpstreamConnection(address, self._limits)

    def release(self, connection: UpstreamConnection, headers: Headers):
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable():
            connection.close()
            return
        lifetime = keep_alive_seconds(headers) - _IDLE_MARGIN_SECONDS
        connection.expires_at = time.monotonic() + lifetime
        if lifetime <= 0:
            connection.close()
            return
        self._idle.setdefault(connection.address, deque()).append(connection)

    def drop_address(self, address: str):
        """Close the idle connections to an upstream that failed."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self):
        now = time.monotonic()
        for address, idle in list(self._idle.items()):
            while idle and idle[0].expires_at <= now:
                idle.popleft().close()
            if not idle:
                del self._idle[address]
