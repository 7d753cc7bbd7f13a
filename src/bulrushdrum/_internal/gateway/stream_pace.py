"""Decides when a silent stream should move to another path, before its pause is late.

Load: an upstream falls silent without closing its connections, so that all streams over
it stop at once. A caller accepts pauses up to the gap goal of its route, so the next
attempt must be sent earlier, by the time that it takes to its first event.

How long a stream is usually silent follows from its own events, and before it has sent
many of them from those of other streams.
"""

from collections import deque
from statistics import median

from bulrushdrum._internal.world.routes import Route

# A stream is unusually silent after this multiple of the longest pause that is usual.
_UNUSUAL_PAUSE_FACTOR = 1.25
# The first event of an attempt is overdue after this multiple of the time within which
# most attempts deliver it.
_UNUSUAL_START_FACTOR = 2.0
# No stream moves within this fraction of its gap goal, or of its goal before its first
# event: it would gain nothing that its caller notices.
_MIN_GOAL_FRACTION = 0.3
# The pauses of a stream that count as recent.
_RECENT_PAUSES = 16
# Finished attempts and streams that the expectations of a router are taken from.
_SAMPLES = 64
# An expectation from fewer samples is none.
_MIN_SAMPLES = 5
_MOST_ATTEMPTS = 0.9
# All streams over an engine pause together when it reads many prompts at once. Pauses
# that one in twenty streams has had are therefore usual.
_MOST_STREAMS = 0.95


class PaceHistory:
    """How fast the recent attempts and streams of one router were, in seconds.

    Streams of one service ask for answers of one model, so they are kept by service.
    """

    def __init__(self):
        self._starts: dict[str, deque[float]] = {}
        self._longest_pauses: dict[str, deque[float]] = {}

    def record_start(self, service: str, seconds: float):
        """Record the time from the sending of an attempt to its first event."""
        starts = self._starts.setdefault(service, deque(maxlen=_SAMPLES))
        starts.append(seconds)

    def record_longest_pause(self, service: str, seconds: float):
        """Record the longest pause of a stream that ended."""
        pauses = self._longest_pauses.setdefault(service, deque(maxlen=_SAMPLES))
        pauses.append(seconds)

    def typical_start(self, service: str) -> float | None:
        """Return the median time to a first event, or None without enough samples."""
        starts = self._starts.get(service, ())
        return median(starts) if len(starts) >= _MIN_SAMPLES else None

    def slow_start(self, service: str) -> float | None:
        """Return the time within which most attempts deliver their first event."""
        starts = sorted(self._starts.get(service, ()))
        if len(starts) < _MIN_SAMPLES:
            return None
        return starts[int(len(starts) * _MOST_ATTEMPTS)]

    def usual_longest_pause(self, service: str) -> float | None:
        """Return the pause that few streams exceed, or None without enough samples."""
        pauses = sorted(self._longest_pauses.get(service, ()))
        if len(pauses) < _MIN_SAMPLES:
            return None
        return pauses[int(len(pauses) * _MOST_STREAMS)]


class StreamPace:
    """The events of one attempt, and after how much silence it should move.

    `waited` is how long the caller has waited when the attempt is sent: since its last
    event, or since its request was read.
    """

    def __init__(self, route: Route, service: str, history: PaceHistory, waited: float):
        self._route = route
        self._service = service
        self._history = history
        self._waited = waited
        self._has_events = False
        self._pauses: deque[float] = deque(maxlen=_RECENT_PAUSES)
        self._longest = 0.0

    def record_event(self, seconds: float):
        """Record an event that arrived `seconds` after the one before, or the sending.

        >>> history = PaceHistory()
        >>> for _ in range(5):
        ...     history.record_start("llm", 0.06)
        ...     history.record_longest_pause("llm", 0.05)
        >>> route = Route("r", "h", "/", "streaming", (), goal=0.5, gap_goal=0.25)
        >>> pace = StreamPace(route, "llm", history, waited=0.0)
        >>> pace.record_event(0.06)
        >>> pace.record_event(0.08)
        >>> round(pace.overdue_after(loop_latency=0.0), 2)
        0.1
        """
        if self._has_events:
            self._pauses.append(seconds)
            self._longest = max(self._longest, seconds)
        else:
            self._has_events = True
            self._history.record_start(self._service, seconds)

    @property
    def has_events(self) -> bool:
        return self._has_events

    def is_slow_start(self, seconds: float) -> bool:
        """Whether a first event took much longer than is typical."""
        typical = self._history.typical_start(self._service)
        return typical is not None and seconds > typical * _UNUSUAL_START_FACTOR

    def end(self):
        """Record that the stream has ended in order."""
        if self._pauses:
            self._history.record_longest_pause(self._service, self._longest)

    def usual_pause(self) -> float | None:
        """Return the longest silence that is usual for this stream, if it is known."""
        if not self._has_events:
            return self._history.slow_start(self._service)
        usual = self._history.usual_longest_pause(self._service)
        if usual is None and len(self._pauses) < _MIN_SAMPLES:
            return None
        return max([*self._pauses, usual or 0.0])

    def overdue_after(self, loop_latency: float) -> float | None:
        """Return after how much silence the stream should move.

        None means that a move would come too late before the silence is unusual, or
        that too little is known.
        """
        usual, start = self.usual_pause(), self._history.typical_start(self._service)
        if usual is None or start is None:
            return None
        if self._has_events:
            goal, unusual = self._route.gap_goal, usual * _UNUSUAL_PAUSE_FACTOR
            latest = goal - start - loop_latency
        else:
            goal, unusual = self._route.goal, usual * _UNUSUAL_START_FACTOR
            latest = goal - self._waited - start - loop_latency
        earliest = max(unusual, goal * _MIN_GOAL_FRACTION)
        return earliest if earliest <= latest else None
