"""Remembers which demands found too little memory.

While memory is short, every request that ends wakes all that wait for memory. A request
needs no search of its own if a smaller one has just failed and nothing was freed since.
"""

import time

from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations

# Engines and the reservations of peers change without a release by this router.
_LIFETIME_SECONDS = 0.01


class MemoryShortages:
    """By service, the smallest demand for which no path had enough free memory."""

    def __init__(self, reservations: MemoryReservations, clock=time.monotonic):
        self._reservations = reservations
        self._clock = clock
        self._tokens: dict[str, float] = {}
        self._release_count = 0
        self._expires_at = 0.0

    def record(self, service: str, tokens: float):
        """Record that no path of a service had memory for a request of `tokens`."""
        self._forget_outdated()
        if not self._tokens:
            self._expires_at = self._clock() + _LIFETIME_SECONDS
        known = self._tokens.get(service, tokens)
        self._tokens[service] = min(known, tokens)

    def is_known(self, service: str, tokens: float) -> bool:
        """Whether a request of `tokens` or fewer has failed since the last release."""
        self._forget_outdated()
        known = self._tokens.get(service)
        return known is not None and tokens >= known

    def _forget_outdated(self):
        release_count = self._reservations.release_count
        if release_count != self._release_count or self._clock() >= self._expires_at:
            self._tokens.clear()
            self._release_count = release_count
