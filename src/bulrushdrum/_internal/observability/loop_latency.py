"""Measures how late the event loop runs.

Every task of a process waits for its turn in the event loop. If the process gets too
little processor time, or a task computes for long, all requests are late by the same
time, and nothing that is logged of a single one shows the cause.
"""

import time

import gevent

_INTERVAL_SECONDS = 0.1


class LoopLatency:
    """The latency of the event loop, in seconds."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._worst = self._last = self._before_last = 0.0
        # The latest turn, which may be long ago while the loop is late.
        self._due_at = clock() + _INTERVAL_SECONDS

    def run(self):
        """Measure forever."""
        while True:
            self._due_at = self._clock() + _INTERVAL_SECONDS
            gevent.sleep(_INTERVAL_SECONDS)
            # Timers overtake the tasks that wait to be started or resumed.
            gevent.sleep(0)
            self._record(self.current())

    def current(self) -> float:
        """Return by how much the loop is late at this moment."""
        return max(self._clock() - self._due_at, 0.0)

    def _record(self, latency):
        self._before_last, self._last = self._last, latency
        self._worst = max(self._worst, latency)

    def sustained(self) -> float:
        """Return the latency that two turns in a row had at least.

        A process that was paused, or computed once for long, is late once.
        """
        return min(self._before_last, max(self._last, self.current()))

    def pop_worst(self) -> float:
        """Return the highest latency since the previous call."""
        worst, self._worst = max(self._worst, self.current()), 0.0
        return worst
