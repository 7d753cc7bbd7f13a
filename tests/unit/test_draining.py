"""Which requests a draining router accepts, when refused callers retry, and when it
exits.

The scenario is a rolling restart that stops routers faster than they drain. For some
seconds no router is ready, and the load balancer keeps sending requests to all of them.
"""

import random
import time

from bulrushdrum._internal.gateway.draining import DrainController
from bulrushdrum._internal.gateway.duration_estimates import (
    CallDurations,
    GenerationDurations,
)
from bulrushdrum._internal.gateway.messages import Generation
from bulrushdrum._internal.gateway.request_trace import RequestTrace

SEED = 20261204
GRACE_SECONDS = 8.0
STEPS_PER_EVENT = 4
EVENT_SECONDS = 0.04
MAX_TOKENS = 600.0
OUT_OF_ROTATION_SECONDS = 2.6
# The time that a draining router has for new requests.
SERVING_SECONDS = GRACE_SECONDS - 0.4


class FakeClock:
    now = 100.0

    def __call__(self):
        return self.now


class DrainScenario:
    """A router with a fake clock, and the generations that it has proxied."""

    def __init__(self):
        self.clock = FakeClock()
        self.generations = GenerationDurations(self.clock)
        self.calls = CallDurations()
        self.signalled_at = None
        self.controller = DrainController(
            GRACE_SECONDS,
            self.generations,
            self.calls,
            self.clock,
            SEED,
            lambda: self.signalled_at,
        )

    def run_generations(self, *pairs):
        """Run generations of (expected tokens, events) at once, until now."""
        longest = max(events for _, events in pairs)
        self.clock.now -= longest * EVENT_SECONDS
        self._run(pairs, longest)

    def begin_generations(self, *pairs, seconds):
        """Begin generations of (expected tokens, events); `seconds` pass."""
        self._run(pairs, int(seconds / EVENT_SECONDS))

    def _run(self, pairs, event_count):
        traces = [RequestTrace(self.clock) for _ in pairs]
        for trace, (expected, _) in zip(traces, pairs, strict=True):
            self.generations.begin(trace, make_size(expected), STEPS_PER_EVENT)
        for number in range(1, event_count + 1):
            self.clock.now += EVENT_SECONDS
            for trace, (_, events) in zip(traces, pairs, strict=True):
                if number <= events:
                    trace.record_event()
                if number == events:
                    self.generations.end(trace, complete=True)

    def drain(self, after=0.0, late=0.0):
        self.signalled_at = self.clock.now - late
        self.controller.begin()
        self.clock.now += after

    def accepts(self, expected_tokens, max_tokens=MAX_TOKENS):
        size = make_size(expected_tokens, max_tokens)
        return self.controller.decide_generation(size, STEPS_PER_EVENT).accepted


def make_size(expected_tokens, max_tokens=MAX_TOKENS):
    return Generation(500.0, max_tokens, expected_tokens)


def draw_lengths(count, seed=SEED):
    """Draw pairs of expected tokens and events; the estimates are often far off."""
    drawn = random.Random(seed)
    pairs = []
    for _ in range(count):
        tokens = min(drawn.lognormvariate(5.0, 0.8), MAX_TOKENS)
        expected = max(tokens * drawn.lognormvariate(0.0, 0.4), STEPS_PER_EVENT)
        pairs.append((expected, max(round(tokens / STEPS_PER_EVENT), 1)))
    return pairs


def make_drain(after=0.0, pairs=None):
    scenario = DrainScenario()
    scenario.run_generations(*(pairs or draw_lengths(200)))
    scenario.drain(after)
    return scenario


def test_a_long_generation_is_refused_when_only_a_short_one_can_end():
    # Guards against streams that are cut because the router compares the durations of
    # all earlier streams together with the time left, and against refusing all of them.
    scenario = make_drain(after=4.0)
    assert scenario.accepts(expected_tokens=30.0, max_tokens=40.0)
    assert not scenario.accepts(expected_tokens=400.0, max_tokens=400.0)


def test_accepted_generations_end_before_the_router_exits():
    # Guards against the loss of accepted streams, whatever the moment of the request:
    # even one that reaches its maximum at half of the pace ends in time.
    lost = accepted = 0
    for tenth in range(
        int(OUT_OF_ROTATION_SECONDS * 10) + 1, int(SERVING_SECONDS * 10)
    ):
        scenario = make_drain(after=tenth / 10)
        seconds_left = SERVING_SECONDS - tenth / 10
        for expected, events in draw_lengths(100, seed=tenth):
            if scenario.accepts(expected, max_tokens=events * STEPS_PER_EVENT):
                accepted += 1
                lost += events * EVENT_SECONDS * 2.0 > seconds_left
    assert accepted > 1000
    assert lost == 0


