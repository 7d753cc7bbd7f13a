"""A model request in progress at this entry, and the events of its attempts.

The reader greenlets of the connections post events; the request's own greenlet takes
them one after the other.
"""

import time
from typing import NamedTuple

from gevent.queue import Empty, Queue

from bulrushdrum._internal.peering.messages import AttemptFailed, Token
from bulrushdrum._internal.routing.membership import Upstream
from bulrushdrum._internal.world.contracts import Contract
from bulrushdrum._internal.world.requests import ChatRequest

STAGE_LOST = "stage lost"
# Attempts that no stage accepted ran nothing; of those only the last few are kept.
_MAX_NOTES = 64


class DeliveredToken(NamedTuple):
    """A token of the answer; `position` counts from the first prompt token."""

    position: int
    token: int
    text: str


class UpstreamLost(NamedTuple):
    """Event: the sidecar of an upstream in the chain is lost."""

    upstream: Upstream


class ReportedFailure(NamedTuple):
    """Event: a stage reports that the attempt cannot go on."""

    failed: AttemptFailed
    reporter: str  # incarnation of the sidecar


class BoundStage(NamedTuple):
    """The first stage of a non-idempotent request, fixed by its binding."""

    incarnation: str
    key: str
    window: int
    generation: int


class AttemptSummary(NamedTuple):
    """One attempt as the entry saw it; `cause` is empty for the last one."""

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
        self._avoid: set[str] = set()
        self._cancelled = False
        self._may_have_run = False
        self._started = 0.0
        self._deadline = 0.0
        self._refusals = 0

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
    def avoid(self) -> set[str]:
        return self._avoid

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
        """False only while it is known that no upstream ran any of the request."""
        return self._may_have_run

    def set_may_have_run(self, value: bool):
        self._may_have_run = value

    @property
    def started(self) -> float:
        return self._started

    def begin(self, deadline: float):
        self._started = time.monotonic()
        self._deadline = deadline

    def note_refusal(self) -> int:
        """Count an attempt that no stage accepted; returns how many came before."""
        self._refusals += 1
        refused = [summary for summary in self._attempt_summaries if not summary.ran]
        if len(refused) > _MAX_NOTES:
            self._attempt_summaries.remove(refused[0])
        return self._refusals - 1

    def begin_attempt(self) -> int:
        self._attempt += 1
        return self._attempt

    def post(self, event):
        """Queue an event of the current attempt for the request's greenlet."""
        self._events.put(event)

    def next_event(self, timeout: float):
        try:
            return self._events.get(timeout=max(timeout, 0))
        except Empty:
            return None

    def cancel(self):
        """Let the greenlet end the request; the caller has gone away."""
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
