"""When a stream without events counts as stalled."""

import pytest
from tests.unit.gateway_fakes import make_route

from bulrushdrum._internal.gateway.stream_watch import StreamWatch, caller_timeout
from bulrushdrum._internal.world.routes import RequestKind

ROUTE = make_route(RequestKind.STREAMING, goal=0.5, gap_goal=0.25)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


def wait(watch, clock, seconds, received=False, step=0.2):
    """Let `seconds` pass in steps; return whether a check was ever due."""
    due = False
    while seconds > 1e-9:
        clock.now += min(step, seconds)
        seconds -= step
        due |= watch.is_check_due(received)
    return due


def test_a_silent_stream_is_checked_and_then_stalls(clock):
    watch = StreamWatch(ROUTE, 120.0, clock=clock)
    assert wait(watch, clock, 0.2) and not watch.needs_stall_check()
    wait(watch, clock, 0.4)
    assert watch.needs_stall_check() and not watch.has_stalled()
    wait(watch, clock, caller_timeout(ROUTE) - 0.6)
    assert watch.has_stalled()


def test_data_without_events_is_as_silent_as_nothing(clock):
    # Guards against a stream of comments that is never given up.
    watch = StreamWatch(ROUTE, 120.0, clock=clock)
    watch.record_event()
    assert wait(watch, clock, 2.0, received=True, step=0.01)
    assert watch.has_stalled()


def test_events_reset_the_silence(clock):
    watch = StreamWatch(ROUTE, 120.0, clock=clock)
    for _ in range(20):
        wait(watch, clock, 0.2)
        watch.record_event()
        assert not watch.needs_stall_check() and not watch.has_stalled()


def test_frequent_data_is_not_checked_each_time(clock):
    # A check costs a look at every upstream of the path.
    watch = StreamWatch(ROUTE, 120.0, clock=clock)
    watch.record_event()
    checks = sum(wait(watch, clock, 0.01, received=True, step=0.01) for _ in range(100))
    assert checks <= 5


def test_a_pause_of_this_process_is_not_silence_of_the_upstream(clock):
    # Guards against work that is started again elsewhere because a router was paused.
    watch = StreamWatch(ROUTE, 200.0, clock=clock)
    watch.record_event()
    clock.now += 30.0
    watch.is_check_due(received=False)
    assert not watch.has_stalled()


def test_the_wait_ends_with_the_deadline(clock):
    watch = StreamWatch(ROUTE, 100.05, clock=clock)
    assert 0.1 < watch.wait_seconds() <= 0.15
    clock.now += 0.151
    watch.is_check_due(received=False)
    assert watch.is_past_deadline()
    assert watch.wait_seconds() > 0


def test_a_stream_with_data_is_checked_at_its_deadline(clock):
    # Guards against a server that sends data without events, beside which a request
    # outlasts its deadline by the time until the next check.
    watch = StreamWatch(ROUTE, clock.now + 0.3, clock=clock)
    assert wait(watch, clock, 0.25, received=True, step=0.25)
    assert not wait(watch, clock, 0.1, received=True)
    assert wait(watch, clock, 0.06, received=True) and watch.is_past_deadline()
