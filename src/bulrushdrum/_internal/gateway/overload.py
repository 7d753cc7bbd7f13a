"""Decides when a router is too far behind to serve another request.

All requests of a router wait for their turns in one event loop. One that gets more work
than processor time is late by more with each request that it accepts, and stands still
for seconds when it must stop.
"""

from collections.abc import Callable

from bulrushdrum._internal.gateway.stream_watch import caller_timeout
from bulrushdrum._internal.world.routes import Route

# How often a request that was read waits for its turn before its caller gets the first
# event: to connect, to send, and to receive the head and the event; or, of a call, to
# connect and to receive the answer.
_TURNS_TO_FIRST_EVENT = 4
_TURNS_TO_ANSWER = 2


class OverloadGuard:
    """Rejects the requests whose callers would leave before they got anything.

    `loop_latency()` returns how many seconds each turn of the event loop is late.

    >>> OverloadGuard(lambda: 0.01).rejects_call(seconds_left=0.8)
    False
    """

    def __init__(self, loop_latency: Callable[[], float]):
        self._loop_latency = loop_latency

    @property
    def loop_latency(self) -> float:
        return self._loop_latency()

    def rejects_generation(self, route: Route, seconds_left: float) -> bool:
        """Whether a generation with `seconds_left` to its deadline comes too late."""
        patience = min(caller_timeout(route), seconds_left)
        return self._takes_longer(_TURNS_TO_FIRST_EVENT, patience)

    def rejects_call(self, seconds_left: float) -> bool:
        """Whether a call with `seconds_left` to its deadline comes too late."""
        return self._takes_longer(_TURNS_TO_ANSWER, seconds_left)

    def _takes_longer(self, turns, patience):
        return turns * self._loop_latency() >= patience > 0.0
