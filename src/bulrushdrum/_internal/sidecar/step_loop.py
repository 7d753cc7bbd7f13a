"""Batches ready steps into calls to the engine.

Two greenlets alternate, so that one batch is being transferred while the engine runs
the other. Steps that become ready while both calls are in flight form the next batch;
there is no timer. Steps wait in a fair queue, ordered by priority and then by the
customers' shares.
"""

from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event

from bulrushdrum._internal.limits.fair_queue import FairQueue
from bulrushdrum._internal.peering.request_messages import Step
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

MAX_CALLS_IN_FLIGHT = 2
# With fewer tokens, the fixed time of an engine iteration exceeds the time of its work.
MIN_CALL_TOKENS = 4
_RESUME_POLL_SECONDS = 0.02


def _step_payload(sequence: Sequence, step: Step) -> dict:
    payload = {
        "request": step.request,
        "attempt": step.attempt,
        "position": step.position,
        "count": step.count,
        "seed": sequence.open_message.seed,
        "priority": sequence.open_message.priority,
    }
    if sequence.open_message.stage == 0:
        payload["tokens"] = step.tokens
    else:
        payload["activation"] = step.activation.hex()
    return payload


class StepResultHandler(Protocol):
    """Handles the results and failures of engine calls."""

    @property
    def open_count(self) -> int: ...

    def handle_step_result(self, sequence, step, loaded_model, result): ...

    def handle_unsent_call(self, sequences, reason): ...

    def handle_engine_loss(self, sequences, reason, crashed): ...

    def handle_refused_call(self, sequences, reason): ...


class StepLoop:
    """Runs the steps of sequences on the engine.

    Results and failures go to `result_handler`. A call that was not sent is reported
    with its own sequences. A call that got no answer is reported with the sequences of
    all calls in flight, because any of them may have crashed the engine.
    """

    def __init__(
        self,
        engine: EngineClient,
        settings: SidecarSettings,
        result_handler: StepResultHandler,
    ):
        self._engine = engine
        self._settings = settings
        self._result_handler = result_handler
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

    def start(self, is_resuming: Callable[[], bool] = lambda: False):
        """Run steps from now on, except while `is_resuming()` after a pause."""
        self._is_resuming = is_resuming
        for _ in range(MAX_CALLS_IN_FLIGHT):
            spawn_loop("step loop", self._run_next_batch)

    def set_engine_capacity(self, slots: int, tokens_per_second: float):
        """Set the size of calls for the capacity of the engine.

        One call holds steps of at most `slots` sequences, and tokens for about
        `call_seconds`, so that a long prompt doesn't delay the answers to others.
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

        If all sequences of a chain shared one call, they would move from stage to stage
        together and only one engine would be busy at a time. Splitting them into one
        call per stage keeps all engines busy.
        """
        stages = len(sequence.open_message.chain)
        return min(self._slots, -(-self._result_handler.open_count // stages))

    def submit(self, sequence: Sequence):
        """Queue `sequence` if it has a step that can be sent to the engine."""
        if sequence.queued or sequence.in_flight or not sequence.pending:
            return
        sequence.queued = True
        message = sequence.open_message
        cost = min(sequence.pending[0].count, self._chunk_tokens)
        self._queue.push(
            sequence, message.customer, message.weight, message.priority, cost
        )
        self._ready.set()

    def _next_batch(self):
        batch, tokens, limit = [], 0, 1
        while len(self._queue) and len(batch) < limit and tokens < self._call_tokens:
            sequence = self._queue.pop()
            sequence.queued = False
            if sequence.closed:
                continue
            limit = max(limit, self._batch_limit(sequence))
            step = sequence.take_next(
                min(self._chunk_tokens, self._call_tokens - tokens)
            )
            sequence.in_flight = True
            tokens += step.count
            batch.append((sequence, step))
        if not len(self._queue):
            self._ready.clear()
        return batch

    def _run_next_batch(self):
        self._ready.wait()
        while self._is_resuming():
            gevent.sleep(_RESUME_POLL_SECONDS)
        batch = self._next_batch()
        if not batch:
            return
        try:
            self._run_batch(batch)
        except Exception as error:
            log_internal_error("engine call", error)
            sequences = [sequence for sequence, _ in batch]
            self._result_handler.handle_refused_call(
                sequences, f"internal error: {error!r}"
            )

    def _run_batch(self, batch):
        sequences = [sequence for sequence, _ in batch]
        new_sequences = [
            sequence for sequence in sequences if not sequence.sent_to_engine
        ]
        for sequence in new_sequences:
            sequence.sent_to_engine = True
        self._calls.append(sequences)
        losses_before = self._engine_losses
        try:
            loaded_model, results = self._engine.run_steps(
                [_step_payload(sequence, step) for sequence, step in batch]
            )
        except EngineUnreachable as error:
            for sequence in new_sequences:
                sequence.sent_to_engine = False
            self._result_handler.handle_unsent_call(sequences, str(error))
        except EngineLost as error:
            # The first failure has already reported the other call in flight. When that
            # call fails later, the attempts opened in the meantime are unaffected.
            if losses_before == self._engine_losses:
                self.report_engine_loss(str(error), error.crashed)
        except EngineRefused as error:
            self._result_handler.handle_refused_call(sequences, str(error))
        else:
            self._deliver_results(batch, loaded_model, results)
        finally:
            self._calls.remove(sequences)

    def report_engine_loss(self, reason: str, crashed: bool):
        """Report the sequences of all calls in flight as unanswered."""
        self._engine_losses += 1
        affected = [sequence for call in self._calls for sequence in call]
        self._result_handler.handle_engine_loss(affected, reason, crashed)

    def _deliver_results(self, batch, loaded_model, results):
        self._calls_done += 1
        self._steps_done += len(batch)
        for sequence, step in batch:
            sequence.in_flight = False
            result = results.get(sequence.key, {"error": "engine_gave_no_result"})
            if not sequence.closed:
                self._result_handler.handle_step_result(
                    sequence, step, loaded_model, result
                )
                self.submit(sequence)
