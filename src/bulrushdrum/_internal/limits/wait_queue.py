"""The order in which requests get what they wait for.

Requests are served in order of arrival, but a more urgent one counts as having arrived
earlier. Less urgent requests are therefore served later, and not starved.
"""

from dataclasses import dataclass

# How much earlier a request counts as having arrived for each step of urgency.
_SECONDS_PER_PRIORITY = 0.05
_DEFAULT_PRIORITY = 5


@dataclass(eq=False)
class Ticket:
    """The place of one request; `is_waiting` once it has found nothing free."""

    rank: float
    is_waiting: bool = False


class WaitQueue:
    """The requests that wait for the upstreams of each service."""

    def __init__(self):
        self._tickets: dict[str, list[Ticket]] = {}

    def join(self, service: str, arrived_at: float, priority: int | None) -> Ticket:
        """Add a request that arrived at a time of the clock; priority 0 comes first."""
        if priority is None:
            priority = _DEFAULT_PRIORITY
        ticket = Ticket(arrived_at + priority * _SECONDS_PER_PRIORITY)
        self._tickets.setdefault(service, []).append(ticket)
        return ticket

    def leave(self, service: str, ticket: Ticket):
        tickets = self._tickets[service]
        tickets.remove(ticket)
        if not tickets:
            del self._tickets[service]

    def waiting_ahead(self, service: str, ticket: Ticket) -> int:
        """Return how many requests wait that are to be served before this one."""
        return sum(
            other.is_waiting and other.rank < ticket.rank
            for other in self._tickets[service]
        )

    def __len__(self):
        return sum(
            ticket.is_waiting
            for tickets in self._tickets.values()
            for ticket in tickets
        )
