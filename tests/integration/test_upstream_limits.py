"""Several router processes keep the limit on requests that an upstream names."""

import json
import random
import time

import gevent
import pytest
from bench.standins.path_server import (
    PathServer,
    complete_response,
    head,
    report,
    stream,
)
from tests.integration.router_system import FakeEngine, Router, make_configuration

from bulrushdrum._internal.platform.engine_calls import EngineCalls
from bulrushdrum._internal.platform.headers import parse_statements
from bulrushdrum._internal.world.statements import RequestLimit, UnreadableLimit

pytestmark = pytest.mark.slow

# The users' rule: in each window, at most so many times the limit and some more, from
# some time after the limit was first named.
WINDOW_SECONDS = 4.0
MAX_OVERSHOOT = 1.5
MAX_EXTRA = 5
GRACE_SECONDS = 3.0

# Most callers come to one router, as a load balancer's hash may have it.
CALLER_SHARES = (0.7, 0.2, 0.1)


class LimitedServer:
    """Records the arrivals at a server that names a limit from its first answer on."""

    def __init__(self, limit, answer=complete_response):
        self.limit = limit
        self.arrivals = []
        self._answer = answer

    def __call__(self, request):
        self.arrivals.append(time.monotonic())
        steps = self._answer(request)
        if self.limit is not None:
            name, first = b"Server-Limit: %s\r\n" % self.limit.encode(), steps[0]
            end = first.index(b"\r\n") + 2
            steps = [first[:end] + name + first[end:], *steps[1:]]
        return steps

    def worst_window(self):
        """Return the most arrivals in a window that begins when the rule binds."""
        arrivals = [t for t in self.arrivals if t >= self.arrivals[0] + GRACE_SECONDS]
        return max(
            sum(first <= t < first + WINDOW_SECONDS for t in arrivals)
            for first in arrivals
        )

    def allowed(self):
        return MAX_OVERSHOOT * float(self.limit) * WINDOW_SECONDS + MAX_EXTRA


class Callers:
    """Sends requests to several routers at a rate, and keeps the responses."""

    def __init__(self, routers, path, rate):
        self._routers, self._path, self._rate = routers, path, rate
        self._random = random.Random(5)
        self.responses = []

    def run(self, seconds):
        end = time.monotonic() + seconds
        calls = []
        while time.monotonic() < end:
            router = self._random.choices(self._routers, CALLER_SHARES)[0]
            calls.append(gevent.spawn(self._call, router))
            gevent.sleep(self._random.expovariate(self._rate))
        gevent.joinall(calls, timeout=10.0, raise_error=True)

    def _call(self, router):
        sent_at = time.monotonic()
        response = router.send_request(self._path)
        self.responses.append((response, time.monotonic() - sent_at))

    def count(self, status):
        return sum(response.status == status for response, _ in self.responses)


@pytest.fixture
def routers(tmp_path, store):
    store.put("op", "config", make_configuration())
    bounds = {"retry-budget-extra": 100}
    routers = [Router(tmp_path, store, f"r{n}", **bounds) for n in (1, 2, 3)]
    yield routers
    for router in routers:
        router.stop()


def add_service(store, upstream_id, script):
    server = PathServer(upstream_id, script)
    registration = {
        "service": "s2",
        "zone": "a",
        "slots": 100,
        "state": "ready",
        "address": server.address,
        "born": 1,
    }
    store.put("servers", upstream_id, registration)
    return server


def wait_until_served(routers, path, *upstreams):
    """Wait until all routers serve `path` and have read the rows of `upstreams`.

    The first change of a table is read at once and the next ones some time later, so
    a router that serves requests may know only one of several new upstreams.
    """
    for router in routers:
        router.wait_for(lambda r=router: r.send_request(path).status == 200)
        router.wait_for(lambda r=router: usable_ids(r) >= set(upstreams))


def usable_ids(router):
    """Return the upstreams that hold layers, or that need none."""
    state = router.send_request(b"/state", b"GET", router.metrics_port)
    upstreams = json.loads(state.body)["fleet"]["upstreams"]
    return {
        upstream_id
        for upstream_id, upstream in upstreams.items()
        if upstream["layers"] is not None or not upstream["kind"]
    }


def test_calls_beyond_an_upstreams_limit_go_to_other_upstreams(routers, store):
    # Guards against sending an upstream more requests than all routers together may.
    limited = LimitedServer(None)
    add_service(store, "p1", limited)
    add_service(store, "p2", complete_response)
    wait_until_served(routers, b"/a/b/x", "p1", "p2")
    limited.limit, limited.arrivals = "3.5", []
    callers = Callers(routers, b"/a/b/x", rate=40.0)
    callers.run(seconds=9.0)
    assert limited.worst_window() <= limited.allowed()
    assert callers.count(200) == len(callers.responses)


