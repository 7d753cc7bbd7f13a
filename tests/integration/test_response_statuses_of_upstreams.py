"""A router process whose upstreams answer with statuses that HTTP does not have.

Guards against such bytes, or the answer behind them, that reach a caller, against
requests that wait for an answer after them, and against a connection that is used again
after them.
"""

import itertools
import time

import pytest
from bench.standins.path_server import (
    PathServer,
    complete_response,
    event,
    head,
    resumed,
    stream,
)
from bench.standins.row_store import RowStore
from gevent import socket
from tests.integration.router_system import (
    AUTHORIZATION,
    FakeEngine,
    Router,
    make_configuration,
)
from tests.unit.gateway_fakes import read_response

pytestmark = pytest.mark.slow

# An attempt that waits for an answer takes longer than callers have to wait.
TIMEOUT_MS = 6000
AT_ONCE_SECONDS = 2.5
STATUSES = ["000", "001", "099", "199", "600", "999"]
FRAMINGS = {
    "length": b"Content-Length: 5\r\n\r\nhello",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}
CASES = list(zip(STATUSES, itertools.cycle(FRAMINGS)))
EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))
_ids = itertools.count()


class Upstreams:
    """Answers for several upstreams.

    `good` gives the answers to requests; `planned` holds the scripts of the next ones.
    Arrivals are kept as pairs of a connection and the id of the request. `plan_none`
    sets the script of the one answer that is none. It is given on the next connection
    that was used before, or on the next that was not; until then, requests are served.
    """

    def __init__(self, good):
        self.planned = []
        self.arrivals = []
        self.connection_of_none = None
        # How many arrivals there were when that answer was given.
        self.until_none = 0
        self._next_none = None
        self._good = good

    def plan_none(self, script, is_kept):
        self._next_none = (script, is_kept)
        self.connection_of_none = None

    def script(self, name):
        def answer(request):
            request_id = request["headers"].get("bulrushdrum-attempt-id", "")
            if not request_id.startswith("case"):
                return self._good(request)
            connection = (name, request["connection"])
            is_used = connection in [used for used, _ in self.arrivals]
            self.arrivals.append((connection, request_id))
            if self.planned:
                return self.planned.pop(0)(request)
            if self._next_none is None:
                return self._good(request)
            script, is_kept = self._next_none
            if is_used == is_kept:
                self._next_none = None
                self.connection_of_none = connection
                self.until_none = len(self.arrivals)
                return script(request)
            return self._good(request) if is_kept else closing(self._good)(request)

        return answer

    def connections(self, request_id):
        return [c for c, other in self.arrivals if other == request_id]


class System:
    """A router with plain services and engines, all of which stay registered."""

    def __init__(self, folder):
        self.store = RowStore()
        self.router = Router(folder, self.store, **{"retry-budget-extra": 100})
        self.services = Upstreams(complete_response)
        self.engines = Upstreams(resumed)
        configuration = make_configuration()
        streams, calls = configuration["routes"]
        streams |= {"timeout-ms": 20_000, "max-attempts": 4}
        streams |= {"goal-ms": 3000, "gap-goal-ms": 3000}
        calls["timeout-ms"] = TIMEOUT_MS
        repeatable = {**calls, "name": "r-3", "prefix": "/a/c/"}
        repeatable |= {"route-kind": "idempotent", "max-attempts": 3}
        configuration["routes"].append(repeatable)
        self.store.put("op", "config", configuration)
        self._servers = [self._add_service(name) for name in ("p1", "p2")]
        engines = [
            FakeEngine(name, self.store, self.engines.script(name))
            for name in ("e1", "e2")
        ]
        self._servers += [engine.server for engine in engines]
        self.router.wait_for(lambda: all(engine.orders for engine in engines))
        for path in (b"/a/x", b"/a/b/x", b"/a/c/x"):
            self.router.wait_for(
                lambda path=path: self.router.send_request(path).status == 200
            )

    def _add_service(self, name):
        server = PathServer(name, self.services.script(name))
        registration = {
            "service": "s2",
            "zone": "a",
            "slots": 100,
            "state": "ready",
            "address": server.address,
            "born": 1,
        }
        self.store.put("servers", name, registration)
        return server

    def call(self, prefix):
        """Return the response to a new request, its id and its seconds."""
        request_id = f"case{next(_ids)}"
        target = prefix + request_id.encode()
        began_at = time.monotonic()
        with socket.create_connection(("127.0.0.1", self.router.port), 15.0) as sock:
            sock.sendall(
                b"POST %s HTTP/1.1\r\nHost: h.example\r\n"
                b"Bulrushdrum-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
                % (target, request_id.encode(), AUTHORIZATION)
            )
            response = read_response(sock)
        return response, request_id, time.monotonic() - began_at

    def stop(self):
        self.router.stop()
        for server in self._servers:
            server.stop()
        self.store.stop()


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    system = System(tmp_path_factory.mktemp("router"))
    yield system
    system.stop()