def test_a_generation_that_may_be_long_is_refused_although_it_is_expected_to_be_short():
    # Guards against streams that a router out of rotation accepts by an estimate of
    # their length, and cuts when it exits because they are longer.
    scenario = make_drain(after=OUT_OF_ROTATION_SECONDS + 0.1)
    assert not scenario.accepts(expected_tokens=4.0)
    scenario.clock.now -= 0.2
    assert scenario.accepts(expected_tokens=4.0)


def test_most_requests_are_accepted_while_the_balancer_sends_them():
    # Guards against refusals while no other router may be left that accepts them.
    scenario = make_drain(after=OUT_OF_ROTATION_SECONDS - 0.1)
    requests = draw_lengths(200, seed=1)
    assert sum(scenario.accepts(expected) for expected, _ in requests) >= 180


def test_a_router_that_started_recently_does_not_expect_short_generations_only():
    # Guards against streams that are cut because only short ones have completed since
    # the router started: the long ones are still in progress.
    scenario = DrainScenario()
    pairs = [(100.0, 10 + number) for number in range(40)] + [(100.0, 150)] * 40
    scenario.begin_generations(*pairs, seconds=2.4)
    scenario.drain(after=OUT_OF_ROTATION_SECONDS + 0.1)
    assert not scenario.accepts(expected_tokens=100.0)


def test_a_late_generation_is_accepted_only_if_it_may_lose_its_path():
    # Guards against accepting, seconds before the exit, a generation that has no time
    # left for a second path while engines fail: it is cut in the middle of its answer.
    def drain_after_a_recovery(seconds):
        scenario = DrainScenario()
        scenario.run_generations(*[(40.0, 10)] * 100)
        trace = RequestTrace(scenario.clock)
        scenario.generations.begin(trace, make_size(400.0), STEPS_PER_EVENT)
        for attempt_events in (5, 95):
            trace.record_attempt(["e1=0-80"], "e1")
            scenario.clock.now += seconds if attempt_events == 95 else 0.0
            for _ in range(attempt_events):
                scenario.clock.now += EVENT_SECONDS
                trace.record_event()
        scenario.generations.end(trace, complete=True)
        scenario.drain(after=SERVING_SECONDS - 2.0)
        return scenario

    assert drain_after_a_recovery(0.0).accepts(40.0, max_tokens=40.0)
    scenario = drain_after_a_recovery(1.5)
    assert not scenario.accepts(40.0, max_tokens=40.0)
    scenario.clock.now -= 1.6
    assert scenario.accepts(40.0, max_tokens=40.0)


def test_the_pace_of_streams_in_progress_counts():
    # Guards against estimates from before the load of other routers came over.
    scenario = make_drain()
    assert scenario.accepts(expected_tokens=250.0)
    for _ in range(40):
        trace = RequestTrace(scenario.clock)
        scenario.generations.begin(trace, make_size(200.0), STEPS_PER_EVENT)
        for _ in range(4):
            scenario.clock.now += 0.01
            trace.record_event()
        trace._last_event_at += 4.0
    assert not scenario.accepts(expected_tokens=250.0)


def test_a_router_that_was_idle_remembers_how_long_generations_take():
    # Guards against streams that are cut because there was none in the last seconds.
    scenario = DrainScenario()
    scenario.run_generations(*draw_lengths(200))
    scenario.clock.now += 60.0
    scenario.drain(after=4.0)
    assert scenario.accepts(expected_tokens=30.0, max_tokens=40.0)
    assert not scenario.accepts(expected_tokens=400.0, max_tokens=400.0)


def test_streams_in_progress_do_not_bound_the_length_of_others():
    # Guards against streams that are cut because those in progress are short so far.
    scenario = DrainScenario()
    scenario.begin_generations(*[(None, 150)] * 40, seconds=2.0)
    scenario.drain(after=4.0)
    admission = scenario.controller.decide_generation(None, STEPS_PER_EVENT)
    assert not admission.accepted


