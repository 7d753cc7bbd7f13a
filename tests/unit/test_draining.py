"""What a draining router takes on, and when it ends.

The load pattern: all routers are stopped one after another, faster than each of them
drains, so for some seconds none is ready and the balancer goes on sending to them.
"""

from bulrushdrum._internal.gateway.draining import DrainController

SEED = 20261204
GRACE_SECONDS = 8.0


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def begun(after=0.0):
    clock = Clock()
    controller = DrainController(GRACE_SECONDS, clock, SEED)
    controller.begin()
    clock.now += after
    return controller, clock


def test_generations_are_taken_as_long_as_they_can_end():
    # Guards against refusals while no other router is ready, and against streams that
    # the platform's kill cuts off.
    controller, clock = begun()
    assert controller.try_admit_generation()
    clock.now += 3.5
    assert controller.try_admit_generation()
    clock.now += 0.2
    assert not controller.try_admit_generation()


def test_the_time_that_a_generation_needs_is_measured():
    # Guards against refusals for the sake of an assumed length.
    controller, clock = begun()
    for number in range(100):
        controller.record_generation(1.0 + number / 100.0)
    clock.now += 5.5
    assert controller.try_admit_generation()
    clock.now += 0.4
    assert not controller.try_admit_generation()


def test_a_router_that_does_not_drain_takes_everything():
    # Guards against refusals outside a stop.
    assert DrainController(0.0, Clock(), SEED).try_admit_generation()


def test_refused_callers_come_back_when_a_router_is_ready():
    # Guards against callers whose only retry meets routers that still restart, and
    # against all of them at the same moment.
    controller, _ = begun()
    soon = [controller.retry_after(others_accept_work=True) for _ in range(50)]
    late = [controller.retry_after(others_accept_work=False) for _ in range(50)]
    assert max(soon) <= 0.2
    # Its own last generation may take until four seconds from now.
    assert min(late) >= 5.2 and max(late) - min(late) > 0.4


def test_it_ends_only_once_the_balancer_has_noticed_and_nothing_is_in_progress():
    # Guards against resets of connections that the balancer still sends.
    controller, clock = begun()
    assert not controller.is_complete(0)
    clock.now += 2.7
    assert not controller.is_complete(1)
    assert not controller.is_complete(0)
    clock.now += 0.35
    assert controller.is_complete(0)


def test_it_ends_at_once_when_it_can_take_no_more():
    # Guards against a router that is of no use and is not started again either.
    controller, _ = begun(after=4.0)
    assert not controller.is_complete(1)
    assert controller.is_complete(0)


def test_requests_that_keep_coming_do_not_hold_it_beyond_the_grace():
    # Guards against a router that the platform must kill.
    controller, clock = begun(after=7.5)
    assert not controller.is_complete(3)
    clock.now += 0.15
    assert controller.is_complete(3)