def is_none(status, framing):
    """Return a script: an answer with `status`, and the next on its connection."""

    def script(request):
        first_line, rest = head(request, length=0).split(b"\r\n", 1)
        begin = rest.split(b"Content-Length", 1)[0]
        line = b"HTTP/1.1 %s X\r\n" % status.encode()
        if request["target"].startswith(("/a/b/", "/a/c/")):
            following = complete_response(request, b"whole answer")
        else:
            following = stream(request, 40, 41)
        return [line + begin + FRAMINGS[framing], *following]

    return script


def closing(script):
    """Return a script whose connections are not used again."""

    def answer(request):
        first, *rest = script(request)
        return [first.replace(b"\r\n", b"\r\nConnection: close\r\n", 1), *rest, None]

    return answer


def call_until_none(system, prefix, status, framing, is_kept):
    """Return the response, id and seconds of the request whose answer was none."""
    upstreams = system.services
    upstreams.plan_none(is_none(status, framing), is_kept)
    for _ in range(10):
        response, request_id, seconds = system.call(prefix)
        if upstreams.connection_of_none is not None:
            return response, request_id, seconds
        assert (response.status, response.body) == (200, b"done")
    raise AssertionError("no connection was as planned")


def check_later_requests(system, prefix):
    """Check that later requests are served, on other connections."""
    upstreams = system.services
    for _ in range(2):
        response, _, _ = system.call(prefix)
        assert (response.status, response.body) == (200, b"done")
    later = [connection for connection, _ in upstreams.arrivals[upstreams.until_none :]]
    assert upstreams.connection_of_none not in later


both_connections = pytest.mark.parametrize(
    "is_kept", [False, True], ids=["new", "kept"]
)


@both_connections
@pytest.mark.parametrize("status, framing", CASES)
def test_an_idempotent_call_is_sent_elsewhere(system, status, framing, is_kept):
    response, request_id, seconds = call_until_none(
        system, b"/a/c/", status, framing, is_kept
    )
    assert (response.status, response.body) == (200, b"done")
    assert seconds < AT_ONCE_SECONDS
    assert len(set(system.services.connections(request_id))) == 2
    check_later_requests(system, b"/a/c/")


@both_connections
@pytest.mark.parametrize("status, framing", CASES)
def test_a_call_that_may_have_run_fails_at_once(system, status, framing, is_kept):
    response, request_id, seconds = call_until_none(
        system, b"/a/b/", status, framing, is_kept
    )
    assert response.status == 502
    assert b"hello" not in response.body and b"whole answer" not in response.body
    assert "bulrushdrum-server-stamp" not in response.headers
    assert seconds < AT_ONCE_SECONDS
    assert len(system.services.connections(request_id)) == 1
    check_later_requests(system, b"/a/b/")


@pytest.mark.parametrize("status, framing", CASES)
def test_a_stream_that_has_begun_goes_on_elsewhere(system, status, framing):
    # The engine breaks off after two events; the answer to the resumption is none.
    def break_off(request):
        return [head(request), event(1), event(2), None]

    system.engines.planned = [break_off, is_none(status, framing)]
    response, request_id, seconds = system.call(b"/a/")
    assert (response.status, response.is_complete) == (200, True)
    assert response.body == EVENTS
    assert seconds < AT_ONCE_SECONDS
    assert len(system.engines.connections(request_id)) == 3
