"""HTTP API for callers and readiness checks for the platform's load balancer."""

import io
import json
import os
import time
from http import HTTPStatus
from http.client import HTTPException

import bottle
import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from bulrushdrum._internal.caller.completions import (
    completion_body,
    parse_chat_request,
    parse_idempotency_key,
    server_sent_events,
)
from bulrushdrum._internal.caller.errors import CallerError, to_caller_error
from bulrushdrum._internal.caller.receiving import (
    BodyBudget,
    BoundedInput,
    CallerStream,
    ConnectionTable,
    HeaderLines,
    RequestLimits,
    RequestRefused,
    read_body,
)
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.event_loop import run_other_tasks_if_due
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.observability.refusal_log import RefusalLog
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.world.addresses import parse_address

# A caller that does not read its response is disconnected after this time.
WRITE_TIMEOUT_SECONDS = 30.0
# After a refusal, what its caller still sends is discarded within these bounds.
MAX_DISCARDED_BYTES = 1_048_576
DISCARD_SECONDS = 2.0
_FINISH_POLL_SECONDS = 0.02
_BODIES_AT_ONCE = 32
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "upgrade", "content-length"}
)
_SERVICE_METHODS = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"]

# WSGI environment key of a function that returns whether the caller is connected.
IS_CALLER_CONNECTED = "bulrushdrum.caller_waits"


def is_connected(sock) -> bool:
    """Return whether the peer of `sock` has neither closed nor reset the connection.

    Peeks at the socket without consuming data, so no other greenlet may be reading it.
    `select` would not do: it takes no file descriptor over 1023.
    """
    try:
        # gevent's sockets are non-blocking below.
        return sock._sock.recv(1, socket.MSG_PEEK) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False


