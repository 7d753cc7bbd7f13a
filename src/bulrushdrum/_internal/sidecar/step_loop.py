"""Feeds the engine: all steps that are ready go into one call.

Two greenlets take turns, so that one batch travels while the engine works on another.
Steps that become ready while both calls are under way form the next batch; there is no
timer. Steps wait in a fair queue, by priority and then by the customers' shares.
"""

from typing import Protocol

from gevent.event import Event

from bulrushdrum._internal.limits.fair_queue import FairQueue
from bulrushdrum._internal.peering.messages import Step
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import (
    log_internal_error,
    spawn_loop,
)
from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.errors import (
    EngineLost,
    EngineRefused,
    EngineUnreachable,
)
from bulrushdrum._internal.sidecar.sequences import Sequence

CALLS_IN_FLIGHT = 2
# Below this, the base time of each engine iteration outweighs the work in it.
MIN_CALL_TOKENS = 4


def _engine_step(sequence: Sequence, step: Step) -> dict:
    asked = {
        "request": step.request,
        "attempt": step.attempt,
        "position": step.position,
        "count": step.count,
        "seed": sequence.open.seed,
        "priority": sequence.open.priority,
    }
    if sequence.open.stage == 0:
        asked["tokens"] = step.tokens
    else:
        asked["activation"] = step.activation.hex()
    return asked


class StepResults(Protocol):
    """Receives what the engine made of steps."""

    @property
    def open_count(self) -> int: ...

    def step_done(self, sequence, step, loaded_model, result): ...

    def call_not_sent(self, sequences, reason): ...

    def call_unanswered(self, sequences, reason, crashed): ...

    def call_refused(self, sequences, reason): ...


class StepLoop:
    """Runs the steps of sequences on the engine.

    What comes of them goes to `results`. A call that was not sent is reported with its
    own sequences; one that got no answer with those of all calls in flight, because
    any of them may have crashed the engine.
    """

    def __init__(
        self, engine: EngineClient, settings: SidecarSettings, results: StepResults
    ):
        self._engine = engine
        self._settings = settings
        self._results = results
        self._slots = 1
        self._call_tokens = settings.call_tokens
        self._queue = FairQueue(settings.open_limit)
        self._ready = Event()
        self._calls: list[list[Sequence]] = []
        self._engine_losses = 0
        self._steps_done = 0
        self._calls_done = 0

    @property
    def waiting(self) -> int:
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        return sum(len(batch) for batch in self._calls)

    def dump(self) -> dict:
        return {
            "waiting": self.waiting,
            "in_flight": [len(batch) for batch in self._calls],
            "steps_done": self._steps_done,
            "calls_done": self._calls_done,
        }

    def start(self):
        for _ in range(CALLS_IN_FLIGHT):
            spawn_loop("step loop", self._run_next)

    def set_engine(self, slots: int, tokens_per_second: float):
        """Size the calls for an engine.

        One call carries steps of at most `slots` sequences, and tokens for about
        `call_seconds`, so that a long prompt does not hold up the answers of others.
        """
        self._slots = max(1, slots)
        self._call_tokens = self._settings.call_tokens
        if tokens_per_second > 0:
            tokens = int(tokens_per_second * self._settings.call_seconds)
            self._call_tokens = max(MIN_CALL_TOKENS, min(tokens, self._call_tokens))

    @property
    def _chunk_tokens(self):
        return min(self._settings.chunk_tokens, self._call_tokens)

    def _batch_limit(self, sequence):
        """Return how many sequences may share a call.

        With all sequences of a chain in one call they would go from stage to stage
        together, and each engine would be idle while the others work. One call for each
        stage keeps all of them busy.
        """
        stages = len(sequence.open.chain)
        return min(self._slots, -(-self._results.open_count // stages))

    def submit(self, sequence: Sequence):
        """Queue `sequence` if it has a step that may go to the engine now."""
        if sequence.queued or sequence.in_flight or not sequence.pending:
            return
        sequence.queued = True
        asked = sequence.open
        cost = min(sequence.pending[0].count, self._chunk_tokens)
        self._queue.push(sequence, asked.customer, asked.weight, asked.priority, cost)
        self._ready.set()

    def _next_batch(self):
        batch, tokens, limit = [], 0, 1
        while len(self._queue) and len(batch) < limit and tokens < self._call_tokens:
            sequence = self._queue.pop()
            sequence.queued = False
            if sequence.closed:
                continue
            limit = max(limit, self._batch_limit(sequence))
            step = sequence.take(min(self._chunk_tokens, self._call_tokens - tokens))
            sequence.in_flight = True
            tokens += step.count
            batch.append((sequence, step))
        if not len(self._queue):
            self._ready.clear()
        return batch

    def _run_next(self):
        self._ready.wait()
        batch = self._next_batch()
        if not batch:
            return
        try:
            self._run_batch(batch)
        except Exception as error:
            log_internal_error("engine call", error)
            sequences = [sequence for sequence, _ in batch]
            self._results.call_refused(sequences, f"internal error: {error!r}")

    def _run_batch(self, batch):
        sequences = [sequence for sequence, _ in batch]
        fresh = [sequence for sequence in sequences if not sequence.passed]
        for sequence in fresh:
            sequence.passed = True
        self._calls.append(sequences)
        losses = self._engine_losses
        try:
            loaded_model, results = self._engine.run_steps(
                [_engine_step(sequence, step) for sequence, step in batch]
            )
        except EngineUnreachable as error:
            for sequence in fresh:
                sequence.passed = False
            self._results.call_not_sent(sequences, str(error))
        except EngineLost as error:
            # The other call in flight fails with the first one. Its own failure comes
            # later and says nothing of what was opened meanwhile.
            if losses == self._engine_losses:
                self.engine_lost(str(error), error.crashed)
        except EngineRefused as error:
            self._results.call_refused(sequences, str(error))
        else:
            self._deliver(batch, loaded_model, results)
        finally:
            self._calls.remove(sequences)

    def engine_lost(self, reason: str, crashed: bool):
        """Report all calls in flight as unanswered."""
        self._engine_losses += 1
        dying = [sequence for call in self._calls for sequence in call]
        self._results.call_unanswered(dying, reason, crashed)

    def _deliver(self, batch, loaded_model, results):
        self._calls_done += 1
        self._steps_done += len(batch)
        for sequence, step in batch:
            sequence.in_flight = False
            result = results.get(sequence.key, {"error": "engine_gave_no_result"})
            if not sequence.closed:
                self._results.step_done(sequence, step, loaded_model, result)
                self.submit(sequence)
