"""Graceful shutdown: which requests a draining router still accepts, and when it exits.

The load balancer needs some seconds to stop sending connections, and keeps sending them
if no other router is ready. Refusing all of them would cost each caller one of its few
retries, so a draining router accepts the requests that it can complete before the
platform kills it. It refuses the others as not run, with a `Retry-After` header that
tells when a router is ready again.
"""

import math
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from bulrushdrum._internal.gateway.duration_estimates import (
    CallDurations,
    GenerationDurations,
)
from bulrushdrum._internal.gateway.messages import Generation

# The load balancer removes a router after two failed health checks, one second apart,
# and sends it new connections until then.
_OUT_OF_ROTATION_SECONDS = 2.6
# Requests must be expected to end this long before the router is killed.
_STOP_MARGIN_SECONDS = 0.4
# The router exits this long before it is killed, even with requests in progress.
_EXIT_MARGIN_SECONDS = 0.15
# The router exits after this time without a request in progress: a caller whose
# connection was just accepted sends its request within a round trip.
_IDLE_SECONDS = 0.3
# Approximate time until a stopped router has restarted and read its configuration.
# Callers that no router can serve retry after it, with jitter.
_RESTART_SECONDS = 1.2
_RESTART_JITTER_SECONDS = 0.8
# Jitter for refused callers that another router can serve immediately.
_OTHER_ROUTER_JITTER_SECONDS = 0.2
# A generation is accepted if it ends in time with this probability. The load balancer
# sends callers here until it takes the router out of rotation, so a refusal before that
# costs them more than it would later: often no router is left that accepts them.
# Afterwards it must end in time even if it reaches its stated maximum: nothing excuses
# the loss of a stream that was accepted so late, and any estimate of its length fails
# for some streams.
_IN_ROTATION_PROBABILITY = 0.8
# A router is expected to restart when each of its generations has ended with this
# probability.
_LAST_GENERATION_PROBABILITY = 0.99


class DrainAdmission(NamedTuple):
    """Whether a draining router accepts a request, and what decided; in seconds.

    `expected_seconds` is infinite if nothing bounds the duration. `samples` is the
    number of requests behind it.
    """

    accepted: bool
    expected_seconds: float
    seconds_left: float
    samples: int

    def log_fields(self) -> dict:
        return {
            "expected_seconds": (
                round(self.expected_seconds, 3)
                if math.isfinite(self.expected_seconds)
                else None
            ),
            "seconds_left": round(self.seconds_left, 3),
            "samples": self.samples,
        }


