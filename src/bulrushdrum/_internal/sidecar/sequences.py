"""What a stage knows of one attempt, and the rules for the steps it accepts.

The rules are R1 and R3 of the design page: positions ascend without gaps, and once a
stage has seen an attempt it refuses every step of an earlier attempt of the request.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.messages import Open, Step
from bulrushdrum._internal.sidecar.engine_client import LoadedModel

# At most five opens a second reach a sidecar at full size, so this covers 13 minutes;
# a late message is refused by its unknown request after that.
REMEMBERED_REQUESTS = 4096


class StepVerdict(StrEnum):
    """What becomes of a step that arrived at a stage."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    GAP = "position_gap"
    MALFORMED = "malformed_step"
    OVERLOADED = "stage_overloaded"


class PendingBytes:
    """Bytes of activations that wait for the engine, over all sequences."""

    def __init__(self, limit: int):
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> int:
        return self._used

    def try_add(self, size: int) -> bool:
        if self._used + size > self._limit:
            return False
        self._used += size
        return True

    def remove(self, size: int):
        self._used -= size


@dataclass(slots=True, eq=False)
class Sequence:
    """One attempt of a request at this stage.

    `pending` holds accepted steps that the engine has not been given; at most one step
    is at the engine (`in_flight`), which keeps positions in order over two calls in
    flight. `passed` is set before the engine is first given a step. `loaded_model`
    is what the engine held when the attempt was opened, and must hold for every step of
    it.
    """

    open: Open
    connection: PeerConnection
    pending_bytes: PendingBytes
    loaded_model: LoadedModel
    next_position: int = 0
    pending: deque[Step] = field(default_factory=deque)
    opened: bool = False
    queued: bool = False
    in_flight: bool = False
    passed: bool = False
    closed: bool = False
    bound: bool = False
    produced: int = 0

    @property
    def is_last(self) -> bool:
        return self.open.stage == len(self.open.chain) - 1

    @property
    def key(self) -> tuple[str, int]:
        return self.open.request, self.open.attempt

    def may_send_steps(self, incarnation: str) -> bool:
        """Return whether the peer is the one whose steps this stage takes."""
        chain, stage = self.open.chain, self.open.stage
        if stage > 0:
            return incarnation == chain[stage - 1].incarnation
        entry = self.connection.peer.incarnation
        return incarnation in (entry, chain[-1].incarnation)

    def accept(self, step: Step) -> StepVerdict:
        """Take `step` if it is the next one; nothing changes otherwise."""
        if step.position < self.next_position:
            return StepVerdict.DUPLICATE
        if step.position > self.next_position:
            return StepVerdict.GAP
        if self.open.stage == 0:
            valid = step.count == len(step.tokens) > 0
        else:
            # Splitting a step must leave each part whole positions.
            valid = step.count > 0 and step.activation
            valid = valid and len(step.activation) % step.count == 0
        if not valid:
            return StepVerdict.MALFORMED
        if not self.pending_bytes.try_add(len(step.activation)):
            return StepVerdict.OVERLOADED
        self.next_position += step.count
        self.pending.append(step)
        return StepVerdict.ACCEPTED

    def take(self, most_tokens: int) -> Step:
        """Remove and return the next step, split if it has more than `most_tokens`."""
        step = self.pending.popleft()
        if step.count <= most_tokens:
            self.pending_bytes.remove(len(step.activation))
            return step
        width = len(step.activation) // step.count * most_tokens
        self.pending_bytes.remove(width)
        self.pending.appendleft(
            step._replace(
                position=step.position + most_tokens,
                count=step.count - most_tokens,
                tokens=step.tokens[most_tokens:],
                activation=step.activation[width:],
            )
        )
        return step._replace(
            count=most_tokens,
            tokens=step.tokens[:most_tokens],
            activation=step.activation[:width],
        )

    def dump(self) -> dict:
        return {
            "request": self.open.request,
            "attempt": self.open.attempt,
            "stage": self.open.stage,
            "customer": self.open.customer,
            "next_position": self.next_position,
            "pending": len(self.pending),
            "in_flight": self.in_flight,
            "passed": self.passed,
        }

    def close(self):
        """Drop what waits; results that still come are not used."""
        self.closed = True
        self.pending_bytes.remove(sum(len(step.activation) for step in self.pending))
        self.pending.clear()


class AttemptMemory:
    """The highest attempt that ended here for each recent request, and if it ran.

    >>> memory = AttemptMemory(limit=10)
    >>> memory.remember("r1", 2, ran=True)
    >>> memory.is_stale("r1", 2), memory.is_stale("r1", 3)
    (True, False)
    """

    def __init__(self, limit: int = REMEMBERED_REQUESTS):
        self._limit = limit
        self._ended: OrderedDict[str, tuple[int, bool]] = OrderedDict()
        self._evicted = False

    def remember(self, request: str, attempt: int, ran: bool):
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