def test_callers_return_after_the_streams_that_were_in_progress():
    # Guards against callers that come back to a router that still drains, because its
    # streams began before the stop.
    scenario = DrainScenario()
    scenario.run_generations(*draw_lengths(200))
    scenario.begin_generations(*[(300.0, 150)] * 10, seconds=0.4)
    scenario.drain()
    assert scenario.controller.ready_in() > 4.0


def test_a_request_without_a_stated_size_may_be_as_long_as_any():
    # Guards against streams that are cut because nothing is known about their length.
    scenario = make_drain(after=4.0)
    admission = scenario.controller.decide_generation(None, STEPS_PER_EVENT)
    assert not admission.accepted
    assert admission.expected_seconds > 4.0


def test_a_router_without_earlier_generations_accepts_while_it_is_in_rotation():
    # Guards against refusing everything after a restart, as nothing is known yet, and
    # against streams that are cut because a guess took the place of their duration.
    scenario = DrainScenario()
    scenario.drain(after=OUT_OF_ROTATION_SECONDS - 0.1)
    assert scenario.accepts(expected_tokens=100.0)
    scenario.clock.now += 0.2
    assert not scenario.accepts(expected_tokens=4.0, max_tokens=4.0)


def test_a_router_that_is_not_draining_admits_generations():
    # Guards against refusals by a router that is not shutting down.
    scenario = DrainScenario()
    scenario.run_generations(*draw_lengths(50))
    assert scenario.accepts(expected_tokens=2000.0)
    assert scenario.controller.decide_call(timeout=1.5).accepted


def test_a_call_may_take_longer_than_those_before():
    # Guards against calls that are cut because they take as long as 1 in 100 does.
    scenario = DrainScenario()
    for _ in range(99):
        scenario.calls.record(0.05)
    scenario.calls.record(3.0)
    scenario.drain(after=OUT_OF_ROTATION_SECONDS - 0.1)
    assert not scenario.controller.decide_call(timeout=10.0).accepted
    assert scenario.controller.decide_call(timeout=5.0).accepted
    scenario.clock.now -= 1.5
    assert scenario.controller.decide_call(timeout=10.0).accepted


def test_a_call_is_accepted_late_in_a_stop_only_if_its_timeout_fits():
    # Guards against a call that is cut at the end of a planned stop, because it takes
    # longer than all before.
    scenario = DrainScenario()
    for _ in range(300):
        scenario.calls.record(0.05)
    scenario.drain(after=6.5)
    assert not scenario.controller.decide_call(timeout=1.5).accepted
    assert scenario.controller.decide_call(timeout=1.0).accepted
    scenario.clock.now -= 4.4
    assert scenario.controller.decide_call(timeout=9.0).accepted


def test_retry_after_covers_the_restart_with_jitter():
    # Guards against callers that spend their only retry while all routers restart, and
    # against simultaneous retries.
    scenario = make_drain()
    controller = scenario.controller
    assert scenario.accepts(expected_tokens=100.0)
    elsewhere = [controller.retry_after(True, 0.0) for _ in range(50)]
    after_restart = [controller.retry_after(False, 0.0) for _ in range(50)]
    assert max(elsewhere) <= 0.2
    # The last accepted generation may take some seconds.
    assert min(after_restart) >= 3.0 and max(after_restart) - min(after_restart) > 0.4


def test_retry_after_covers_a_generation_of_unknown_length():
    # Guards against callers that come back too early to a router that has restarted
    # recently: the accepted generation may take four seconds, and the restart 1.2.
    scenario = DrainScenario()
    scenario.drain()
    assert scenario.accepts(expected_tokens=100.0)
    controller = scenario.controller
    after_restart = [controller.retry_after(False, 0.0) for _ in range(50)]
    assert min(after_restart) >= 5.2 and max(after_restart) - min(after_restart) > 0.4


def test_retry_after_covers_the_restart_of_other_routers():
    # Guards against callers that come back when this router has restarted, reach one
    # that still drains, and are refused for good.
    controller = make_drain().controller
    assert min(controller.retry_after(False, 9.0) for _ in range(50)) >= 9.0
    assert max(controller.retry_after(True, 9.0) for _ in range(50)) <= 0.2


def test_it_exits_when_it_is_out_of_rotation_and_idle():
    # Guards against resetting new connections from the load balancer.
    scenario = make_drain()
    assert not scenario.controller.is_complete(0)
    scenario.clock.now += 2.7
    assert not scenario.controller.is_complete(1)
    assert not scenario.controller.is_complete(0)
    scenario.clock.now += 0.35
    assert scenario.controller.is_complete(0)


