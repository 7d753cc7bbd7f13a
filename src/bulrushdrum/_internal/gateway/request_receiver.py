"""Receives the requests of one caller connection.

What arrives is parsed in small pieces, between which other tasks run: a caller that
always has more to send must not keep the event loop busy, and tiny chunks take much
longer to parse than to receive.
"""

import time
from collections.abc import Callable

from gevent import socket

from bulrushdrum._internal.event_loop import run_other_tasks_if_due
from bulrushdrum._internal.gateway.errors import BadRequest
from bulrushdrum._internal.gateway.messages import Request
from bulrushdrum._internal.gateway.parsing import RequestReader
from bulrushdrum._internal.world.routes import CallerLimits

_RECEIVE_BYTES = 16_384
# Parsing this much takes under 1 ms in the worst case, chunks of one byte. It also
# bounds how many requests are parsed ahead of the one that is handled.
_PIECE_BYTES = 4096
# Keeps reads short so that the idle and header timeouts are checked regularly.
_RECEIVE_TIMEOUT_SECONDS = 0.5
# What a refused caller still sends is read for so long, because closing a socket with
# unread data resets the connection, and the caller may not see the refusal. A caller
# that sends the largest body over a link of 20 Mbit/s has ended by then.
_DISCARD_SECONDS = 2.0
_MAX_DISCARDED_BYTES = 16_777_216
_discarded = bytearray(65_536)


class RequestReceiver:
    """The requests of one connection, in the order in which they arrive."""

    def __init__(self, sock, limits: Callable[[], CallerLimits]):
        self._socket = sock
        self._limits = limits
        self._reader = RequestReader(limits)
        # Received and not parsed yet.
        self._unparsed = b""
        self._bytes_since_turn = 0

    @property
    def has_partial_request(self) -> bool:
        """Whether a request, or a part of one, has been received and not returned."""
        reader = self._reader
        return reader.has_partial_request or bool(reader.requests or self._unparsed)

    def receive(self) -> Request | None:
        """Return the next request, or None at the end of the connection.

        Raises `BadRequest`.
        """
        if self.has_partial_request:
            # Sent ahead, so that no wait for data lets other tasks run.
            run_other_tasks_if_due()
        limits = self._limits()
        idle_since, started_at = time.monotonic(), None
        while not self._reader.requests:
            now = time.monotonic()
            if self.has_partial_request:
                started_at = started_at or now
                if now - started_at > limits.header_timeout:
                    raise BadRequest(408, "the request did not arrive in time")
            elif now - idle_since > limits.idle_timeout:
                return None
            if not self._unparsed and not self._receive_data():
                return None
            if self._unparsed:
                self._parse_piece()
        self._bytes_since_turn = 0
        return self._reader.requests.popleft()

    def drop(self):
        """Free what has been received and not returned."""
        self._unparsed = b""
        self._reader = RequestReader(self._limits)

    def discard_input(self):
        """Read and discard what a refused caller still sends, within bounds."""
        self.drop()
        deadline = time.monotonic() + _DISCARD_SECONDS
        discarded = 0
        self._socket.shutdown(socket.SHUT_WR)
        while discarded < _MAX_DISCARDED_BYTES:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return
            self._socket.settimeout(remaining)
            try:
                count = self._socket.recv_into(_discarded)
            except TimeoutError:
                return
            if not count:
                return
            discarded += count
            run_other_tasks_if_due()

    def _receive_data(self):
        """Receive data, unless that times out; return false at the end."""
        self._socket.settimeout(_RECEIVE_TIMEOUT_SECONDS)
        try:
            self._unparsed = self._socket.recv(_RECEIVE_BYTES)
        except TimeoutError:
            return True
        return bool(self._unparsed)

    def _parse_piece(self):
        if self._bytes_since_turn >= _RECEIVE_BYTES:
            self._bytes_since_turn = 0
            run_other_tasks_if_due()
        piece = self._unparsed[:_PIECE_BYTES]
        self._unparsed = self._unparsed[_PIECE_BYTES:]
        self._bytes_since_turn += len(piece)
        self._reader.feed(piece)
