"""The state of an attempt at a stage, and the rules for accepting its steps.

The rules are R1 and R3 of the design page: positions ascend without gaps, and once a
stage has seen an attempt it refuses every step of an earlier attempt of the request.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.request_messages import Open, Step
from bulrushdrum._internal.sidecar.engine_client import LoadedModel

# A sidecar of the largest deployment receives at most five opens per second, so this
# covers 13 minutes. Later messages are refused because their request is unknown.
MAX_ENDED_REQUESTS = 4096


class StepAcceptance(StrEnum):
    """Whether a stage accepts a step, or why it doesn't."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    GAP = "position_gap"
    MALFORMED = "malformed_step"
    OVERLOADED = "stage_overloaded"


class PendingByteBudget:
    """Limits the bytes of activations that wait for the engine, over all sequences."""

    def __init__(self, limit: int):
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> int:
        return self._used

    def try_reserve(self, size: int) -> bool:
        if self._used + size > self._limit:
            return False
        self._used += size
        return True

    def release(self, size: int):
        self._used -= size


@dataclass(slots=True, eq=False)
class Sequence:
    """One attempt of a request at this stage.

    `pending` holds accepted steps that have not been sent to the engine. At most one
    step is being run (`in_flight`), which keeps positions in order although two calls
    are in flight. `sent_to_engine` is set before the first step is sent. `loaded_model`
    is what the engine had loaded when the attempt was opened, and must be the same for
    every step.
    """

    open_message: Open
    connection: PeerConnection
    pending_bytes: PendingByteBudget
    loaded_model: LoadedModel
    next_position: int = 0
    pending: deque[Step] = field(default_factory=deque)
    opened: bool = False
    queued: bool = False
    in_flight: bool = False
    sent_to_engine: bool = False
    closed: bool = False
    bound: bool = False
    generated_tokens: int = 0

    @property
    def is_last(self) -> bool:
        return self.open_message.stage == len(self.open_message.chain) - 1

    @property
    def key(self) -> tuple[str, int]:
        return self.open_message.request, self.open_message.attempt

    def accepts_steps_from(self, incarnation: str) -> bool:
        """Return whether this stage accepts steps from the peer `incarnation`."""
        chain, stage = self.open_message.chain, self.open_message.stage
        if stage > 0:
            return incarnation == chain[stage - 1].incarnation
        entry = self.connection.peer.incarnation
        return incarnation in (entry, chain[-1].incarnation)

    def accept(self, step: Step) -> StepAcceptance:
        """Append `step` to `pending` if it is valid and has the next position."""
        if step.position < self.next_position:
            return StepAcceptance.DUPLICATE
        if step.position > self.next_position:
            return StepAcceptance.GAP
        if self.open_message.stage == 0:
            valid = step.count == len(step.tokens) > 0
        else:
            # A step can only be split between positions.
            valid = step.count > 0 and step.activation
            valid = valid and len(step.activation) % step.count == 0
        if not valid:
            return StepAcceptance.MALFORMED
        if not self.pending_bytes.try_reserve(len(step.activation)):
            return StepAcceptance.OVERLOADED
        self.next_position += step.count
        self.pending.append(step)
        return StepAcceptance.ACCEPTED

    def take_next(self, token_limit: int) -> Step:
        """Remove and return the next step, or its first `token_limit` tokens."""
        step = self.pending.popleft()
        if step.count <= token_limit:
            self.pending_bytes.release(len(step.activation))
            return step
        width = len(step.activation) // step.count * token_limit
        self.pending_bytes.release(width)
        self.pending.appendleft(
            step._replace(
                position=step.position + token_limit,
                count=step.count - token_limit,
                tokens=step.tokens[token_limit:],
                activation=step.activation[width:],
            )
        )
        return step._replace(
            count=token_limit,
            tokens=step.tokens[:token_limit],
            activation=step.activation[:width],
        )

    def dump(self) -> dict:
        return {
            "request": self.open_message.request,
            "attempt": self.open_message.attempt,
            "stage": self.open_message.stage,
            "customer": self.open_message.customer,
            "next_position": self.next_position,
            "pending": len(self.pending),
            "in_flight": self.in_flight,
            "passed": self.sent_to_engine,
        }

    def close(self):
        """Discard the pending steps; results that arrive later are ignored."""
        self.closed = True
        self.pending_bytes.release(sum(len(step.activation) for step in self.pending))
        self.pending.clear()


class EndedAttempts:
    """The highest ended attempt of each recent request, and whether any attempt ran.

    >>> attempts = EndedAttempts(limit=10)
    >>> attempts.record("r1", 2, ran=True)
    >>> attempts.is_stale("r1", 2), attempts.is_stale("r1", 3)
    (True, False)
    """

    def __init__(self, limit: int = MAX_ENDED_REQUESTS):
        self._limit = limit
        self._ended: OrderedDict[str, tuple[int, bool]] = OrderedDict()
        self._evicted = False

    def record(self, request: str, attempt: int, ran: bool):
        highest, earlier_ran = self._ended.pop(request, (0, False))
        self._ended[request] = max(highest, attempt), ran or earlier_ran
        if len(self._ended) > self._limit:
            self._ended.popitem(last=False)
            self._evicted = True

    def is_stale(self, request: str, attempt: int) -> bool:
        ended = self._ended.get(request)
        return ended is not None and attempt <= ended[0]

    def may_have_run(self, request: str) -> bool:
        """Return whether any attempt of `request` may have reached the engine."""
        ended = self._ended.get(request)
        return self._evicted if ended is None else ended[1]
