"""Connections to upstreams: kept open, reused with care, bounded in number."""

import select
import time
from collections import deque

from gevent import socket

from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.messages import Headers
from bulrushdrum._internal.gateway.parsing import ResponseReader

_RECEIVE_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 0.35
# An idle connection is not used once it comes this close to the upstream's timeout, in
# seconds: the upstream may be closing it just then.
_IDLE_MARGIN_SECONDS = 0.6
# Used for upstreams that do not state a timeout.
_DEFAULT_IDLE_SECONDS = 4.0


class UpstreamConnection:
    """One connection to one upstream; carries one request at a time."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.address = address
        self.is_fresh = True
        self.idle_until = 0.0
        self._reader: ResponseReader | None = None
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        try:
            sock.connect((host, int(port)))
        except OSError as error:
            sock.close()
            silent = isinstance(error, TimeoutError)
            message = f"cannot connect to {address}: {error}"
            raise UpstreamFailed(message, False, silent) from error
        self._socket = sock

    def send(self, data: bytes, timeout: float) -> ResponseReader:
        """Send a request and return the reader of its answer."""
        self._reader = ResponseReader()
        self._socket.settimeout(max(timeout, 0.001))
        try:
            self._socket.sendall(data)
        except OSError as error:
            # An upstream may have read all of a request whose sending failed.
            raise UpstreamFailed(f"sending failed: {error}", True) from error
        return self._reader

    def receive(self, timeout: float) -> bool:
        """Feed what comes in to the reader; return False if nothing came in time.

        Raises `UpstreamFailed` if the connection ends before the answer does.
        """
        self._socket.settimeout(max(timeout, 0.001))
        try:
            data = self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError:
            return False
        except OSError as error:
            raise UpstreamFailed(f"connection lost: {error}", True) from error
        if data:
            self._reader.feed(data)
            return True
        self._reader.end_of_connection()
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
            and not reader.has_surplus
            and not reader.ends_with_connection
        )

    def has_pending_input(self) -> bool:
        """Whether the upstream has closed the idle connection, or sent surplus."""
        readable, _, _ = select.select([self._socket], [], [], 0)
        return bool(readable)

    def close(self):
        self._socket.close()


def idle_seconds(headers: Headers) -> float:
    """Return how long a connection may stay idle, from its `Keep-Alive` header."""
    for name, value in headers:
        if name == b"keep-alive":
            for item in value.split(b","):
                key, _, number = item.strip().partition(b"=")
                if key.lower() == b"timeout" and number.strip().isdigit():
                    return float(number)
    return _DEFAULT_IDLE_SECONDS


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self):
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self.opened = 0

    def take(self, address: str, fresh: bool = False) -> UpstreamConnection:
        """Return an idle connection or a new one; raises `UpstreamFailed`."""
        idle = self._idle.get(address)
        now = time.monotonic()
        while idle and not fresh:
            connection = idle.pop()
            if connection.idle_until > now and not connection.has_pending_input():
                connection.is_fresh = False
                return connection
            connection.close()
        self.opened += 1
        return UpstreamConnection(address)

    def give_back(self, connection: UpstreamConnection, headers: Headers):
        """Keep the connection for the next request, or close it."""
        if not connection.is_reusable():
            connection.close()
            return
        lifetime = idle_seconds(headers) - _IDLE_MARGIN_SECONDS
        connection.idle_until = time.monotonic() + lifetime
        if lifetime <= 0:
            connection.close()
            return
        self._idle.setdefault(connection.address, deque()).append(connection)

    def drop_address(self, address: str):
        """Close the idle connections to an upstream that failed or left."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self):
        now = time.monotonic()
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_until <= now:
                idle.popleft().close()
            if not idle:
                del self._idle[address]
