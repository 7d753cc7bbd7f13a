"""Decides which caller connections are shed when they hold too much memory, or too many
are open.

Load addressed: callers that send requests over the limits or without end, over many
connections. What they hold together is bounded by one budget for the process, because
the limits on each request allow far more than the memory of a VM.

Connections without a request are closed first. Of those with an unfinished request the
largest is refused, at equal size the oldest. A request that has arrived whole is never
shed, since it may run already.
"""

import math
import time
from enum import Enum
from itertools import islice
from typing import Protocol

# The memory of one connection with its greenlet, socket and parser: 3,500 idle ones
# take 44 MB.
CONNECTION_BYTES = 13_000
# Bodies below this size are small: they are accepted while there is room for them.
LARGE_BODY_BYTES = 65_536
# A large body of unknown length is refused when so much of the budget is used, to leave
# the rest for small requests.
_LARGE_BODY_FRACTION = 0.75
# Shedding ends at this part of the budget, so that it is not due again at once.
_SHED_FRACTION = 0.95
# Bounds the time to accept one connection.
_MAX_IDLE_TRIED = 16


class Phase(Enum):
    """What a connection does: nothing, receive a request, or handle one."""

    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"


class Connection(Protocol):
    """A connection that the budget can shed."""

    def close_idle(self) -> bool:
        """Close the connection; return false if a request has arrived meanwhile."""

    def refuse_request(self):
        """Drop what was received of a request, and refuse it."""


class Holding:
    """What one connection holds, in bytes, and its phase since a time of the clock."""

    __slots__ = ("connection", "phase", "since", "held_bytes", "is_removed")

    def __init__(self, connection: Connection):
        self.connection: Connection | None = connection
        self.phase = Phase.IDLE
        self.since = 0.0
        self.held_bytes = CONNECTION_BYTES
        self.is_removed = False


class CallerBudget:
    """The memory that all caller connections of a process may hold together."""

    def __init__(self, max_bytes: int, clock=time.monotonic):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        # Unfinished requests that were dropped, and large bodies that were not begun.
        self.requests_shed = 0
        self.bodies_refused = 0
        self.clock = clock
        self._groups: list[ConnectionGroup] = []

    def add_group(self, max_connections: float = math.inf) -> "ConnectionGroup":
        """Return a group of connections, which has a limit on their number."""
        group = ConnectionGroup(self, max_connections)
        self._groups.append(group)
        return group

    @property
    def closed_idle(self) -> int:
        """The number of idle connections that were closed to make room."""
        return sum(group.closed_idle for group in self._groups)

    @property
    def closed_new(self) -> int:
        """The number of connections that were closed when they were opened."""
        return sum(group.closed_new for group in self._groups)

    def accepts_large_body(self, length: int | None) -> bool:
        """Whether a body of `length` bytes, or of unknown length, may be received."""
        if length is None:
            accepted = self.held_bytes <= self.max_bytes * _LARGE_BODY_FRACTION
        else:
            accepted = self.held_bytes + length <= self.max_bytes
        self.bodies_refused += not accepted
        return accepted

    def hold(self, holding: Holding, held_bytes: int):
        """Set what a connection holds besides itself, and shed if it is too much."""
        if holding.is_removed:
            return
        grown = held_bytes + CONNECTION_BYTES - holding.held_bytes
        holding.held_bytes += grown
        self.held_bytes += grown
        if grown > 0 and self.held_bytes > self.max_bytes:
            self._shed()

    def _shed(self):
        target = self.max_bytes * _SHED_FRACTION
        for group in self._groups:
            while self.held_bytes > target and group.close_oldest_idle():
                pass
        while self.held_bytes > target:
            receiving = [
                holding for group in self._groups for holding in group.receiving
            ]
            if not receiving:
                return
            largest = max(receiving, key=lambda one: (one.held_bytes, -one.since))
            if largest.held_bytes <= CONNECTION_BYTES:
                return
            self.requests_shed += 1
            self._drop(largest)

    def _drop(self, holding):
        self.held_bytes += CONNECTION_BYTES - holding.held_bytes
        holding.held_bytes = CONNECTION_BYTES
        holding.connection.refuse_request()


class ConnectionGroup:
    """The connections of one port; their number is limited."""

    def __init__(self, budget: CallerBudget, max_connections: float):
        self.budget = budget
        self.max_connections = max_connections
        self.closed_idle = 0
        self.closed_new = 0
        self._count = 0
        # Both in the order in which the connections came into the phase.
        self._idle: dict[Holding, None] = {}
        self.receiving: dict[Holding, None] = {}

    def add(self, holding: Holding) -> bool:
        """Add a new connection; false means that it must be closed at once."""
        if self._count >= self.max_connections and not self.close_oldest_idle():
            self.closed_new += 1
            return False
        holding.since = self.budget.clock()
        self._count += 1
        self._idle[holding] = None
        self.budget.held_bytes += holding.held_bytes
        return True

    def remove(self, holding: Holding):
        """Remove a connection that ends; it may have been removed as idle before."""
        if holding.is_removed:
            return
        holding.is_removed = True
        # They refer to each other, and would be kept until the next garbage collection.
        holding.connection = None
        self._idle.pop(holding, None)
        self.receiving.pop(holding, None)
        self._count -= 1
        self.budget.held_bytes -= holding.held_bytes

    def enter(self, holding: Holding, phase: Phase):
        """Record what a connection does from now on."""
        if holding.phase is phase or holding.is_removed:
            return
        match holding.phase:
            case Phase.IDLE:
                del self._idle[holding]
            case Phase.RECEIVING:
                del self.receiving[holding]
        holding.phase, holding.since = phase, self.budget.clock()
        match phase:
            case Phase.IDLE:
                self._idle[holding] = None
            case Phase.RECEIVING:
                self.receiving[holding] = None

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest; false if none is.

        Requests may have arrived on the oldest ones that their tasks have not read yet,
        so a few are tried.
        """
        for holding in islice(self._idle, _MAX_IDLE_TRIED):
            if holding.connection.close_idle():
                self.closed_idle += 1
                self.remove(holding)
                return True
        return False
