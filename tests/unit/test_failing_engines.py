"""Engines that answer every request with an error while their health checks are good.

Load: paths keep beginning at such an engine, because it looks the cheapest, and each of
these requests uses up one of its few attempts.
"""

import gevent
import pytest
from bench.standins.path_server import head, resumed
from tests.unit.gateway_fakes import Gateway, make_route
from tests.unit.test_generations import EVENTS, generation_requests

from bulrushdrum._internal.world.routes import RequestKind


def fails(request):
    return [head(request, status=500, length=4) + b"oops"]


@pytest.fixture
def gateway():
    gateway = Gateway(make_route(RequestKind.STREAMING, goal=1.0))
    yield gateway
    gateway.stop()


def test_no_path_begins_at_an_engine_that_fails_all_requests(gateway):
    # Guards against generations that fail because each router meets the engine anew.
    failing = gateway.add_server("failing", fails, (0, 40))
    gateway.add_server("other", resumed, (0, 40), data_centre="b")
    for _ in range(6):
        assert gateway.call().body == EVENTS
    assert len(generation_requests(failing)) == 2


def test_an_engine_that_failed_is_tried_again(gateway):
    # Guards against leaving out an engine for good after some errors.
    answers = [fails, fails]
    engine = gateway.add_server(
        "engine", lambda r: (answers.pop() if answers else resumed)(r), (0, 40)
    )
    gateway.add_server("other", resumed, (0, 40), data_centre="b")
    for _ in range(3):
        gateway.call()
    assert gateway.fleet.is_avoided_as_first(gateway.fleet.get("engine"))
    gevent.sleep(1.1)
    gateway.call()
    assert len(generation_requests(engine)) == 3
    assert not gateway.fleet.is_avoided_as_first(gateway.fleet.get("engine"))


def test_single_errors_between_successes_exclude_no_engine(gateway):
    # Guards against losing engines to errors that are chance.
    count = 0

    def fails_now_and_then(request):
        nonlocal count
        count += 1
        return fails(request) if count % 3 == 1 else resumed(request)

    gateway.add_server("one", fails_now_and_then, (0, 40))
    gateway.add_server("other", resumed, (0, 40), data_centre="b")
    for _ in range(9):
        assert gateway.call().body == EVENTS
        assert not gateway.fleet.is_avoided_as_first(gateway.fleet.get("one"))


def test_the_only_engine_that_can_begin_a_path_is_used(gateway):
    # Guards against refusing all requests because an engine fails some of them.
    one = gateway.add_server("one", fails, (0, 40))
    for _ in range(4):
        gateway.call()
    assert gateway.fleet.is_avoided_as_first(gateway.fleet.get("one"))
    assert len(generation_requests(one)) >= 4
