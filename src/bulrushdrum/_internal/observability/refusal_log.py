"""Counts of refusals, logged at a bounded rate.

The load: callers or peers that cause thousands of refusals a second.
"""

import time
from collections import Counter

from bulrushdrum._internal.observability.events import Event, log_event

_LOG_INTERVAL_SECONDS = 1.0


class RefusalLog:
    """Counts refusals by reason, and logs them at most once a second."""

    def __init__(self, event: Event):
        self._event = event
        self._counts: Counter[str] = Counter()
        self._unlogged: Counter[str] = Counter()
        self._logged_at = float("-inf")

    def add(self, reason: str):
        self._counts[reason] += 1
        self._unlogged[reason] += 1
        if time.monotonic() - self._logged_at >= _LOG_INTERVAL_SECONDS:
            self._logged_at = time.monotonic()
            log_event(self._event, reasons=dict(self._unlogged))
            self._unlogged.clear()

    def dump(self) -> dict[str, int]:
        return dict(self._counts)
