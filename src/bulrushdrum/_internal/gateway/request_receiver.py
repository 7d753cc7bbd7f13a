"""Receives the requests of one caller connection.

What arrives is parsed in small pieces, between which other tasks run: a caller that
always has more to send must not keep the event loop busy, and tiny chunks take much
longer to parse than to receive.
"""

import time
from collections.abc import Callable

from gevent import socket

from bulrushdrum._internal.event_loop import run_other_tasks_if_due
from bulrushdrum._internal.gateway.caller_budget import ConnectionGroup, Holding, Phase
from bulrushdrum._internal.gateway.errors import BadRequest
from bulrushdrum._internal.gateway.messages import Request
from bulrushdrum._internal.gateway.parsing import RequestReader, request_bytes
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
    """The requests of one connection, in the order in which they arrive.

    `holding` says what the connection holds of the memory that all of them share.
    """

    def __init__(
        self,
        sock,
        limits: Callable[[], CallerLimits],
        group: ConnectionGroup,
        holding: Holding,
    ):
        self._socket = sock
        self._limits = limits
        self._group = group
        self._holding = holding
        self._reader = RequestReader(limits, group.budget.accepts_large_body)
        self._is_dropped = False
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
        self._update_holding()
        while not self._reader.requests:
            if self._is_dropped:
                raise BadRequest(503, "this router has no memory for the request")
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
        request = self._reader.take()
        self._update_holding(request)
        return request

    def drop_request(self):
        """Free what has been received and not returned, and refuse it."""
        self._is_dropped = True
        self.close()

    def close(self):
        """Free what has been received and not returned."""
        self._unparsed = b""
        self._reader.close()

    def discard_input(self):
        """Read and discard what a refused caller still sends, within bounds."""
        self.close()
        self._update_holding()
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
            if self._is_dropped:
                return
        piece = self._unparsed[:_PIECE_BYTES]
        self._unparsed = self._unparsed[_PIECE_BYTES:]
        self._bytes_since_turn += len(piece)
        self._reader.feed(piece)
        if not self._reader.requests:
            self._update_holding()

    def _update_holding(self, request: Request | None = None):
        """Record what the connection holds, while it handles `request` if given."""
        held_bytes = self._reader.held_bytes + len(self._unparsed)
        if request is not None:
            held_bytes += request_bytes(request)
            phase = Phase.HANDLING
        else:
            phase = Phase.RECEIVING if self.has_partial_request else Phase.IDLE
        self._group.enter(self._holding, phase)
        self._group.budget.hold(self._holding, held_bytes)
