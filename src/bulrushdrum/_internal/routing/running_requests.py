"""A model request in progress at this entry, and the events of its attempts.

The reader greenlets of the connections queue the events, and the greenlet of the
request processes them in order.
"""

import time
from typing import NamedTuple

from gevent.queue import Empty, Queue

from bulrushdrum._internal.peering.request_messages import AttemptFailed, Token
from bulrushdrum._internal.routing.membership import Upstream
from bulrushdrum._internal.world.contracts import Contract
from bulrushdrum._internal.world.requests import ChatRequest

STAGE_LOST = "stage lost"
# Bounds the memory of a request that is refused repeatedly: of its attempts that ran
# nothing, only this many summaries are stored.
_MAX_REFUSED_SUMMARIES = 64


class DeliveredToken(NamedTuple):
    """A token of the answer; `position` counts from the first prompt token."""

    position: int
    token: int
    text: str


class UpstreamLost(NamedTuple):
    """Event: the sidecar of an upstream in the chain is lost."""

    upstream: Upstream


class ReportedFailure(NamedTuple):
    """Event: a stage reports that the attempt cannot continue."""

    failed: AttemptFailed
    reporter: str  # incarnation of the sidecar


class BoundStage(NamedTuple):
    """The first stage of a non-idempotent request, as fixed by its binding."""

    incarnation: str
    key: str
    window: int
    generation: int


class AttemptSummary(NamedTuple):
    """Summary of one attempt; `cause` is empty if the attempt succeeded."""

    number: int
    chain: tuple[str, ...]
    cause: str
    ran: bool

    @property
    def lost_stage(self) -> bool:
        return self.ran and self.cause.startswith(STAGE_LOST)


class RunningRequest:
    """A model request in progress at this entry."""

    def __init__(self, request: ChatRequest, contract: Contract, deliver, bound=None):
        self._request = request
        self._contract = contract
        self._deliver = deliver
        self._bound = bound
        self._events = Queue()
        self._tokens: list[DeliveredToken] = []
        self._attempt = 0
        self._attempt_summaries: list[AttemptSummary] = []
        self._avoided_incarnations: set[str] = set()
        self._cancelled = False
        self._may_have_run = False
        self._started = 0.0
        self._deadline = 0.0
        self._refusal_count = 0

    @property
    def request(self) -> ChatRequest:
        return self._request

    @property
    def contract(self) -> Contract:
        return self._contract

    @property
    def bound(self) -> BoundStage | None:
        return self._bound

    @property
    def tokens(self) -> list[DeliveredToken]:
        return self._tokens

    @property
    def attempt(self) -> int:
        return self._attempt

    @property
    def attempt_summaries(self) -> list[AttemptSummary]:
        return self._attempt_summaries

    @property
    def avoided_incarnations(self) -> set[str]:
        return self._avoided_incarnations

    @property
    def deadline(self) -> float:
        return self._deadline

    @property
    def next_position(self) -> int:
        return len(self._request.prompt) + len(self._tokens)

    @property
    def cancelled(self) -> bool:
        return self._cancelled

    @property
    def may_have_run(self) -> bool:
        """False only while it is certain that no upstream ran any of the request."""
        return self._may_have_run

    def set_may_have_run(self, value: bool):
        self._may_have_run = value

    @property
    def started(self) -> float:
        return self._started

    def start(self, deadline: float):
        self._started = time.monotonic()
        self._deadline = deadline

    def record_refusal(self) -> int:
        """Count a refused attempt, and return the number of earlier ones."""
        self._refusal_count += 1
        refused = [summary for summary in self._attempt_summaries if not summary.ran]
        if len(refused) > _MAX_REFUSED_SUMMARIES:
            self._attempt_summaries.remove(refused[0])
        return self._refusal_count - 1

    def start_attempt(self) -> int:
        self._attempt += 1
        return self._attempt

    def put_event(self, event):
        """Queue an event of the current attempt for the request's greenlet."""
        self._events.put(event)

    def next_event(self, timeout: float):
        try:
            return self._events.get(timeout=max(timeout, 0))
        except Empty:
            return None

    def cancel(self):
        """Make the greenlet end the request, because the caller has disconnected."""
        self._cancelled = True
        self._events.put(None)

    def deliver(self, token: Token):
        delivered = DeliveredToken(token.position, token.token, token.text)
        self._tokens.append(delivered)
        self._deliver(delivered)

    def dump(self) -> dict:
        return {
            "customer": self._request.customer,
            "attempt": self._attempt,
            "delivered_tokens": len(self._tokens),
            "attempts": [summary._asdict() for summary in self._attempt_summaries],
        }
