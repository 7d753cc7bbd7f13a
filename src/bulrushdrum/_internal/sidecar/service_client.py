"""One HTTP exchange with a plain service, and whether the call may have run.

Each call has a connection of its own. Connecting, sending and receiving are separate
steps, so a failure says by its place what is known: before the first byte was sent the
call has not run, afterwards it may have. A kept-alive connection could be closed by the
service just as the next call is sent, and that call's outcome would be unknown for
nothing.
"""

import http.client
import re

import gevent
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from bulrushdrum._internal.peering.messages import Call, CallResult, Header
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.world.addresses import parse_address
from bulrushdrum._internal.world.requests import Outcome

CONNECT_TIMEOUT_SECONDS = 1.0
_TARGET = re.compile(r"/[\x21-\x7e]*")
_METHOD = re.compile(r"[A-Z]{1,16}")
# Headers that belong to one connection, and those that this client sets itself.
_OWN_HEADERS = frozenset(
    "connection content-length host keep-alive proxy-authenticate proxy-authorization "
    "proxy-connection te trailer transfer-encoding upgrade expect".split()
)


def _forwarded(headers) -> list[tuple[str, str]]:
    """Return the headers that are passed on, without those of the connection."""
    named = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
    dropped = _OWN_HEADERS | named
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class ServiceClient:
    """Calls the plain service at `settings.upstream_url`."""

    def __init__(self, settings: SidecarSettings):
        url = settings.upstream_url.removeprefix("http://").rstrip("/")
        self._host, self._port = parse_address(url)
        self._max_answer_bytes = settings.max_answer_bytes

    def run(self, call: Call, timeout: float) -> CallResult:
        """Make one call; `timeout` in seconds covers the whole exchange."""
        if not _TARGET.fullmatch(call.path) or not _METHOD.fullmatch(call.method):
            return _ended(Outcome.NOT_RUN, "malformed method or path")
        connection = HTTPConnection(
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
            return _ended(Outcome.NOT_RUN, f"cannot connect: {error}")
        connection.sock.settimeout(timeout)
        try:
            self._prepare(connection, call)
        except (ValueError, http.client.HTTPException) as error:
            return _ended(Outcome.NOT_RUN, f"malformed call: {error}")
        expired = gevent.Timeout(timeout)
        expired.start()
        try:
            connection.endheaders(call.body or None)
            return self._receive(connection)
        except gevent.Timeout as error:
            if error is not expired:
                raise
            return _ended(Outcome.UNKNOWN, f"no whole answer in {timeout:.1f} s")
        except (HTTPError, OSError, http.client.HTTPException) as error:
            return _ended(
                Outcome.UNKNOWN, f"no answer: {type(error).__name__}: {error}"
            )
        finally:
            expired.close()

    def _prepare(self, connection, call):
        """Put the request into the connection's buffer; nothing is sent yet."""
        connection.putrequest(call.method, call.path, skip_accept_encoding=True)
        headers = [(header.name, header.value) for header in call.headers]
        for name, value in _forwarded(headers):
            connection.putheader(name, value)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            connection.putheader("Content-Length", str(len(call.body)))
        connection.putheader("Connection", "close")

    def _receive(self, connection):
        # The response of `http.client`: urllib3's own needs its request method.
        response = http.client.HTTPConnection.getresponse(connection)
        body = response.read(self._max_answer_bytes + 1)
        if len(body) > self._max_answer_bytes:
            return _ended(
                Outcome.UNKNOWN, f"answer is over {self._max_answer_bytes} bytes"
            )
        length = response.headers.get("Content-Length")
        if length is not None and response.length:
            return _ended(
                Outcome.UNKNOWN, f"answer ended after {len(body)} of {length} bytes"
            )
        headers = _forwarded(response.headers.items())
        return CallResult(
            outcome=Outcome.ANSWERED.value,
            status=response.status,
            headers=tuple(Header(name, value) for name, value in headers),
            body=body,
        )


def _ended(outcome, reason):
    return CallResult(outcome=outcome.value, reason=reason)
