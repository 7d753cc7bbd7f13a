"""When a router that is behind rejects requests."""

from tests.unit.gateway_fakes import make_route

from bulrushdrum._internal.gateway.overload import OverloadGuard
from bulrushdrum._internal.world.routes import RequestKind

# Callers of this route wait for two seconds for an event.
ROUTE = make_route(RequestKind.STREAMING, goal=0.5, gap_goal=0.25, timeout=20.0)


def rejects(loop_latency, seconds_left=20.0):
    return OverloadGuard(lambda: loop_latency).rejects(ROUTE, seconds_left)


def test_a_router_that_is_far_behind_rejects_requests():
    # Guards against a router that falls further behind with each request, so that it
    # notices a planned stop seconds late and cuts what its engines have finished.
    assert rejects(loop_latency=0.6)
    assert rejects(loop_latency=5.0)


def test_a_router_that_is_a_little_late_rejects_none():
    # Guards against serving less than the router can: a late answer is worth something.
    assert not rejects(loop_latency=0.0)
    assert not rejects(loop_latency=0.4)


def test_a_request_with_little_time_left_is_rejected_earlier():
    # Guards against work for callers whose deadline passes before they get anything.
    assert rejects(loop_latency=0.3, seconds_left=1.0)
    assert not rejects(loop_latency=0.1, seconds_left=1.0)


def test_a_request_past_its_deadline_is_left_to_others():
    # Guards against telling a caller to come back after its deadline.
    assert not rejects(loop_latency=5.0, seconds_left=0.0)
