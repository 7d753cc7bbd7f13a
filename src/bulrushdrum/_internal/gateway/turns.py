"""Lets requests wait in turn for upstreams that are full or have reached their limits.

A request that is known not to get its turn in time is refused at once.
"""

import time
from collections.abc import Callable
from typing import NamedTuple, TypeVar

from gevent.event import Event as Signal

from bulrushdrum._internal.gateway.stream_watch import POLL_INTERVAL_SECONDS
from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.limits.wait_queue import WaitQueue
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.errors import LimitsReached, PipelineError

# Bounds the rate at which one waiting request searches for upstreams.
_MIN_PAUSE_SECONDS = 0.01

_Found = TypeVar("_Found")


class Turn(NamedTuple):
    """A request that waits for upstreams of `service` until a time of the clock.

    `requester` identifies it to the limits. `waits_for` are the errors after which it
    tries again.
    """

    service: str
    arrived_at: float
    priority: int | None
    until: float
    requester: object
    waits_for: tuple[type[PipelineError], ...]


class TurnWaiter:
    """The requests of this router that wait."""

    def __init__(self, limits: UpstreamLimits):
        self._limits = limits
        self._queue = WaitQueue()
        # By service, why the request that waits in front found nothing.
        self._limits_reached: dict[str, LimitsReached] = {}
        self._freed = Signal()

    def notify(self):
        """Wake the waiting requests, because a request has freed what it used."""
        self._freed.set()
        self._freed.clear()

    def wait(self, turn: Turn, find: Callable[[], _Found]) -> _Found:
        """Return what `find` returns, when it is the turn of this request.

        Raises the last error of `find` if it finds nothing in time.
        """
        ticket = self._queue.join(turn.service, turn.arrived_at, turn.priority)
        try:
            return self._wait(turn, ticket, find)
        finally:
            if ticket.is_waiting:
                self._queue.set_waiting(ticket, False)
                self.notify()

    def log_limits_reached(self, request_id: bytes, service: str, error: LimitsReached):
        """Log that a request is refused because of limits."""
        log_event(
            Event.UPSTREAM_LIMITS_REACHED,
            request=request_id.decode("latin-1"),
            service=service,
            limits=error.reached.limits,
            others=error.others,
            own_rate=round(error.reached.rate, 3),
            waiting=len(self._queue),
        )

    def _wait(self, turn, ticket, find):
        while True:
            ahead = self._queue.waiting_ahead(ticket)
            if ahead:
                error = self._limits_reached[turn.service]
                self._limits.record_demand(error.reached.limits, turn.requester)
            else:
                try:
                    return find()
                except turn.waits_for as problem:
                    error = problem
                self._queue.set_waiting(ticket, isinstance(error, LimitsReached))
                if ticket.is_waiting:
                    self._limits_reached[turn.service] = error
            remaining = turn.until - time.monotonic()
            if remaining <= 0 or _is_hopeless(error, ahead, remaining):
                raise error
            pause = POLL_INTERVAL_SECONDS
            if ticket.is_waiting:
                pause = min(pause, error.reached.seconds)
            self._freed.wait(max(min(pause, remaining), _MIN_PAUSE_SECONDS))


def _is_hopeless(error, ahead, remaining):
    """Whether the limits admit no request beyond the `ahead` first ones in time."""
    match error:
        case LimitsReached(reached=reached, frees_memory=False):
            return reached.seconds + ahead / reached.rate > remaining
        case _:
            return False
