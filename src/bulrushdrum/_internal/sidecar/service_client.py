"""HTTP client of a plain service that reports whether a failed call may have run.

Connecting, sending and receiving are separate steps. A call that fails before its first
byte was sent has not run; a call that fails later may have. Each call uses a new
connection: the service could close a keep-alive connection just as the next call is
sent, which would needlessly make the outcome of that call unknown.
"""

import http.client
import io
import re

import gevent
from urllib3.exceptions import HTTPError

from bulrushdrum._internal.bounded_http import BoundedConnection, BoundedResponse
from bulrushdrum._internal.event_loop import run_other_tasks_if_due
from bulrushdrum._internal.event_stream_bodies import is_cut_event_stream
from bulrushdrum._internal.peering.request_messages import Call, CallResult, Header
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.world.addresses import parse_address
from bulrushdrum._internal.world.requests import Outcome

CONNECT_TIMEOUT_SECONDS = 1.0
_TARGET_RE = re.compile(r"/[\x21-\x7e]*")
_METHOD_RE = re.compile(r"[A-Z]{1,16}")
# Hop-by-hop headers, and headers that this client sets itself.
_UNFORWARDED_HEADERS = frozenset(
    "connection content-length host keep-alive proxy-authenticate proxy-authorization "
    "proxy-connection te trailer transfer-encoding upgrade expect".split()
)


def _forwardable_headers(headers) -> list[tuple[str, str]]:
    """Return `headers` without those that must not be forwarded."""
    connection_options = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
    dropped = _UNFORWARDED_HEADERS | connection_options
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class _SharingReader(io.RawIOBase):
    """Reads an answer of a service, and lets other tasks run after each read.

    All calls whose answers arrive at once would be read in one iteration of the event
    loop otherwise, and the heartbeats of this process would wait for that.
    """

    def __init__(self, raw):
        self._raw = raw

    def readable(self):
        return True

    def readinto(self, buffer):
        size = self._raw.readinto(buffer)
        run_other_tasks_if_due()
        return size

    def close(self):
        self._raw.close()
        super().close()


class _ServiceResponse(BoundedResponse):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.fp = type(self.fp)(_SharingReader(self.fp.detach()))


class _ServiceConnection(BoundedConnection):
    response_class = _ServiceResponse


class ServiceClient:
    """Calls the plain service at `settings.upstream_url`."""

    def __init__(self, settings: SidecarSettings):
        url = settings.upstream_url.removeprefix("http://").rstrip("/")
        self._host, self._port = parse_address(url)
        self._max_answer_bytes = settings.max_answer_bytes

    def run(self, call: Call, timeout: float) -> CallResult:
        """Make one call; `timeout` covers sending and receiving, in seconds."""
        if not _TARGET_RE.fullmatch(call.path) or not _METHOD_RE.fullmatch(call.method):
            return _failed(Outcome.NOT_RUN, "malformed method or path")
        connection = _ServiceConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        try:
            return self._exchange(connection, call, timeout)
        finally:
            connection.close()

    def _exchange(self, connection, call, timeout):
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            return _failed(Outcome.NOT_RUN, f"cannot connect: {error}")
        connection.sock.settimeout(timeout)
        try:
            self._buffer_request(connection, call)
        except (ValueError, http.client.HTTPException) as error:
            return _failed(Outcome.NOT_RUN, f"malformed call: {error}")
        deadline = gevent.Timeout(timeout)
        deadline.start()
        try:
            connection.endheaders(call.body or None)
            return self._read_response(connection)
        except gevent.Timeout as error:
            if error is not deadline:
                raise
            return _failed(Outcome.UNKNOWN, f"no whole answer in {timeout:.1f} s")
        except (HTTPError, OSError, http.client.HTTPException) as error:
            return _failed(
                Outcome.UNKNOWN, f"no answer: {type(error).__name__}: {error}"
            )
        finally:
            deadline.close()

    def _buffer_request(self, connection, call):
        """Write the request head to the connection's buffer without sending it."""
        connection.putrequest(call.method, call.path, skip_accept_encoding=True)
        headers = [(header.name, header.value) for header in call.headers]
        for name, value in _forwardable_headers(headers):
            connection.putheader(name, value)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            connection.putheader("Content-Length", str(len(call.body)))
        connection.putheader("Connection", "close")

    def _read_response(self, connection):
        # Calls `http.client` directly, because the `getresponse` of urllib3 requires a
        # request sent with its own `request` method.
        response = http.client.HTTPConnection.getresponse(connection)
        body = response.read(self._max_answer_bytes + 1)
        if len(body) > self._max_answer_bytes:
            return _failed(
                Outcome.UNKNOWN, f"answer is over {self._max_answer_bytes} bytes"
            )
        length = response.headers.get("Content-Length")
        if length is not None and response.length:
            return _failed(
                Outcome.UNKNOWN, f"answer ended after {len(body)} of {length} bytes"
            )
        if is_cut_event_stream(response.headers.get("Content-Type", ""), body):
            return _failed(Outcome.UNKNOWN, "answer ended in the middle of an event")
        headers = _forwardable_headers(response.headers.items())
        return CallResult(
            outcome=Outcome.ANSWERED.value,
            status=response.status,
            headers=tuple(Header(name, value) for name, value in headers),
            body=body,
        )


def _failed(outcome, reason):
    return CallResult(outcome=outcome.value, reason=reason)
