"""Connections of callers: one task each, requests one after the other.

While a request is handled, the connection is watched: a caller that closes it is not
waiting any more, and `CallerDisconnected` is raised in the task that works for it.
"""

import time
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.server import StreamServer

from bulrushdrum._internal.gateway.errors import BadRequest, CallerDisconnected
from bulrushdrum._internal.gateway.messages import (
    Headers,
    Request,
    Response,
    encode_head,
    status_line,
)
from bulrushdrum._internal.gateway.parsing import RequestReader
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.world.routes import CallerLimits

_RECEIVE_BYTES = 65536
# A caller that takes no bytes for this long, in seconds, is given up.
_WRITE_TIMEOUT_SECONDS = 5.0
_BACKLOG = 1024
# A read waits in steps of this length, so that an idle connection notices a drain.
_IDLE_STEP_SECONDS = 0.5


class CallerConnection:
    """One connection; writes answers, whole or as a stream of chunks."""

    def __init__(self, sock, server: "CallerServer"):
        self._socket = sock
        self._server = server
        self._reader = RequestReader(server.limits())
        self._request: Request | None = None
        self._streaming = False
        self.answer_begun = False
        self.closing = False
        self.status = 0

    @property
    def is_broken_off(self) -> bool:
        """Whether an answer was begun and not ended."""
        return self._streaming

    def serve(self):
        while not self.closing:
            request = self._next_request()
            if request is None:
                return
            self._request, self.answer_begun = request, False
            if not request.keep_alive:
                self.closing = True
            watch = _CallerWatch(self._socket)
            self._server.begin_request()
            try:
                with watch:
                    self._server.handle(self, request)
            finally:
                self._server.end_request()
            if not self.answer_begun or self._streaming:
                return

    def _next_request(self):
        limits = self._server.limits()
        idle_since, begun_at = time.monotonic(), None
        while not self._reader.requests:
            now = time.monotonic()
            if self._reader.has_begun:
                begun_at = begun_at or now
                if now - begun_at > limits.header_timeout:
                    self._refuse(BadRequest(408, "the request did not arrive in time"))
                    return None
            elif now - idle_since > limits.idle_timeout:
                return None
            self._socket.settimeout(_IDLE_STEP_SECONDS)
            try:
                data = self._socket.recv(_RECEIVE_BYTES)
            except TimeoutError:
                continue
            if not data:
                return None
            try:
                self._reader.feed(data)
            except BadRequest as error:
                self._refuse(error)
                return None
        return self._reader.requests.popleft()

    def _refuse(self, error):
        log_event(Event.CALLER_REFUSED, status=error.status, reason=str(error))
        self.closing = True
        body = (str(error) + "\n").encode()
        self.send(Response(error.status, [(b"content-type", b"text/plain")], body))

    def send(self, response: Response):
        """Send a whole answer."""
        headers = [*response.headers, (b"content-length", b"%d" % len(response.body))]
        head = self._head(response.status, headers)
        no_body = self._request is not None and self._request.method == b"HEAD"
        self.answer_begun = True
        self._write(head if no_body else head + response.body)

    def start_stream(self, status: int, headers: Headers):
        """Send the head of an answer whose body follows in chunks."""
        self.answer_begun = self._streaming = True
        head = self._head(status, [*headers, (b"transfer-encoding", b"chunked")])
        self._write(head)

    def send_chunk(self, data: bytes):
        self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self):
        """End the stream as complete."""
        self._write(b"0\r\n\r\n")
        self._streaming = False

    def break_off(self):
        """Close the connection so that the answer cannot look complete."""
        self.closing = True

    def _head(self, status, headers):
        self.status = status
        if self._server.is_draining:
            self.closing = True
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        return encode_head(status_line(status), headers)

    def _write(self, data):
        self._socket.settimeout(_WRITE_TIMEOUT_SECONDS)
        try:
            self._socket.sendall(data)
        except OSError as error:
            self.closing = True
            raise CallerDisconnected(f"writing failed: {error}") from error


class _CallerWatch:
    """Raises `CallerDisconnected` in the current task when the caller closes its
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
        # Input that is not the end of the connection is the next request, which waits.
        self._stop()
        if not data:
            self._greenlet.kill(CallerDisconnected("the caller closed"), block=False)


class CallerServer:
    """Accepts callers at `address` and hands their requests to `handler`.

    `handler(connection, request)` answers on the connection; `limits()` returns the
    bounds in force.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[CallerConnection, Request], None],
        limits: Callable[[], CallerLimits] = CallerLimits,
    ):
        host, _, port = address.rpartition(":")
        self._handler = handler
        self.limits = limits
        self.is_draining = False
        self.requests_in_progress = 0
        self.connections = 0
        self._server = StreamServer((host, int(port)), self._serve, backlog=_BACKLOG)

    def start(self):
        self._server.start()

    def stop_accepting(self):
        self._server.close()

    def begin_request(self):
        self.requests_in_progress += 1

    def end_request(self):
        self.requests_in_progress -= 1

    def handle(self, connection, request):
        self._handler(connection, request)

    def _serve(self, sock, _address):
        self.connections += 1
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            CallerConnection(sock, self).serve()
        except CallerDisconnected as error:
            log_event(Event.CALLER_LEFT, reason=str(error))
        except OSError as error:
            log_event(Event.CALLER_LEFT, reason=f"connection lost: {error}")
        finally:
            self.connections -= 1
            sock.close()
