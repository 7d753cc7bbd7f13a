"""Planned stops of a router whose engines pause their streams and are suspected."""

import json
import signal

import gevent
import pytest
from bench.standins.path_server import END, event, head, not_executed
from tests.integration.router_system import FakeEngine, Router, make_configuration
from tests.integration.test_router_stops import Caller

pytestmark = pytest.mark.slow

STREAMS = 40
# Requests that an engine takes at once: more than all streams.
SLOTS = 96
EVENTS = 30
EVENT_SECONDS = 0.03
REFUSED = b"refused"


class PausingEngines:
    """Two engines with all layers; while `is_paused` their streams get no event.

    A request whose id begins with `REFUSED` is refused as by an engine without memory.
    """

    def __init__(self, router, store):
        self.is_paused = False
        self.engines = [
            FakeEngine(name, store, self._answer, slots=SLOTS) for name in ("e1", "e2")
        ]
        configuration = make_configuration()
        configuration["services"][0]["engine"]["slots"] = SLOTS
        configuration["services"][0]["max-conns"] = 2 * SLOTS
        store.put("op", "config", configuration)
        router.wait_for(
            lambda: (
                all(engine.orders for engine in self.engines)
                and router.send_request().status == 200
            )
        )

    def _answer(self, request):
        if request["headers"]["bulrushdrum-attempt-id"].startswith(REFUSED.decode()):
            yield from not_executed(request)
            return
        yield head(request, 200, "Content-Type: text/event-stream")
        first = int(request["headers"].get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            yield event(number)
            yield EVENT_SECONDS
            while self.is_paused:
                yield EVENT_SECONDS
        yield END


@pytest.fixture
def router(tmp_path, store):
    router = Router(tmp_path, store, **{"retry-budget-extra": 0})
    yield router
    router.stop()


# Guards against streams that a router gives up in a planned stop because their engines,
# which pause and go on, refused one other request, and the limit on retries is used up.
def test_streams_of_engines_that_pause_and_refuse_are_not_given_up_in_a_stop(
    router, store
):
    engines = PausingEngines(router, store)
    callers = [Caller(router, b"stream-%d" % number) for number in range(STREAMS)]
    tasks = [gevent.spawn(caller.send) for caller in callers]
    gevent.sleep(0.5)
    router.process.send_signal(signal.SIGTERM)
    engines.is_paused = True
    gevent.sleep(0.15)
    for number in range(4):
        Caller(router, b"%s-%d" % (REFUSED, number)).send()
    gevent.sleep(1.0)
    engines.is_paused = False
    gevent.joinall(tasks, timeout=8.0)
    assert router.process.wait(timeout=8.0) == 0
    lines = map(json.loads, router.log.read_text().splitlines())
    given_up = [line for line in lines if line["event"] == 8207]
    assert [line for line in given_up if line["events_delivered"]] == []
    assert [caller.is_complete for caller in callers] == [True] * STREAMS
