"""What a router that was told to stop still takes on.

The balancer needs some seconds to stop sending connections, and goes on sending them if
no other router is ready. Refusing them all would cost each caller one of its few
retries, so a draining router serves what it can end before the platform kills it. The
rest is refused as not run, with the time at which some router is ready again.
"""

import random
import time

from hdrh.histogram import HdrHistogram

# The balancer takes a router out after two misses, one second apart; until then it
# still sends new connections.
_OUT_OF_ROTATION_SECONDS = 2.6
# What is still in progress this long before the platform's kill is given up, seconds.
_STOP_MARGIN_SECONDS = 0.4
# A router is at rest when no request was in progress for this long, in seconds: a
# caller whose connection was just accepted sends its request within a round trip.
_REST_SECONDS = 0.3
# A stopped router is started again and has read its configuration after about this
# time, in seconds; callers that no router can serve come back then, spread out.
_RESTART_SECONDS = 1.2
_RETURN_SPREAD_SECONDS = 0.8
# Other routers take a refused caller at once; spread over this time, in seconds.
_ELSEWHERE_SPREAD_SECONDS = 0.2
# A generation is taken if it ends in time even when it takes as long as this part of
# them, in percent: one that the kill cuts off is lost.
_USUAL_PERCENTILE = 99.0
# Assumed until generations have ended here, in seconds.
_UNMEASURED_GENERATION_SECONDS = 4.0
_FEWEST_MEASURED = 20
_LONGEST_RECORDED_MS = 600_000
_SIGNIFICANT_DIGITS = 2


class DrainController:
    """The end of a router that has `grace` seconds from the signal to its kill."""

    def __init__(self, grace: float, clock=time.monotonic, seed=None):
        self._grace = grace
        self._clock = clock
        self._random = random.Random(seed)
        self._began_at: float | None = None
        self._rested_since: float | None = None
        self._last_admitted_at = clock()
        self._durations = HdrHistogram(1, _LONGEST_RECORDED_MS, _SIGNIFICANT_DIGITS)

    @property
    def has_begun(self) -> bool:
        return self._began_at is not None

    def begin(self):
        self._began_at = self._clock()

    def record_generation(self, seconds: float):
        """Take over how long a whole generation took."""
        self._durations.record_value(max(int(seconds * 1000), 1))

    def try_admit_generation(self) -> bool:
        """Note that a generation begins now, if it ends before the router does."""
        if not self.has_time_for_generation():
            return False
        self._last_admitted_at = self._clock()
        return True

    def has_time_for_generation(self) -> bool:
        """Whether a generation that began now would end before the router does."""
        if self._began_at is None:
            return True
        return self._clock() + self._usual_seconds() <= self._end()

    def retry_after(self, others_accept_work: bool) -> float:
        """Return when a refused caller finds a router that serves it, in seconds."""
        spread = self._random.random()
        if others_accept_work:
            return spread * _ELSEWHERE_SPREAD_SECONDS
        busy_until = self._last_admitted_at + self._usual_seconds()
        back = max(busy_until - self._clock(), 0.0) + _RESTART_SECONDS
        return back + spread * _RETURN_SPREAD_SECONDS

    def is_complete(self, requests_in_progress: int) -> bool:
        """Whether the router is to end now."""
        now = self._clock()
        if now >= self._end():
            return True
        if requests_in_progress:
            self._rested_since = None
            return False
        if not self.has_time_for_generation():
            # The sooner it is started again, the sooner it is of use.
            return True
        if self._rested_since is None:
            self._rested_since = now
        out_of_rotation = now - self._began_at >= _OUT_OF_ROTATION_SECONDS
        return out_of_rotation and now - self._rested_since >= _REST_SECONDS

    def _end(self):
        return self._began_at + self._grace - _STOP_MARGIN_SECONDS

    def _usual_seconds(self):
        if self._durations.get_total_count() < _FEWEST_MEASURED:
            return _UNMEASURED_GENERATION_SECONDS
        milliseconds = self._durations.get_value_at_percentile(_USUAL_PERCENTILE)
        return milliseconds / 1000.0
