"""Decides when a stream that delivers no events has stalled, and when its time is over.

Only events count: an upstream that sends comments, or one byte at a time, is as silent
as one that sends nothing. Time in which this process did not run does not count as
silence of the upstream.
"""

import time

from bulrushdrum._internal.world.routes import Route

# Interval at which a waiting generation checks its path.
POLL_INTERVAL_SECONDS = 0.2
# The path of a stream is checked for a stall after this multiple of the route's gap
# goal without an event or, before the first event, of the route's goal.
_STALL_CHECK_GAPS = 1.2
_STALL_CHECK_GOALS = 0.8
# Callers cancel a stalled stream after the longest of two seconds, four goals and eight
# gap goals. The router retries on another path after a fraction of that time, whatever
# the cause.
_MIN_CALLER_TIMEOUT_SECONDS = 2.0
_CALLER_TIMEOUT_GOALS = 4.0
_CALLER_TIMEOUT_GAPS = 8.0
_STALL_TIMEOUT_FRACTION = 0.7
# Upstreams stop at the deadline; their last bytes have this long to arrive.
_DEADLINE_MARGIN_SECONDS = 0.1
# Longest step between two checks: the wait for data and a call for a report. A longer
# one means that this process was paused.
_MAX_STEP_SECONDS = 0.8


def caller_timeout(route: Route) -> float:
    """Return how long a caller waits for the next event, in seconds."""
    return max(
        _MIN_CALLER_TIMEOUT_SECONDS,
        route.goal * _CALLER_TIMEOUT_GOALS,
        route.gap_goal * _CALLER_TIMEOUT_GAPS,
    )


class StreamWatch:
    """Measures the time without an event against the limits of the route.

    It watches one attempt, which must read the prompt before its first event even if
    an earlier attempt has delivered events. `deadline` is a time of `clock`.
    """

    def __init__(self, route: Route, deadline: float, clock=time.monotonic):
        self._clock = clock
        self._route = route
        self._give_up_at = deadline + _DEADLINE_MARGIN_SECONDS
        self._has_events = False
        self._silent_seconds = 0.0
        self._observed_at = self._checked_at = clock()

    @property
    def has_events(self) -> bool:
        """Whether the attempt has delivered an event."""
        return self._has_events

    def wait_seconds(self) -> float:
        """Return how long to wait for data before the next check."""
        remaining = self._give_up_at - self._observed_at
        return max(min(POLL_INTERVAL_SECONDS, remaining), 0.001)

    def record_event(self):
        """Record that an event arrived."""
        self._has_events = True
        self._silent_seconds = 0.0
        self._observed_at = self._checked_at = self._clock()

    def is_check_due(self, received: bool) -> bool:
        """Account for a wait that ended, and tell whether to check the path now."""
        now = self._clock()
        step = now - self._observed_at
        self._silent_seconds += min(step, _MAX_STEP_SECONDS)
        self._observed_at = now
        is_recent = now - self._checked_at < POLL_INTERVAL_SECONDS
        if received and is_recent and not self.is_past_deadline():
            return False
        self._checked_at = now
        return True

    def needs_stall_check(self) -> bool:
        """Whether the upstreams of the path should be asked for the cause."""
        if self._has_events:
            return self._silent_seconds > self._route.gap_goal * _STALL_CHECK_GAPS
        return self._silent_seconds > self._route.goal * _STALL_CHECK_GOALS

    def has_stalled(self) -> bool:
        """Whether the stream was silent for longer than a retry can wait."""
        limit = _STALL_TIMEOUT_FRACTION * caller_timeout(self._route)
        return self._silent_seconds > limit

    def is_past_deadline(self) -> bool:
        return self._clock() >= self._give_up_at
