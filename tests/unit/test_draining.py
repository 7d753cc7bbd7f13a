"""What a draining router takes on, and when it ends.

The load pattern: all routers are stopped one after another, faster than each of them
drains, so for some seconds none is ready and the balancer goes on sending to them.
"""

from bulrushdrum._internal.gateway.draining import Draining

SEED = 20261204
GRACE_SECONDS = 8.0


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def begun(after=0.0):
    clock = Clock()
    draining = Draining(GRACE_SECONDS, clock, SEED)
    draining.begin()
    clock.now += after
    return draining, clock


def test_generations_are_taken_as_long_as_they_can_end():
    # Guards against refusals while no other router is ready, and against streams that
    # the platform's kill cuts off.
    draining, clock = begun()
    assert draining.try_take_generation()
    clock.now += 3.5
    assert draining.try_take_generation()
    clock.now += 0.2
    assert not draining.try_take_generation()


def test_the_time_that_a_generation_needs_is_measured():
    # Guards against refusals for the sake of an assumed length.
    draining, clock = begun()
    for number in range(100):
        draining.record_generation(1.0 + number / 100.0)
    clock.now += 5.5
    assert draining.try_take_generation()
    clock.now += 0.4
    assert not draining.try_take_generation()


def test_a_router_that_does_not_drain_takes_everything():
    # Guards against refusals outside a stop.
    assert Draining(0.0, Clock(), SEED).try_take_generation()


def test_refused_callers_come_back_when_a_router_is_ready():
    # Guards against callers whose only retry meets routers that still restart, and
    # against all of them at the same moment.
    draining, _ = begun()
    soon = [draining.retry_after(others_take_it=True) for _ in range(50)]
    late = [draining.retry_after(others_take_it=False) for _ in range(50)]
    assert max(soon) <= 0.2
    # Its own last generation may take until four seconds from now.
    assert min(late) >= 5.2 and max(late) - min(late) > 0.4


def test_it_ends_only_once_the_balancer_has_noticed_and_nothing_is_in_progress():
    # Guards against resets of connections that the balancer still sends.
    draining, clock = begun()
    assert not draining.is_over(0)
    clock.now += 2.7
    assert not draining.is_over(1)
    assert not draining.is_over(0)
    clock.now += 0.35
    assert draining.is_over(0)


def test_it_ends_at_once_when_it_can_take_no_more():
    # Guards against a router that is of no use and is not started again either.
    draining, _ = begun(after=4.0)
    assert not draining.is_over(1)
    assert draining.is_over(0)


def test_requests_that_keep_coming_do_not_hold_it_beyond_the_grace():
    # Guards against a router that the platform must kill.
    draining, clock = begun(after=7.5)
    assert not draining.is_over(3)
    clock.now += 0.15
    assert draining.is_over(3)
