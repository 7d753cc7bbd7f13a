"""Decides when a router is too far behind to serve another request.

All requests of a router wait for their turns in one event loop. One that gets more work
than processor time is late by more with each request that it accepts, and stands still
for seconds when it must stop.
"""

from collections.abc import Callable

from bulrushdrum._internal.gateway.stream_watch import caller_timeout
from bulrushdrum._internal.world.routes import Route

# How often a request waits for its turn before its caller gets the first event: to be
# read, to be sent, and to receive the head and the event.
_TURNS_TO_FIRST_EVENT = 4


class OverloadGuard:
    """Rejects the requests whose callers would leave before they got anything.

    `loop_latency()` returns how many seconds the event loop is late.

    >>> guard = OverloadGuard(lambda: 0.01)
    """

    def __init__(self, loop_latency: Callable[[], float]):
        self._loop_latency = loop_latency

    @property
    def loop_latency(self) -> float:
        return self._loop_latency()

    def rejects(self, route: Route, seconds_left: float) -> bool:
        """Whether a request with `seconds_left` until its deadline comes too late."""
        patience = min(caller_timeout(route), seconds_left)
        return _TURNS_TO_FIRST_EVENT * self._loop_latency() >= patience > 0.0
