"""When a router that is behind rejects requests."""

import pytest
from tests.unit.gateway_fakes import make_route

from bulrushdrum._internal.gateway.overload import OverloadGuard
from bulrushdrum._internal.observability.loop_latency import LoopLatency
from bulrushdrum._internal.world.routes import RequestKind

# Callers of this route wait for two seconds for an event.
ROUTE = make_route(RequestKind.STREAMING, goal=0.5, gap_goal=0.25, timeout=20.0)


def rejects(loop_latency, seconds_left=20.0):
    guard = OverloadGuard(lambda: loop_latency)
    return guard.rejects_generation(ROUTE, seconds_left)


def test_a_router_that_is_far_behind_rejects_requests():
    # Guards against a router that falls further behind with each request, so that it
    # notices a planned stop seconds late and cuts what its engines have finished.
    assert rejects(loop_latency=0.6)
    assert rejects(loop_latency=5.0)
    assert OverloadGuard(lambda: 0.5).rejects_call(seconds_left=0.8)


def test_a_router_that_is_a_little_late_rejects_none():
    # Guards against serving less than the router can: a late answer is worth something.
    assert not rejects(loop_latency=0.0)
    assert not rejects(loop_latency=0.4)
    assert not OverloadGuard(lambda: 0.2).rejects_call(seconds_left=0.8)


def test_a_request_with_little_time_left_is_rejected_earlier():
    # Guards against work for callers whose deadline passes before they get anything.
    assert rejects(loop_latency=0.3, seconds_left=1.0)
    assert not rejects(loop_latency=0.1, seconds_left=1.0)


def test_a_request_past_its_deadline_is_left_to_others():
    # Guards against telling a caller to come back after its deadline.
    assert not rejects(loop_latency=5.0, seconds_left=0.0)
    assert not OverloadGuard(lambda: 5.0).rejects_call(seconds_left=0.0)


class FakeLoop:
    """Turns of an event loop, each of which ends late by a given time."""

    def __init__(self):
        self._now = 10.0
        self.latency = LoopLatency(clock=lambda: self._now)

    def turn(self, late):
        self._now = self.latency._due_at + late
        self.latency._record(self.latency.current())
        self.latency._due_at = self._now + 0.1


def test_one_late_turn_is_no_overload():
    # Guards against a router that refuses everything after it was paused once.
    loop = FakeLoop()
    for late in (0.0, 0.0, 3.0):
        loop.turn(late)
        assert loop.latency.sustained() == pytest.approx(0.0, abs=1e-6)
    loop.turn(0.3)
    assert loop.latency.sustained() == pytest.approx(0.3)
    loop.turn(0.0)
    assert loop.latency.sustained() == pytest.approx(0.0, abs=1e-6)


def test_turns_that_are_late_one_after_the_other_are_overload():
    # Guards against a router that goes on to accept while it falls behind.
    loop = FakeLoop()
    loop.turn(0.6)
    loop.turn(1.5)
    assert loop.latency.sustained() == pytest.approx(0.6)
    loop._now += 2.0
    assert loop.latency.sustained() == pytest.approx(0.6)
    loop.turn(2.0)
    assert loop.latency.sustained() == pytest.approx(1.5)