class DrainController:
    """Controls the drain of a router that is killed `grace` seconds after SIGTERM.

    `signalled_at()` returns when the signal arrived, a time of the clock, or None. What
    it decides holds from then on, also while a busy router has not begun to drain.
    """

    def __init__(
        self,
        grace: float,
        generations: GenerationDurations,
        calls: CallDurations,
        clock=time.monotonic,
        seed=None,
        signalled_at: Callable[[], float | None] = lambda: None,
    ):
        self._grace = grace
        self._signalled_at = signalled_at
        self._generations = generations
        self._calls = calls
        self._clock = clock
        self._random = random.Random(seed)
        # When the drain began, which may be long after the signal.
        self._begun_at: float | None = None
        self._idle_since: float | None = None
        self._busy_until = clock()
        # Whether that accounts for the generations that were in progress at the signal.
        self._counts_in_progress = False

    def begin(self):
        """Begin the drain, of a router that has told the load balancer."""
        self._begun_at = self._clock()
        self._count_in_progress()

    @property
    def is_draining(self) -> bool:
        return self._started_at is not None

    def seconds_since_signal(self, at: float) -> float | None:
        """Return how long after SIGTERM a time of the clock is; None without one."""
        return None if self._started_at is None else at - self._started_at

    @property
    def _started_at(self):
        """When SIGTERM arrived, from which the time of the kill counts."""
        signalled_at = self._signalled_at()
        return self._begun_at if signalled_at is None else signalled_at

    def decide_call(self, timeout: float) -> DrainAdmission:
        """Decide whether a call started now should end before the router exits.

        It takes at most `timeout` seconds, and is expected to take all of them once
        callers come to other routers.
        """
        expected_seconds = min(self._calls.seconds(), timeout)
        if self.is_draining and self._is_out_of_rotation():
            expected_seconds = timeout
        return self._decide(expected_seconds, self._calls.samples)

    def decide_generation(
        self, size: Generation | None, steps_per_event: int
    ) -> DrainAdmission:
        """Decide whether a generation should end before the router exits."""
        if not self.is_draining:
            return DrainAdmission(True, 0.0, math.inf, 0)
        admission = self._decide(
            self._expected_seconds(size, steps_per_event), self._generations.samples
        )
        if admission.accepted:
            self._count_in_progress()
            self._extend_busy_time(size, steps_per_event)
        return admission

    def has_time_for_any_generation(self) -> bool:
        """Whether a generation of any size should end before the router exits."""
        return self._decide(self._expected_seconds(None, 1), 0).accepted

    def _expected_seconds(self, size, steps_per_event):
        if not self.is_draining:
            return 0.0
        if self._is_out_of_rotation():
            return self._generations.longest_seconds(size, steps_per_event)
        return self._generations.seconds(
            size, steps_per_event, _IN_ROTATION_PROBABILITY
        )

    def _count_in_progress(self):
        if self._counts_in_progress:
            return
        self._counts_in_progress = True
        for size, steps_per_event in self._generations.in_progress():
            self._extend_busy_time(size, steps_per_event)

    def _extend_busy_time(self, size, steps_per_event):
        # The router restarts when the last of many generations has ended, so a probable
        # duration of one would be too short: callers would come back too early.
        seconds = self._generations.seconds(
            size, steps_per_event, _LAST_GENERATION_PROBABILITY
        )
        ends_at = min(self._clock() + seconds, self._exit_deadline())
        self._busy_until = max(self._busy_until, ends_at)

    def _decide(self, expected_seconds, samples):
        if self._started_at is None:
            return DrainAdmission(True, expected_seconds, math.inf, samples)
        seconds_left = self._stop_deadline() - self._clock()
        accepted = expected_seconds <= seconds_left
        return DrainAdmission(accepted, expected_seconds, seconds_left, samples)

    def retry_after(self, others_accept_work: bool, others_ready_in: float) -> float:
        """Return the seconds after which a refused caller should retry.

        `others_ready_in` is the time until all other routers accept work again.
        """
        jitter = self._random.random()
        if others_accept_work:
            return jitter * _OTHER_ROUTER_JITTER_SECONDS
        # The caller may reach any router, so it waits for the last one.
        ready_in = max(self.ready_in(), others_ready_in)
        return ready_in + jitter * _RESTART_JITTER_SECONDS

    def ready_in(self) -> float:
        """Return the approximate time until this router has restarted."""
        if not self.is_draining:
            return 0.0
        self._count_in_progress()
        return max(self._busy_until - self._clock(), 0.0) + _RESTART_SECONDS

    def is_complete(self, open_requests: int) -> bool:
        """Whether the router should stop accepting requests now, and finish."""
        now = self._clock()
        if now >= self._stop_deadline():
            return True
        if open_requests:
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        is_expected = now - self._begun_at < _OUT_OF_ROTATION_SECONDS
        return not is_expected and now - self._idle_since >= _IDLE_SECONDS

    def seconds_until_exit(self) -> float:
        """Return the time until the router exits at the latest."""
        return max(self._exit_deadline() - self._clock(), 0.0)

    def _exit_deadline(self):
        return self._started_at + self._grace - _EXIT_MARGIN_SECONDS

    def _is_out_of_rotation(self):
        # Counts from the signal also if the load balancer learned of it later: less of
        # the grace is left for what is accepted now.
        return self._clock() - self._started_at >= _OUT_OF_ROTATION_SECONDS

    def _stop_deadline(self):
        return self._started_at + self._grace - _STOP_MARGIN_SECONDS
