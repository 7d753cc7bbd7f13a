"""A gateway and fake upstream servers that run in the test process."""

import time

from bench.standins.path_server import PathServer
from gevent import socket
from tests.unit.pool_fakes import make_engine, make_limits, make_model

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.gateway.callers import CallerServer
from bulrushdrum._internal.gateway.crash_evidence import CrashEvidence
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generations import GenerationProxy
from bulrushdrum._internal.gateway.path_waiting import PathWaiter
from bulrushdrum._internal.gateway.plain_calls import PlainCallProxy
from bulrushdrum._internal.gateway.statement_recorder import StatementRecorder
from bulrushdrum._internal.gateway.stream_moves import StreamMover
from bulrushdrum._internal.gateway.turns import TurnWaiter
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import (
    Hop,
    MemoryReservations,
)
from bulrushdrum._internal.pipelines.part_quarantine import PartQuarantine
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.pipelines.silent_upstreams import SilentUpstreams
from bulrushdrum._internal.pipelines.stall_detection import StallDetector
from bulrushdrum._internal.platform.engine_calls import EngineCalls
from bulrushdrum._internal.platform.headers import parse_request_metadata
from bulrushdrum._internal.settings.router import ResponseLimits
from bulrushdrum._internal.world.routes import RequestKind, Route, ServiceShare
from bulrushdrum._internal.world.upstreams import LayerRange

REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: h.example\r\nBulrushdrum-Attempt-Id: r1\r\n"
    b"Bulrushdrum-Token-Count: 100,20\r\nContent-Length: 4\r\n\r\nbody"
)


def make_route(kind, max_attempts=2, **changes):
    route = Route(
        "r",
        "h.example",
        "/a/",
        kind,
        (ServiceShare("llm", 1.0),),
        timeout=3.0,
        goal=0.2,
        gap_goal=0.1,
        max_attempts=max_attempts,
        resumable=kind is RequestKind.STREAMING,
    )
    return route._replace(**changes)


class Gateway:
    """Serves one route on a loopback port, with its own fleet and pool."""

    def __init__(self, route, extra=100, limits=None):
        self.route = route
        self.fleet, self.reservations = Fleet(), MemoryReservations()
        self.quarantine = CrashQuarantine(self.fleet.has_terminated)
        self.part_quarantine = PartQuarantine(
            self.fleet.has_terminated, self.fleet.software_versions
        )
        self.limits = make_limits()
        self.pool = ConnectionPool(limits or ResponseLimits())
        self.model = make_model(layer_bytes=1e9)
        self.servers: dict[str, PathServer] = {}
        self.seconds = None
        self.budget = RetryWindow(0.2, extra, 10.0)
        chooser = PathChooser(self.fleet, self.reservations, self.limits, "a", seed=3)
        turns = TurnWaiter(self.limits)
        statements = StatementRecorder(self.fleet, self.limits)
        calls = EngineCalls(0.3)
        silent_upstreams = SilentUpstreams(time.monotonic, lambda: False)
        self.conditions = ConditionExchange(
            self.fleet,
            PeerMessages("r1", "i1", lambda *_: None, dict),
            lambda upstream: chooser.memory_utilization(self.model, upstream),
            lambda: silent_upstreams.working(0.05),
        )
        stall_detector = StallDetector(
            self.fleet,
            calls.report,
            chooser.set_slowdown,
            self.conditions.report_unresponsive,
        )
        path_waiter = PathWaiter(chooser, turns)
        self.mover = StreamMover(
            silent_upstreams,
            path_waiter,
            self.budget,
            lambda: 1,
            stall_detector.check_path,
            self.fleet.is_avoided,
        )
        self._generation_proxy = GenerationProxy(
            self.fleet,
            self.reservations,
            path_waiter,
            self.pool,
            self.budget,
            lambda: 1,
            stall_detector.check_path,
            CrashEvidence(self.fleet, self.quarantine, self.part_quarantine),
            statements,
            self.mover,
            self.conditions,
        )
        self._plain_call_proxy = PlainCallProxy(
            self.fleet,
            self.pool,
            self.budget,
            "a",
            lambda: 1,
            self.quarantine,
            self.limits,
            statements,
            turns,
            seed=3,
        )
        self.callers = CallerServer("127.0.0.1:0", self._handle)
        self.callers.start()

    def add_server(self, name, script, layers=None, **changes):
        """Start a fake server, register it as an upstream and return it."""
        server = self.servers[name] = PathServer(name, script)
        kind = "large" if layers else ""
        engine = make_engine(name, kind, layers=layers, address=server.address)
        self.fleet.put(engine._replace(**changes))
        return server

    def record_other_success(self, name):
        """Record that a server has just served a request of another caller."""
        self.fleet.record_success(name)
        hop = Hop(self.fleet.get(name), LayerRange(0, 40))
        self.conditions.record_events([hop], time.monotonic())

    def _handle(self, connection, request):
        metadata = parse_request_metadata(request.headers)
        deadline = request.read_at + (metadata.seconds_left or self.route.timeout)
        proxied_request = ProxiedRequest(request, metadata, deadline, "t1", 1, "f1")
        if self.route.kind is RequestKind.STREAMING:
            self._generation_proxy.run(
                connection, proxied_request, self.route, "llm", self.model
            )
        else:
            response = self._plain_call_proxy.run(
                proxied_request, self.route, "llm", connection.trace
            )
            connection.send(response)

    def connect(self):
        port = self.callers._server.server_port
        return socket.create_connection(("127.0.0.1", port), timeout=5.0)

    def call(self, request=REQUEST):
        """Send a request, return the response and store the duration in `seconds`."""
        started_at = time.monotonic()
        with self.connect() as sock:
            sock.sendall(request)
            response = read_response(sock, has_body=not request.startswith(b"HEAD"))
        self.seconds = time.monotonic() - started_at
        return response

    def stop(self):
        self.callers.stop_accepting()
        for server in self.servers.values():
            server.stop()


class CallerResponse:
    """A response as read by a caller; `is_complete` is false if it was cut off."""

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


def read_response(sock, has_body=True):
    stream = sock.makefile("rb")
    line = stream.readline()
    if not line:
        return CallerResponse(None, {}, b"", False)
    headers = {}
    while (header := stream.readline().strip()) != b"":
        name, _, value = header.decode().partition(":")
        headers[name.lower()] = value.strip()
    status = int(line.split()[1])
    if not has_body:
        return CallerResponse(status, headers, b"", True)
    if "content-length" in headers:
        body = stream.read(int(headers["content-length"]))
        is_complete = len(body) == int(headers["content-length"])
        return CallerResponse(status, headers, body, is_complete)
    body = b""
    while size := stream.readline().strip():
        data = stream.read(int(size, 16))
        stream.readline()
        if not int(size, 16):
            return CallerResponse(status, headers, body, True)
        body += data
    return CallerResponse(status, headers, body, False)
