"""Several router processes share what they learn of upstreams while the store is away.

Load: engines refuse requests or fall silent under requests of several routers.
"""

import json
import re
import time

import gevent
import pytest
from bench.standins.path_server import event, head, not_executed, resumed
from tests.integration.router_system import FakeEngine, Router, make_configuration
from tests.integration.test_upstream_limits import usable_ids

pytestmark = pytest.mark.slow

EVENTS = 60
EVENT_SECONDS = 0.02


class Engine(FakeEngine):
    """Holds layers from its start, and answers for the whole path that it begins.

    `engines` are all by address; `refuses` and `is_silent` concern requests over this
    one, wherever it is on the path.
    """

    def __init__(self, upstream_id, store, first, end, engines):
        super().__init__(upstream_id, store, self._serve)
        self.refuses = self.is_silent = self.serves_slowly = False
        self.requests = 0
        self._engines, self.first_layer = engines, first
        engines[self.server.address] = self
        layers = {"from": first, "target": end, "version": 1}
        self._registration["layers"] = layers
        store.put("servers", upstream_id, self._registration)

    def _serve(self, request):
        hops = request["headers"]["bulrushdrum-hop-count"]
        path = [self._engines[hop.partition("=")[0]] for hop in hops.split(",")]
        for engine in path:
            engine.requests += 1
            if engine.refuses:
                is_first = engine is self
                at_server = None if is_first else engine.server.address
                return not_executed(request, at_server=at_server)
        return self._stream(request, path) if self.serves_slowly else resumed(request)

    def _stream(self, request, path):
        yield head(request, 200, "Content-Type: text/event-stream")
        first = int(request["headers"].get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            yield EVENT_SECONDS
            while any(engine.is_silent for engine in path):
                yield EVENT_SECONDS
            yield event(number)
        yield b"0\r\n\r\n"


class System:
    def __init__(self, folder, store):
        store.put("op", "config", make_configuration())
        bounds = {"retry-budget-extra": 200}
        self.routers = [Router(folder, store, f"r{n}", **bounds) for n in (1, 2, 3)]
        self.engines = {}
        for name, first, end in (
            ("e1", 0, 5),
            ("e2", 0, 5),
            ("e3", 5, 10),
            ("e4", 5, 10),
        ):
            Engine(name, store, first, end, self.engines)
        for router in self.routers:
            router.wait_for(lambda r=router: r.send_request().status == 200)
            router.wait_for(lambda r=router: len(usable_ids(r)) == 4)
        # Each router has heard the others.
        gevent.sleep(1.0)
        store.is_down = True
        self.routers[0].wait_for(lambda: 4001 in self.routers[0].events())

    def most_used(self, first_layer):
        return max(
            (e for e in self.engines.values() if e.first_layer == first_layer),
            key=lambda engine: engine.requests,
        )

    def call_for(self, seconds):
        """Send requests to all routers for a while; return the statuses."""
        statuses, end = [], time.monotonic() + seconds

        def call(router):
            while time.monotonic() < end:
                statuses.append(router.send_request().status)
                gevent.sleep(0.05)

        gevent.joinall([gevent.spawn(call, router) for router in self.routers])
        return statuses

    def stop(self):
        for router in self.routers:
            router.stop()
        for engine in self.engines.values():
            engine.server.stop()


@pytest.fixture
def system(tmp_path, store):
    system = System(tmp_path, store)
    yield system
    system.stop()


def lines(router, number):
    entries = map(json.loads, router.log.read_text().splitlines())
    return [entry for entry in entries if entry["event"] == number]


@pytest.mark.parametrize("first_layer", [0, 5], ids=["first hop", "named in At-Server"])
def test_one_router_is_refused_for_all(system, first_layer):
    # Guards against each router learning of an engine that refuses by refusals of its
    # own, again after each backoff.
    first, *others = system.routers
    engine = system.most_used(first_layer)
    engine.refuses = True
    first.wait_for(lambda: first.send_request() and lines(first, 8204))
    statuses = system.call_for(seconds=5.0)
    assert statuses == [200] * len(statuses)
    # The first router asks again for all: after 0.5, 1 and 2 s.
    refused = [len(lines(router, 8204)) for router in system.routers]
    assert refused[0] >= 2
    # One, if this process was late.
    assert refused[1] + refused[2] <= 1
    assert all(lines(router, 8228) for router in others)
    engine.refuses = False
    for router in system.routers:
        router.wait_for(lambda r=router: r.send_request() and not avoided(r))


def avoided(router):
    state = router.send_request(b"/state", b"GET", router.metrics_port)
    return json.loads(state.body)["fleet"]["avoided"]


def test_streams_leave_an_engine_that_falls_silent(system):
    # Guards against routers that wait for their own streams to tell which engine is
    # silent, when no engine reports it and no connection ends.
    for router in system.routers:
        for _ in range(6):
            assert router.send_request().status == 200
    for engine in system.engines.values():
        engine.serves_slowly = True
    streams = [
        gevent.spawn(router.send_request) for router in system.routers for _ in range(6)
    ]
    gevent.sleep(0.5)
    silent = system.most_used(first_layer=5)
    silent.is_silent = True
    gevent.joinall(streams, timeout=20.0, raise_error=True)
    for stream in streams:
        response = stream.value
        ids = [int(number) for number in re.findall(rb"id: (\d+)\n", response.body)]
        assert (response.status, response.is_complete) == (200, True)
        assert ids == list(range(1, EVENTS + 1))
    for router in system.routers:
        claims = [*lines(router, 8227), *lines(router, 8228)]
        found = {claim["upstream"] for claim in claims}

        assert silent.id in found