class _Handler(WSGIHandler):
    """Receives requests within the limits of its server.

    `is_idle` is true between requests, until the head of the next one has arrived.
    """

    is_idle = True
    # A caller that does not read its response is no error of this process.
    ignored_socket_errors = (*WSGIHandler.ignored_socket_errors, "timed out")

    def __init__(self, sock, address, server):
        self._table = server.connections
        self._stream = CallerStream(
            sock, server.limits, lambda: self._table.set_receiving(self)
        )
        super().__init__(sock, address, server, io.BufferedReader(self._stream))

    def handle(self):
        # pywsgi writes headers and body separately. With Nagle's algorithm, the body
        # would wait for the client's delayed ACK: 44 ms on a keep-alive connection.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(WRITE_TIMEOUT_SECONDS)
        self._table.set_receiving(self)
        self.server.close_excess()
        try:
            super().handle()
        finally:
            self._table.remove(self)

    def handle_one_request(self):
        self._stream.begin_request()
        self.wsgi_input = None
        try:
            result = super().handle_one_request()
        finally:
            self.is_idle = True
        if self.wsgi_input and self.wsgi_input.refusal_code:
            self.server.refusals.add(self.wsgi_input.refusal_code)
            self._discard_late_bytes()
            return None
        if isinstance(result, tuple):
            if result[0] == "414":
                self.server.refusals.add("request_too_large")
            if self._send_refusal(result[1]):
                self._discard_late_bytes()
            return None
        if result is not None:
            self._table.set_idle(self)
        return result

    def _send_refusal(self, response):
        try:
            self.socket.sendall(response)
        except OSError:
            return False  # the caller has disconnected
        return True

    def _discard_late_bytes(self):
        """Let the caller read the response although it may still be sending.

        Closing a socket with unread bytes resets the connection, and the caller may
        lose the response.
        """
        deadline = time.monotonic() + DISCARD_SECONDS
        discarded = 0
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while discarded < MAX_DISCARDED_BYTES:
                run_other_tasks_if_due()
                self.socket.settimeout(max(deadline - time.monotonic(), 0.001))
                received = len(self.socket.recv(16_384))
                if not received:
                    return
                discarded += received
        except OSError:
            pass  # late, or the caller has disconnected

    def _handle_client_error(self, error):
        match error:
            case RequestRefused():
                refused = error
            case TimeoutError():
                refused = RequestRefused("request_timeout", "the request was too slow")
            case HTTPException():
                message = f"too many header fields: {error}"
                refused = RequestRefused("request_too_large", message)
            case OSError():
                return None  # the caller has disconnected
            case ValueError():
                refused = RequestRefused("invalid_request", f"not HTTP: {error}"[:200])
            case _:
                return super()._handle_client_error(error)
        self.server.refusals.add(refused.code)
        response = CallerError(refused.code, str(refused))
        body = json.dumps({"error": response.body()}).encode()
        status = f"{response.status} {HTTPStatus(response.status).phrase}"
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return status, head.encode() + body

    def MessageClass(self, reader, *_):  # noqa: N802  (a name of pywsgi)
        lines = HeaderLines(reader, self.server.limits.header_bytes)
        return super().MessageClass(lines)

    def close_if_idle(self):
        """Close the connection unless a request has arrived or is arriving."""
        if not self.is_idle:
            return
        try:
            self.socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self.close()
        except OSError:
            pass  # the handler reads the error and ends

    def close(self):
        """End the connection; its handler reads the end and returns."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # the caller has disconnected

    def finalize_headers(self):
        if self.server.is_draining or self.wsgi_input.refusal_code:
            # The caller sends its next request elsewhere, and not on a connection
            # that is about to be closed.
            self.close_connection = True
            kept = [h for h in self.response_headers if h[0].lower() != b"connection"]
            self.response_headers = [*kept, (b"Connection", b"close")]
        super().finalize_headers()

    def get_environ(self):
        self.is_idle = False
        # Many callers whose requests arrive at once would delay the heartbeats of this
        # process as one long task does.
        run_other_tasks_if_due()
        environ = super().get_environ()
        environ[IS_CALLER_CONNECTED] = lambda: is_connected(self.socket)
        environ["wsgi.input"] = self.wsgi_input = BoundedInput(
            self.wsgi_input,
            self.socket,
            self.server.limits,
            self.server.budget,
            on_received=lambda: self._table.set_running(self),
        )
        if self.wsgi_input.is_empty:
            self._table.set_running(self)
        return environ

    def log_request(self):
        pass  # RecordReplicator stores a record of each request


class HttpServer(WSGIServer):
    """Serves one WSGI application, and answers what it has read before it stops.

    While `is_draining`, each response asks its caller to close the connection.
    """

    def __init__(self, address, app, max_connections, limits, budget):
        super().__init__(
            address,
            app,
            log=None,
            error_log=None,
            handler_class=_Handler,
            # `connections` keeps the limit: a full pool would leave new callers unread
            # in the listener's queue, behind connections that send nothing.
            spawn=Pool(),
        )
        self.is_draining = False
        self.connections = ConnectionTable(max_connections)
        self.limits = limits
        self.budget = budget
        self.refusals = RefusalLog(Event.CALLER_REQUEST_REFUSED)
        self.closed_connections = RefusalLog(Event.ENTRY_CONNECTION_CLOSED)

    def dump(self) -> dict:
        return {
            "connections": len(self.connections),
            "receiving_bytes": self.budget.total,
            "refused": self.refusals.dump(),
            "closed": self.closed_connections.dump(),
        }

    def close_excess(self):
        """Close a connection if there are more than allowed."""
        excess = self.connections.excess()
        if excess is not None:
            self.connections.remove(excess)
            self.closed_connections.add("connections")
            excess.close()

    def finish(self, deadline: float):
        """Stop accepting, and answer the requests whose head has arrived.

        Idle connections are closed. Returns when no connection is left, or at
        `deadline`, a monotonic time, after which the rest is aborted.
        """
        self.is_draining = True
        # Connections that still wait in the listener's queue would be reset.
        while accepted := self.do_read():
            self.do_handle(*accepted)
        self.close()
        # Accepted connections are registered once their greenlets run.
        gevent.sleep(0)
        while len(self.connections) and time.monotonic() < deadline:
            for connection in self.connections:
                connection.close_if_idle()
            gevent.sleep(_FINISH_POLL_SECONDS)
        self.pool.kill(block=True, timeout=1)


def make_server(
    app,
    address: str,
    max_connections: int,
    limits: RequestLimits | None = None,
    budget: BodyBudget | None = None,
) -> HttpServer:
    """Return an HTTP server for `app` that limits its connections and requests."""
    limits = limits or RequestLimits()
    budget = budget or BodyBudget(_BODIES_AT_ONCE * limits.body_bytes)
    return HttpServer(parse_address(address), app, max_connections, limits, budget)


def error_response(error: CallerError, request_id: str = "") -> bottle.HTTPResponse:
    """Convert an error to a JSON response."""
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers["X-Request-Id"] = request_id
    if error.status in (429, 503):
        headers["Retry-After"] = "1"
    body = json.dumps({"error": error.body(request_id)})
    return bottle.HTTPResponse(body, status=error.status, headers=headers)


def read_header(name: str) -> str:
    """Return a header of the current request; raises `CallerError` if not UTF-8.

    bottle's own header access raises another exception, which would be reported as an
    internal error.
    """
    raw = bottle.request.headers.raw(name, "")
    try:
        return raw.encode("latin-1").decode()
    except UnicodeError as error:
        message = f"the header {name} is not valid UTF-8"
        raise CallerError("invalid_request", message) from error


class CallerApp:
    """WSGI application for callers; requests are run by `frontend`."""

    def __init__(self, frontend, settings: EntrySettings):
        self._frontend = frontend
        self._settings = settings
        self._app = bottle.Bottle(catchall=True)
        self._app.default_error_handler = self._default_error
        route = self._app.route
        route("/healthz", "GET", lambda: {"status": "ok"})
        route("/readyz", "GET", self._readiness)
        route("/v1/models", "GET", self._with_error_responses(self._models))
        route(
            "/v1/chat/completions",
            "POST",
            self._with_error_responses(self._chat_completion),
        )
        route(
            "/v1/idempotency-keys", "POST", self._with_error_responses(self._issue_key)
        )
        route(
            "/services/<service>/<path:path>",
            _SERVICE_METHODS,
            self._with_error_responses(self._call_service),
        )

    @property
    def wsgi(self):
        return self._app

    def _default_error(self, response):
        code = {404: "not_found", 405: "method_not_allowed"}.get(response.status_code)
        if code is None:
            if response.status_code >= 500:
                log_event(Event.INTERNAL_ERROR, error=repr(response.exception))
            code = "invalid_request" if response.status_code < 500 else "internal_error"
        ran = "unknown" if code == "internal_error" else "no"
        error = CallerError(code, str(response.body), ran)
        bottle.response.content_type = "application/json"
        return json.dumps({"error": error.body()})

    def _with_error_responses(self, handler):
        """Wrap `handler` so that exceptions become error responses."""

        def guarded(**arguments):
            try:
                self._check_header_size()
                return handler(**arguments)
            except bottle.HTTPResponse:
                raise
            except Exception as error:
                caller_error = to_caller_error(error)
                if caller_error.code == "internal_error":
                    log_event(Event.INTERNAL_ERROR, error=repr(error))
                request_id = getattr(error, "request_id", "")
                return error_response(caller_error, request_id)

        return guarded

    def _check_header_size(self):
        size = sum(
            len(name) + len(str(value))
            for name, value in bottle.request.environ.items()
            if name.startswith("HTTP_") or name in ("PATH_INFO", "QUERY_STRING")
        )
        if size > self._settings.max_header_bytes:
            raise CallerError(
                "request_too_large",
                f"the headers have {size} bytes, "
                f"the limit is {self._settings.max_header_bytes}",
            )

    def _readiness(self):
        reasons = self._frontend.not_ready_reasons()
        bottle.response.status = 503 if reasons else 200
        return {"ready": not reasons, "reasons": reasons, "process": os.getpid()}

    def _contract(self):
        return self._frontend.authenticate(read_header("Authorization"))

    def _models(self):
        self._contract()
        models = sorted(self._frontend.models())
        return {
            "object": "list",
            "data": [{"id": name, "object": "model"} for name in models],
        }

    def _chat_completion(self):
        contract = self._contract()
        raw_body = read_body(bottle.request, self._settings.max_body_bytes)
        key = parse_idempotency_key(read_header("Idempotency-Key"))
        parsed = parse_chat_request(raw_body, key, contract, self._settings)
        is_caller_connected = bottle.request.environ[IS_CALLER_CONNECTED]
        session = self._frontend.start_chat(
            contract, parsed.request, is_caller_connected
        )
        request = session.request
        bottle.response.set_header("X-Request-Id", request.request_id)
        if not parsed.stream:
            try:
                return completion_body(request, session.parts())
            except CallerError as error:
                return error_response(error, request.request_id)
        return self._stream_completion(session)

    def _stream_completion(self, session):
        request = session.request
        parts = session.parts()
        first = next(parts)
        # An error before the first token is returned with its HTTP status.
        if session.is_error(first):
            return error_response(first.error, request.request_id)
        bottle.response.content_type = "text/event-stream"
        bottle.response.set_header("Cache-Control", "no-store")

        def events():
            finished = False
            try:
                yield from server_sent_events(request, session.replay(first, parts))
                finished = True
            finally:
                if not finished:
                    session.handle_disconnect()

        return events()

    def _issue_key(self):
        contract = self._contract()
        raw_body = read_body(bottle.request, self._settings.max_body_bytes)
        try:
            body = json.loads(raw_body)
            service = body["service"]
        except DECODING_ERRORS as error:
            message = 'the body must be like {"service": "ledger"}'
            raise CallerError("invalid_request", message) from error
        return {"idempotency_key": self._frontend.issue_key(contract, service)}

    def _call_service(self, service, path):
        contract = self._contract()
        request = bottle.request
        query = f"?{request.query_string}" if request.query_string else ""
        headers = [
            (name, read_header(name))
            for name in request.headers
            if name.lower() not in _HOP_BY_HOP_HEADERS
            and name.lower() not in ("authorization", "host")
        ]
        request_id, result = self._frontend.call(
            contract,
            service,
            request.method,
            f"/{path}{query}",
            headers,
            read_body(bottle.request, self._settings.max_body_bytes),
            parse_idempotency_key(read_header("Idempotency-Key")),
            request.environ[IS_CALLER_CONNECTED],
        )
        response = bottle.HTTPResponse(result.body, status=result.status)
        for header in result.headers:
            if header.name.lower() not in _HOP_BY_HOP_HEADERS:
                response.add_header(header.name, header.value)
        response.set_header("X-Request-Id", request_id)
        return response
