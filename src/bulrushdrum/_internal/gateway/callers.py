"""The HTTP server for callers: one greenlet per connection, one request at a time.

The connection is monitored while a request is handled. If the caller closes it,
`CallerDisconnected` is raised in the greenlet that handles the request.
"""

import random
import time
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.server import StreamServer

from bulrushdrum._internal.gateway.caller_budget import (
    CallerBudget,
    ConnectionGroup,
    Holding,
)
from bulrushdrum._internal.gateway.error_responses import (
    not_run_response,
    random_retry_after,
)
from bulrushdrum._internal.gateway.errors import BadRequest, CallerDisconnected
from bulrushdrum._internal.gateway.messages import (
    Headers,
    Request,
    Response,
    encode_head,
    status_line,
)
from bulrushdrum._internal.gateway.readiness import is_readable
from bulrushdrum._internal.gateway.request_receiver import RequestReceiver
from bulrushdrum._internal.gateway.request_trace import RequestTrace
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.settings.router import CallerResources
from bulrushdrum._internal.world.routes import CallerLimits

# Timeout of a write, after which a caller that does not read is disconnected.
_WRITE_TIMEOUT_SECONDS = 5.0
_BACKLOG = 1024
_FINISH_POLL_SECONDS = 0.01
_random = random.Random()


class CallerConnection:
    """One caller connection; sends whole responses or chunked streams."""

    def __init__(self, sock, server: "CallerServer", address: str):
        self._socket = sock
        self._server = server
        self._address = address
        self.holding = Holding(self)
        self._receiver = RequestReceiver(
            sock, server.limits, server.group, self.holding
        )
        self._request: Request | None = None
        self._streaming = False
        self._is_waiting = False
        self._is_refused = False
        # Whether this router shut the connection down while it was idle.
        self.is_shut_down = False
        self.response_started = False
        self.closing = False
        self.status = 0
        self._requests = 0
        # The request in progress, for the log.
        self.trace = RequestTrace()

    @property
    def is_incomplete(self) -> bool:
        """Whether a chunked response was started and not completed."""
        return self._streaming

    @property
    def has_open_request(self) -> bool:
        """Whether a request is in progress, or has arrived in part."""
        return not self._is_waiting or self._receiver.has_partial_request

    @property
    def is_reused(self) -> bool:
        """Whether the connection had a request before the one in progress."""
        return self._requests > 1

    def serve(self):
        while not self.closing:
            if not self._serve_next():
                return
            if self._server.is_draining and not self._has_received_more():
                return

    def _has_received_more(self):
        return self._receiver.has_partial_request or is_readable(self._socket)

    def _serve_next(self) -> bool:
        """Handle the next request; return whether another one may follow.

        Nothing refers to the request after that: its body may be large, and the
        connection idle for long.
        """
        request = self._next_request()
        if request is None:
            return False
        self._request, self.response_started = request, False
        self._requests += 1
        self.trace = RequestTrace()
        if not request.keep_alive:
            self.closing = True
        monitor = _DisconnectMonitor(self._socket)
        self._server.begin_request()
        try:
            with monitor:
                self._server.handle(self, request)
        finally:
            self._server.end_request()
            self._request = None
        return self.response_started and not self._streaming

    def close_if_idle(self):
        """Close the connection unless a request has arrived, whole or in part."""
        if self.has_open_request:
            return
        # Nothing more is answered after a refusal.
        if self._is_refused or not is_readable(self._socket):
            if not self.is_shut_down:
                self.closing = self.is_shut_down = True
                try:
                    # Ends the wait for the next request with an error.
                    self._socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # The caller has reset the connection, which ends the wait as well.
                    pass

    def close_if_kept(self):
        """Close the connection if it has had a request and waits for another one."""
        if self._requests:
            self.close_if_idle()

    def close_idle(self) -> bool:
        """Close the connection to make room, unless a request has arrived."""
        self.close_if_idle()
        if self.is_shut_down:
            log_event(Event.CALLER_CONNECTION_CLOSED, caller=self._address, idle=True)
        return self.is_shut_down

    def refuse_request(self):
        """Refuse the request that is being received, and free its memory at once."""
        self._receiver.drop_request()

    def release(self):
        """Free what was received, at the end of the connection."""
        self._receiver.close()

    def _next_request(self):
        self._is_waiting = True
        try:
            return self._receiver.receive()
        except BadRequest as error:
            self._reject(error)
            return None
        finally:
            self._is_waiting = False

    def _reject(self, error):
        self.closing = True
        if error.status == 503:
            budget = self._server.group.budget
            log_event(
                Event.CALLER_REQUEST_SHED,
                caller=self._address,
                reason=str(error),
                held_bytes=budget.held_bytes,
                max_bytes=budget.max_bytes,
            )
            # Unfinished requests end within this timeout.
            timeout = self._server.limits().header_timeout
            retry_after = random_retry_after(timeout, _random)
            response = not_run_response(str(error), retry_after)
        else:
            log_event(
                Event.CALLER_REFUSED,
                status=error.status,
                reason=str(error),
                caller=self._address,
            )
            body = (str(error) + "\n").encode()
            response = Response(error.status, [(b"content-type", b"text/plain")], body)
        self.send(response)
        self._is_refused = True
        self._receiver.discard_input()

    def send(self, response: Response):
        """Send a complete response."""
        headers = [*response.headers, (b"content-length", b"%d" % len(response.body))]
        head = self._encode_response_head(response.status, headers)
        is_head_request = self._request is not None and self._request.method == b"HEAD"
        self.response_started = True
        self._send_bytes(head if is_head_request else head + response.body)

    def start_stream(self, status: int, headers: Headers):
        """Send the head of a response whose body follows in chunks."""
        self.response_started = self._streaming = True
        head = self._encode_response_head(
            status, [*headers, (b"transfer-encoding", b"chunked")]
        )
        self._send_bytes(head)

    def send_chunk(self, data: bytes):
        self._send_bytes(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self):
        """Send the last chunk, which marks the response as complete."""
        self._send_bytes(b"0\r\n\r\n")
        self._streaming = False

    def abort(self):
        """Close the connection without a last chunk; the response stays incomplete."""
        self.closing = True

    def _encode_response_head(self, status, headers):
        self.status = status
        if self._server.is_draining:
            self.closing = True
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        return encode_head(status_line(status), headers)

    def _send_bytes(self, data):
        self._socket.settimeout(_WRITE_TIMEOUT_SECONDS)
        try:
            self._socket.sendall(data)
        except OSError as error:
            self.closing = True
            raise CallerDisconnected(f"write failed: {error}") from error


