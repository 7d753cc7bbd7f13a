"""The order in which requests get what they wait for.

Requests are served in order of arrival, but a more urgent one counts as having arrived
earlier. Less urgent requests are therefore served later, and not starved.
"""

from bisect import bisect_left, insort
from dataclasses import dataclass
from operator import attrgetter

# How much earlier a request counts as having arrived for each step of urgency.
_SECONDS_PER_PRIORITY = 0.05
_DEFAULT_PRIORITY = 5

_rank_of = attrgetter("rank")


@dataclass(eq=False)
class Ticket:
    """The place of one request; `is_waiting` once it has found nothing free."""

    service: str
    rank: float
    is_waiting: bool = False


class WaitQueue:
    """The requests that wait for the upstreams of each service."""

    def __init__(self):
        # By service, the tickets that wait, in order of their rank.
        self._waiting: dict[str, list[Ticket]] = {}

    def join(self, service: str, arrived_at: float, priority: int | None) -> Ticket:
        """Return a ticket for a request that arrived at a time of the clock.

        Priority 0 comes first. The ticket does not wait yet.
        """
        if priority is None:
            priority = _DEFAULT_PRIORITY
        return Ticket(service, arrived_at + priority * _SECONDS_PER_PRIORITY)

    def set_waiting(self, ticket: Ticket, is_waiting: bool):
        """Set whether a request has found nothing free and waits."""
        if ticket.is_waiting == is_waiting:
            return
        ticket.is_waiting = is_waiting
        waiting = self._waiting.setdefault(ticket.service, [])
        if is_waiting:
            insort(waiting, ticket, key=_rank_of)
        else:
            waiting.remove(ticket)
            if not waiting:
                del self._waiting[ticket.service]

    def waiting_ahead(self, ticket: Ticket) -> int:
        """Return how many requests wait that are to be served before this one."""
        waiting = self._waiting.get(ticket.service, ())
        return bisect_left(waiting, ticket.rank, key=_rank_of)

    def __len__(self):
        return sum(map(len, self._waiting.values()))
