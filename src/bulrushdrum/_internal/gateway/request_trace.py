"""What happened to one request, for the log lines that end it.

The trace tells a slow stream, a silent one and a caller that left by choice apart: a
slow stream shows events and a long gap, a silent one a long time since the last data,
and neither explains a caller that left early.
"""

import time

from bulrushdrum._internal.gateway.messages import Generation


class RequestTrace:
    """Collects the outcome of a request while it is processed; times in seconds."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self.began_at = clock()
        self._first_event_at: float | None = None
        self._last_event_at: float | None = None
        self._last_data_at: float | None = None
        self._longest_gap = 0.0
        self.events = 0
        self._deadline: float | None = None
        self._size: Generation | None = None
        self.path: list[str] = []
        self.upstream: str | None = None
        self.upstream_status: int | None = None
        self.attempts = 0
        # The longest wait for an event of another attempt, and since when one lasts.
        self.recovery_seconds = 0.0
        self._recovers_since: float | None = None

    def begin(self, deadline: float, size: Generation | None = None):
        """Record the deadline, a time of the clock, and the size of a generation."""
        self._deadline = deadline
        self._size = size

    def record_attempt(self, path: list[str], upstream: str):
        """Record that the request was sent; `upstream` is the one it was sent to."""
        if self.attempts and self._recovers_since is None:
            self._recovers_since = self._last_event_at or self.began_at
        self.path, self.upstream, self.upstream_status = path, upstream, None
        self.attempts += 1
        self._last_data_at = None

    def resume_attempt(self, path: list[str], upstream: str):
        """Record that an earlier attempt goes on."""
        self.path, self.upstream = path, upstream

    def record_data(self):
        self._last_data_at = self._clock()

    def record_event(self):
        now = self._clock()
        if self._recovers_since is not None:
            recovery = now - self._recovers_since
            self.recovery_seconds = max(self.recovery_seconds, recovery)
            self._recovers_since = None
        if self._first_event_at is None:
            self._first_event_at = now
        else:
            self._longest_gap = max(self._longest_gap, now - self._last_event_at)
        self._last_event_at = now
        self.events += 1

    @property
    def first_event_seconds(self) -> float:
        """The time until the first event, which must have arrived."""
        return self._first_event_at - self.began_at

    @property
    def event_seconds(self) -> float:
        """The mean time between events, of which there must be two at least."""
        return (self._last_event_at - self._first_event_at) / (self.events - 1)

    def summary(self) -> dict:
        """Return the fields that fit every line of a completed request."""
        if self.upstream is None:
            return {}
        fields = {"upstream": self.upstream, "attempts": self.attempts}
        if self._size is not None:
            fields["prompt_tokens"] = self._size.prompt
            fields["max_tokens"] = self._size.max_output
            fields["expected_tokens"] = self._size.expected_output
        if self.upstream_status is not None:
            fields["upstream_status"] = self.upstream_status
        if self.events:
            fields["events"] = self.events
            fields["first_event"] = round(self.first_event_seconds, 3)
            fields["longest_gap"] = round(self._longest_gap, 3)
        return fields

    def details(self) -> dict:
        """Return all fields, for a request that was not completed."""
        now = self._clock()
        fields = self.summary()
        if self.path:
            fields["hops"] = self.path
        if self._last_event_at is not None:
            fields["since_event"] = round(now - self._last_event_at, 3)
        if self._last_data_at is not None:
            fields["since_data"] = round(now - self._last_data_at, 3)
        if self._deadline is not None:
            fields["time_left"] = round(self._deadline - now, 3)
        return fields