class _DisconnectMonitor:
    """Raises `CallerDisconnected` in the current greenlet when the caller closes its
    connection.
    """

    def __init__(self, sock):
        self._socket = sock
        self._greenlet = gevent.getcurrent()
        self._watcher = None

    def __enter__(self):
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._on_readable)

    def __exit__(self, *_):
        self._stop()

    def _stop(self):
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _on_readable(self):
        try:
            data = self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        # Data is the start of the next request, which is read after this one.
        self._stop()
        if not data:
            self._greenlet.kill(
                CallerDisconnected("the caller closed the connection"), block=False
            )


class CallerServer:
    """Listens on `address` and passes each request to `handler`.

    `handler(connection, request)` must send the response on `connection`; `limits()`
    returns the current limits. `group` bounds the connections and what they hold; the
    ports of one process share a budget.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[CallerConnection, Request], None],
        limits: Callable[[], CallerLimits] = CallerLimits,
        group: ConnectionGroup | None = None,
    ):
        if group is None:
            group = CallerBudget(CallerResources().held_bytes).add_group()
        self.group = group
        host, _, port = address.rpartition(":")
        self._handler = handler
        self.limits = limits
        self.is_draining = False
        self.requests_in_progress = 0
        self._open: set[CallerConnection] = set()
        self._server = _Listener((host, int(port)), self, self._serve)

    @property
    def connections(self) -> int:
        return len(self._open)

    @property
    def open_requests(self) -> int:
        """The number of requests in progress, or of which a part has arrived."""
        return sum(connection.has_open_request for connection in self._open)

    def start(self):
        self._server.start()

    def begin_drain(self):
        """Close each connection after its request, and idle ones that have had one.

        Callers that would use them again come back through the load balancer, to a
        router that has time for them. New connections still wait for their request.
        """
        self.is_draining = True
        for connection in list(self._open):
            connection.close_if_kept()

    def stop_accepting(self):
        self._server.close()

    def finish(self, seconds: float):
        """Stop accepting, and answer the requests that have already been sent.

        Idle connections are closed; the others are served until their requests are
        answered. Returns after `seconds` at the latest.
        """
        deadline = time.monotonic() + seconds
        # Connections that wait in the listener's queue would be reset.
        while self._accept_pending() and time.monotonic() < deadline:
            gevent.sleep(_FINISH_POLL_SECONDS)
        self.stop_accepting()
        # The tasks of the last connections may not have started, which adds them.
        gevent.sleep(0)
        while self._open and time.monotonic() < deadline:
            for connection in list(self._open):
                connection.close_if_idle()
            gevent.sleep(_FINISH_POLL_SECONDS)

    def _accept_pending(self):
        return is_readable(self._server.socket)

    def begin_request(self):
        self.requests_in_progress += 1

    def end_request(self):
        self.requests_in_progress -= 1

    def handle(self, connection, request):
        self._handler(connection, request)

    def admit(self, sock, address: tuple[str, int]) -> CallerConnection | None:
        """Return a new connection; None if it must be closed at once."""
        caller = f"{address[0]}:{address[1]}"
        connection = CallerConnection(sock, self, caller)
        if self.group.add(connection.holding):
            return connection
        log_event(Event.CALLER_CONNECTION_CLOSED, caller=caller, idle=False)
        return None

    def _serve(self, sock, connection):
        self._open.add(connection)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.serve()
        except CallerDisconnected as error:
            log_event(Event.CALLER_LEFT, reason=str(error))
        except OSError as error:
            if not connection.is_shut_down:
                log_event(Event.CALLER_LEFT, reason=f"connection lost: {error}")
        finally:
            self._open.discard(connection)
            connection.release()
            self.group.remove(connection.holding)
            sock.close()


class _Listener(StreamServer):
    """Decides about each connection when it is accepted.

    The tasks of connections start later, and take descriptors until then. Without a
    descriptor for the next connection it pauses for 0.01 to 1 s (see `min_delay`).
    """

    def __init__(self, address: tuple[str, int], server: CallerServer, serve):
        super().__init__(address, serve, backlog=_BACKLOG)
        self._caller_server = server

    def do_handle(self, sock, address):
        connection = self._caller_server.admit(sock, address)
        if connection is None:
            self.do_close(sock)
        else:
            super().do_handle(sock, connection)