def test_it_exits_early_when_it_has_no_requests():
    # Guards against delaying the restart of a router that has nothing to do.
    scenario = make_drain(after=4.0)
    assert not scenario.controller.is_complete(1)
    assert not scenario.controller.is_complete(0)
    scenario.clock.now += 0.35
    assert scenario.controller.is_complete(0)


def test_it_exits_before_the_kill_despite_requests_in_progress():
    # Guards against a router that does not exit before the platform kills it.
    scenario = make_drain(after=7.5)
    assert not scenario.controller.is_complete(3)
    scenario.clock.now += 0.15
    assert scenario.controller.is_complete(3)
    assert 0.1 < scenario.controller.seconds_until_exit() < 0.3


def measure_begin(in_progress):
    """Return the processor time that the begin of a drain takes, in seconds."""
    times = []
    for _ in range(5):
        scenario = DrainScenario()
        scenario.run_generations(*draw_lengths(100))
        pairs = [(100.0 + number, 150) for number in range(in_progress)]
        scenario.begin_generations(*pairs, seconds=0.4)
        began_at = time.process_time()
        scenario.drain()
        times.append(time.process_time() - began_at)
    return min(times)


def test_the_begin_of_a_drain_takes_no_longer_for_each_of_many_streams():
    # Guards against streams that are cut, though their engine has ended, because the
    # begin of a drain takes a time in proportion to the square of their number.
    assert measure_begin(400) < 6.0 * measure_begin(100)


def test_callers_that_expect_nearly_the_same_give_no_extreme_estimate():
    # Guards against an estimate that is too large for a number, from lengths that
    # differ by chance among requests with nearly the same expected answer.
    scenario = DrainScenario()
    pairs = [(100.0 + 0.001 * number, 2 + 3 * number) for number in range(40)]
    scenario.run_generations(*pairs)
    scenario.drain()
    size = Generation(500.0, 0.0, 100_000.0)
    admission = scenario.controller.decide_generation(size, STEPS_PER_EVENT)
    assert 0.0 < admission.expected_seconds < 60.0


def test_a_router_that_notices_the_signal_late_exits_before_the_kill():
    # Guards against a busy router that counts the time until it is killed from when it
    # notices the signal: it accepts requests that the kill cuts.
    scenario = DrainScenario()
    scenario.run_generations(*draw_lengths(200))
    scenario.drain(late=3.0)
    assert scenario.controller.seconds_until_exit() <= GRACE_SECONDS - 3.0
    assert not scenario.accepts(expected_tokens=500.0)
    scenario.clock.now += SERVING_SECONDS - 3.0
    assert scenario.controller.is_complete(3)


def test_a_router_that_notices_the_signal_late_waits_for_the_load_balancer():
    # Guards against resetting connections of the load balancer, which only learns of
    # the stop when the router has noticed it.
    scenario = DrainScenario()
    scenario.drain(late=3.0)
    assert not scenario.controller.is_complete(0)
    scenario.clock.now += 2.4
    assert not scenario.controller.is_complete(0)
    scenario.clock.now += 0.5
    assert scenario.controller.is_complete(0)


def test_a_router_decides_by_the_signal_before_it_has_begun_to_drain():
    # Guards against a busy router that accepts everything until its event loop comes
    # to the begin of the drain, and is killed before that has ended.
    scenario = DrainScenario()
    scenario.run_generations(*draw_lengths(200))
    scenario.signalled_at = scenario.clock.now - 4.0
    assert scenario.controller.is_draining
    assert scenario.accepts(expected_tokens=30.0, max_tokens=40.0)
    assert not scenario.accepts(expected_tokens=400.0, max_tokens=400.0)
    assert not scenario.controller.decide_call(5.0).accepted


def test_statistics_expire_after_a_pause_while_they_are_computed():
    # Guards against estimates from before a pause, which hold for twenty times as long.
    clock = FakeClock()
    generations = GenerationDurations(lambda: clock.now)
    assert generations.seconds(None, STEPS_PER_EVENT, 0.9) == 4.0
    clock.now += 0.3
    times = iter([clock.now, clock.now + 30.0])
    generations._clock = lambda: next(times)
    generations.seconds(None, STEPS_PER_EVENT, 0.9)
    assert generations._statistics_expire_at <= clock.now + 31.0


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