def test_streams_beyond_an_upstreams_limit_go_to_other_upstreams(routers, store):
    # Guards against the same for engines that are first on many paths.
    limited = LimitedServer(None, stream)
    engines = [FakeEngine("e1", store, limited), FakeEngine("e2", store, stream)]
    routers[0].wait_for(lambda: all(engine.orders for engine in engines))
    wait_until_served(routers, b"/a/x", "e1", "e2")
    limited.limit, limited.arrivals = "3.5", []
    callers = Callers(routers, b"/a/x", rate=30.0)
    callers.run(seconds=9.0)
    assert limited.worst_window() <= limited.allowed()
    assert callers.count(200) == len(callers.responses)


def test_calls_beyond_all_limits_are_refused_at_once_as_not_run(routers, store):
    # Guards against keeping a limit by refusing more than it asks for, and against
    # callers that wait for what is known not to come.
    limited = LimitedServer(None)
    add_service(store, "p1", limited)
    wait_until_served(routers, b"/a/b/x", "p1")
    limited.limit, limited.arrivals = "6", []
    callers = Callers(routers, b"/a/b/x", rate=30.0)
    callers.run(seconds=9.0)
    assert limited.worst_window() <= limited.allowed()
    assert callers.count(200) + callers.count(503) == len(callers.responses)
    # Two thirds of the limit, over the time that was played.
    assert callers.count(200) >= 9.0 * float(limited.limit) * 2 / 3
    refused = [(r, s) for r, s in callers.responses if r.status == 503]
    assert all(float(r.headers["retry-after"]) > 0 for r, _ in refused)
    assert sorted(seconds for _, seconds in refused)[len(refused) // 2] < 0.4
    lines = [json.loads(line) for line in routers[0].log.read_text().splitlines()]
    reasons = {line["others"] for line in lines if line["event"] == 8219}
    assert reasons == {"no upstream of 's2' is left"}


def test_a_limit_ends_with_the_first_answer_that_does_not_name_it(routers, store):
    # Guards against a limit that outlives the need of its upstream.
    limited = LimitedServer(None)
    add_service(store, "p1", limited)
    wait_until_served(routers, b"/a/b/x", "p1")
    limited.limit = "0"
    Callers(routers, b"/a/b/x", rate=30.0).run(seconds=3.0)
    limited.limit = None
    # Longer than the interval at which a limit of 0 is tried again.
    Callers(routers, b"/a/b/x", rate=30.0).run(seconds=6.0)
    callers = Callers(routers, b"/a/b/x", rate=30.0)
    callers.run(seconds=2.0)
    assert callers.count(200) == len(callers.responses)


@pytest.mark.parametrize("limit", ["many", "-3", "nan", "inf", "1e400", "", "٣"])
def test_a_limit_that_is_no_number_changes_nothing(limit):
    # Guards against a garbled header that closes an upstream, or that ends its limit.
    headers = [(b"server-limit", limit.encode())]
    assert isinstance(parse_statements(200, headers).limit, UnreadableLimit)


def test_a_limit_is_read_from_a_refusal(routers, store):
    # Guards against learning of a limit only from requests that were served.
    def refuse(request):
        extra = ["Bulrushdrum-Not-Executed: 1"]
        return [head(request, 503, *extra, signed=False, length=0)]

    limited = LimitedServer(None, refuse)
    add_service(store, "p1", limited)
    add_service(store, "p2", complete_response)
    wait_until_served(routers, b"/a/b/x", "p1", "p2")
    limited.limit, limited.arrivals = "2", []
    callers = Callers(routers, b"/a/b/x", rate=40.0)
    callers.run(seconds=8.0)
    assert limited.worst_window() <= limited.allowed()
    assert callers.count(200) == len(callers.responses)


def test_a_limit_is_read_from_a_report():
    # Guards against learning of a limit only from answers to requests.
    said = []
    server = PathServer(
        "e1",
        lambda request: [report()[0].replace(b"\r\n", b"\r\nServer-Limit: 4.5\r\n", 1)],
    )
    calls = EngineCalls(1.0, lambda *statement: said.append(statement))
    assert calls.report(server.address) is not None
    server.stop()
    assert [(a, s.limit) for a, s in said] == [(server.address, RequestLimit(4.5))]
