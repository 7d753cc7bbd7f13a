"""Router processes lend each other retries, and keep the limit of all together."""

import json
import time

import gevent
import pytest
from bench.standins.path_server import complete_response, head
from tests.integration.router_system import Router, make_configuration
from tests.integration.test_upstream_limits import add_service, wait_until_served

pytestmark = pytest.mark.slow

WINDOW_SECONDS = 2.0
EXTRA = 20
ROUTERS = 3
# What one router may use without loans, less the part left to begun answers.
OWN_RETRIES = int(0.6 * EXTRA / ROUTERS * 0.8)
# The limit counts sendings, and its upstreams see them a little later.
LATENESS_SECONDS = 0.1


class RefusingServers:
    """Refuse the first sending of each request; `retries` are the second ones."""

    def __init__(self):
        self.refuses = False
        self.retries = []
        self._refused = set()

    def __call__(self, request):
        if not self.refuses:
            return complete_response(request)
        if request["target"] not in self._refused:
            self._refused.add(request["target"])
            extra = ["Bulrushdrum-Not-Executed: 1"]
            return [head(request, 503, *extra, signed=False, length=0)]
        self.retries.append(time.monotonic())
        return complete_response(request)

    def most_in_a_window(self):
        seconds = WINDOW_SECONDS - LATENESS_SECONDS
        return max(
            sum(first <= at < first + seconds for at in self.retries)
            for first in self.retries
        )


@pytest.fixture
def routers(tmp_path, store):
    store.put("op", "config", make_configuration())
    bounds = {
        "retry-budget-ratio": 0,
        "retry-budget-extra": EXTRA,
        "budget-window-s": WINDOW_SECONDS,
    }
    routers = [Router(tmp_path, store, f"r{n + 1}", **bounds) for n in range(ROUTERS)]
    yield routers
    for router in routers:
        router.stop()


def state(router):
    return json.loads(router.send_request(b"/state", b"GET", router.metrics_port).body)


def test_a_router_that_needs_more_than_its_share_borrows_it(routers, store):
    # Guards against requests that are given up while other routers have retries left,
    # and against loans beyond the limit of all routers together.
    servers = RefusingServers()
    add_service(store, "p1", servers)
    add_service(store, "p2", servers)
    wait_until_served(routers, b"/a/b/x", "p1", "p2")
    for router in routers:
        router.wait_for(
            lambda r=router: len(state(r)["routers"]["heard"]) == ROUTERS - 1
        )
    # Routers do not lend in the first window and lifetime of a loan after their start.
    gevent.sleep(WINDOW_SECONDS + 2.0)
    servers.refuses = True
    statuses = []
    for number in range(100):
        response = routers[0].send_request(b"/a/b/%d" % number)
        statuses.append(response.status)
        gevent.sleep(0.03)
    assert servers.most_in_a_window() > OWN_RETRIES
    assert servers.most_in_a_window() <= EXTRA
    assert statuses.count(200) == len(servers.retries)
    levels = [state(router)["levels"] for router in routers]
    lent = sum(level["retries_lent"] for level in levels)
    assert levels[0]["borrowed_retries_used"] <= levels[0]["retries_borrowed"] <= lent
    assert levels[0]["borrowed_retries_used"] > 0
    assert 8231 in routers[0].events()
    assert 8230 in routers[1].events() + routers[2].events()
