"""Faults that the review of the work on issue 35 found."""

import time

import gevent
from gevent.event import Event
from tests.unit.test_draining import DrainScenario, make_size

from bulrushdrum._internal.gateway.request_trace import RequestTrace
from bulrushdrum._internal.observability.loop_latency import LoopLatency

TASK_SECONDS = 0.001
WAITING_TASKS = 1500
TASKS = 6000


def test_the_latency_counts_tasks_that_wait_to_be_started():
    # Guards against a router that accepts all requests while each new connection waits
    # for seconds: gevent runs timers between any 50 tasks that wait to be started.
    latency = LoopLatency()
    measuring = gevent.spawn(latency.run)
    gevent.sleep(0.3)
    waits, done = [], Event()

    def work(spawned_at):
        waits.append((time.monotonic() - spawned_at, latency.sustained()))
        end = time.monotonic() + TASK_SECONDS
        while time.monotonic() < end:
            pass
        if len(waits) < TASKS:
            gevent.spawn(work, time.monotonic())
        else:
            done.set()

    now = time.monotonic()
    for _ in range(WAITING_TASKS):
        gevent.spawn(work, now)
    done.wait()
    measuring.kill()
    waited, seen = waits[TASKS - 1]
    assert waited > 1.0
    assert seen > waited / 4.0


def test_callers_refused_before_the_drain_has_begun_wait_for_those_in_progress():
    # Guards against callers that are asked back while the router still drains: between
    # the signal and the begin of the drain it refuses, but counts no generation.
    scenario = DrainScenario()
    scenario.run_generations(*[(100.0, 25)] * 30)
    scenario.generations.begin(RequestTrace(scenario.clock), make_size(600.0), 4)
    scenario.signalled_at = scenario.clock.now
    before = scenario.controller.ready_in()
    scenario.controller.begin()
    assert before == scenario.controller.ready_in()
