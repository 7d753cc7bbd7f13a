"""Runs this sidecar's stage of a chain: opens, steps, tokens and closes.

A stage receives steps from the previous stage, runs them on its engine and forwards the
results: activations to the next stage, or, from the last stage, the token to the entry
and to stage 0. When an attempt fails, the stage reports it to the entry and states
whether its engine may have run any step of it. Single steps are neither logged nor
locked.
"""

import secrets

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.request_messages import (
    AttemptFailed,
    CallResult,
    Close,
    Open,
    Opened,
    Step,
    Steps,
    Token,
)
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.bindings import BindingTable, Run
from bulrushdrum._internal.sidecar.engine_client import EngineClient, LoadedModel
from bulrushdrum._internal.sidecar.errors import NextStageUnreachable
from bulrushdrum._internal.sidecar.next_hops import NextHops
from bulrushdrum._internal.sidecar.open_validation import validate_open
from bulrushdrum._internal.sidecar.releases import CacheReleaser
from bulrushdrum._internal.sidecar.sequences import (
    EndedAttempts,
    PendingByteBudget,
    Sequence,
    StepAcceptance,
)
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.sidecar.step_loop import StepLoop
from bulrushdrum._internal.world.requests import Outcome

# Reason of a `Close` that asks the sidecar to report whether the attempt ran.
CLOSE_AND_CONFIRM = "confirm"


class StageExecutor:
    """Runs the steps of all attempts that are open at this sidecar."""

    def __init__(
        self,
        hub: PeerHub,
        settings: SidecarSettings,
        engine: EngineClient,
        status: UpstreamStatus,
        bindings: BindingTable,
        next_hops: NextHops,
    ):
        self._hub = hub
        self._settings = settings
        self._status = status
        self._bindings = bindings
        self._next_hops = next_hops
        self._step_loop = StepLoop(engine, settings, self)
        self._sequences: dict[str, Sequence] = {}
        self._ended_attempts = EndedAttempts()
        self._pending_bytes = PendingByteBudget(settings.max_pending_bytes)
        self._cache_releaser = CacheReleaser(engine)
        self._refused_steps = 0
        hub.register(Open, self._handle_open)
        hub.register(Steps, self._handle_steps)
        hub.register(Close, self._handle_close)

    @property
    def step_loop(self) -> StepLoop:
        return self._step_loop

    @property
    def open_count(self) -> int:
        return len(self._sequences)

    @property
    def outstanding_tokens(self) -> int:
        """The number of tokens that open attempts still have to run here.

        Answer tokens that have not been generated count too, because an entry that
        chooses a chain must take future work into account as well as waiting steps.
        """
        return sum(
            max(
                0,
                sequence.open_message.prompt_tokens
                + sequence.open_message.max_tokens
                - sequence.next_position,
            )
            for sequence in self._sequences.values()
        )

    def next_stage_incarnations(self) -> set[str]:
        """Return the sidecar incarnations that open attempts send to."""
        return {
            _next_stage(sequence.open_message).incarnation
            for sequence in self._sequences.values()
        }

    def sequences(self) -> list[Sequence]:
        return list(self._sequences.values())

    def dump(self) -> dict:
        return {
            "open": [sequence.dump() for sequence in self._sequences.values()],
            "refused_steps": self._refused_steps,
            "pending_bytes": self._pending_bytes.used,
            "loop": self._step_loop.dump(),
        }

    # Opening.

    def _handle_open(self, connection: PeerConnection, message: Open):
        existing = self._sequences.get(message.request)
        if existing is not None and existing.open_message == message:
            if existing.opened:
                self._send_opened(connection, message)
            return
        reason = self._refusal_reason(message)
        if message.attempt > 1:
            # A new attempt ends the earlier ones, even if it is refused.
            self._ended_attempts.record(message.request, message.attempt - 1, ran=False)
            if existing is not None and existing.open_message.attempt < message.attempt:
                self._end_attempt(existing)
        if reason:
            self._send_opened(connection, message, reason)
            return
        sequence = Sequence(
            message, connection, self._pending_bytes, self._status.engine.loaded_model
        )
        self._sequences[message.request] = sequence
        if self._next_hop_connected(message):
            self._admit_and_confirm(sequence)
        else:
            gevent.spawn(self._dial_and_open, sequence)

    def _refusal_reason(self, message):
        reason = validate_open(
            message, self._hub.local_identity, self._settings, self._status
        )
        if reason:
            return reason
        existing = self._sequences.get(message.request)
        if existing is not None and message.attempt <= existing.open_message.attempt:
            return "stale_attempt"
        if self._ended_attempts.is_stale(message.request, message.attempt):
            return "stale_attempt"
        if len(self._sequences) >= self._settings.open_limit:
            return "upstream_full"
        if message.solo and any(
            sequence.open_message.solo for sequence in self._sequences.values()
        ):
            return "suspect_running"
        return ""

    def _next_hop_connected(self, message):
        stage = _next_stage(message)
        local = stage.incarnation == self._hub.local_identity.incarnation
        return local or self._next_hops.find_connection(stage) is not None

    def _dial_and_open(self, sequence):
        try:
            self._next_hops.connect(_next_stage(sequence.open_message))
        except NextStageUnreachable as error:
            if not sequence.closed:
                self._end_attempt(sequence)
                self._send_opened(
                    sequence.connection, sequence.open_message, f"next_stage: {error}"
                )
            return
        if not sequence.closed:
            self._admit_and_confirm(sequence)

    def _admit_and_confirm(self, sequence):
        """Admit the bound key, if any, and answer the entry."""
        message = sequence.open_message
        if message.binding_key and message.stage == 0:
            decision = self._bindings.admit(
                message.customer,
                message.binding_key,
                message.window,
                message.generation,
                message.fingerprint,
                refuse_new=self._status.refusal_reason(),
            )
            if not isinstance(decision, Run):
                self._end_attempt(sequence)
                reason = getattr(decision, "reason", "binding_joined")
                outcome = getattr(decision, "outcome", Outcome.UNKNOWN)
                self._send_opened(sequence.connection, message, str(reason), outcome)
                return
            sequence.bound = True
        sequence.opened = True
        self._send_opened(sequence.connection, message)

    def _send_opened(self, connection, message, reason="", outcome=Outcome.NOT_RUN):
        self._send(
            connection,
            Opened(
                message.request,
                message.attempt,
                message.stage,
                not reason,
                reason,
                outcome.value if reason else "",
            ),
        )

    # Steps.

    def _handle_steps(self, connection: PeerConnection, message: Steps):
        sender = connection.peer.incarnation
        for step in message.steps:
            sequence = self._sequences.get(step.request)
            if (
                sequence is None
                or sequence.open_message.attempt != step.attempt
                or not sequence.opened
                or not sequence.accepts_steps_from(sender)
            ):
                self._refuse_step(connection, step)
            else:
                self._accept_step(sequence, step)

    def _refuse_step(self, connection, step):
        """Refuse a step of an attempt that is not open.

        If an entry sent the step, report to it whether the request may have run.
        """
        self._refused_steps += 1
        if connection.peer.kind != "entry":
            return
        existing = self._sequences.get(step.request)
        ran = self._ended_attempts.may_have_run(step.request)
        ran = ran or (existing is not None and existing.sent_to_engine)
        self._send(
            connection,
            AttemptFailed(
                step.request,
                step.attempt,
                self._settings.upstream_id,
                "attempt_not_open",
                ran,
            ),
        )

    def _accept_step(self, sequence, step):
        match sequence.accept(step):
            case StepAcceptance.ACCEPTED:
                self._step_loop.submit(sequence)
            case StepAcceptance.DUPLICATE:
                self._refused_steps += 1
            case refusal:
                self.fail_attempt(sequence, refusal.value)

    def handle_step_result(
        self, sequence: Sequence, step: Step, loaded_model: LoadedModel, result
    ):
        """Forward the result of one step."""
        # An engine that ignores fencing numbers has applied a stale order.
        if loaded_model != sequence.loaded_model:
            self.fail_attempt(sequence, "engine_changed")
            return
        try:
            if "error" in result:
                self.fail_attempt(sequence, f"engine: {result['error']}")
            elif sequence.is_last:
                self._send_token(sequence, step, result)
            else:
                activation = bytes.fromhex(result["activation"])
                self._forward_step(
                    sequence,
                    Step(*sequence.key, step.position, step.count, (), activation),
                )
        except (KeyError, TypeError, ValueError) as error:
            self.fail_attempt(sequence, f"engine: malformed result: {error!r}")

    def _send_token(self, sequence, step, result):
        message = sequence.open_message
        position = step.position + step.count
        if position < message.prompt_tokens:
            return  # not the end of the prompt, so this token is not part of the answer
        sequence.generated_tokens += 1
        stopped = bool(result["stop"])
        final = stopped or sequence.generated_tokens >= message.max_tokens
        finish_reason = ("stop" if stopped else "length") if final else ""
        token = int(result["token"])
        self._send_to_entry(
            sequence,
            Token(*sequence.key, position, token, result["text"], final, finish_reason),
        )
        if not final:
            self._forward_step(sequence, Step(*sequence.key, position, 1, (token,)))

    def _forward_step(self, sequence, step):
        stage = _next_stage(sequence.open_message)
        if stage.incarnation == self._hub.local_identity.incarnation:
            self._accept_step(sequence, step)
            return
        connection = self._next_hops.find_connection(stage)
        try:
            if connection is None:
                raise ConnectionLost("not connected")
            connection.send(step)
        except ConnectionLost as error:
            self.fail_attempt(sequence, f"link_lost: {error}", upstream=stage.upstream)

    # Closing and failing.

    def _handle_close(self, connection: PeerConnection, message: Close):
        sequence = self._sequences.get(message.request)
        ran = self._ended_attempts.may_have_run(message.request)
        if sequence is not None and sequence.open_message.attempt <= message.attempt:
            ran = ran or sequence.sent_to_engine
            self._end_attempt(sequence)
        # An `Open` that arrives after its `Close` must not open the attempt.
        self._ended_attempts.record(message.request, message.attempt, ran)
        if message.reason == CLOSE_AND_CONFIRM:
            upstream = self._settings.upstream_id
            self._send(
                connection,
                AttemptFailed(
                    message.request, message.attempt, upstream, "closed", ran
                ),
            )

    def fail_attempt(self, sequence, cause, upstream="", suspects=(), incident=""):
        """End the attempt and report the failure to its entry.

        `upstream` is the upstream at fault, by default this one.
        """
        if sequence.closed:
            return
        self._end_attempt(sequence)
        self._send_to_entry(
            sequence,
            AttemptFailed(
                *sequence.key,
                upstream or self._settings.upstream_id,
                cause,
                sequence.sent_to_engine,
                suspects,
                incident,
            ),
        )

    def cancel_attempt(self, sequence: Sequence):
        """End the attempt without a report to its entry, which is lost."""
        if not sequence.closed:
            self._end_attempt(sequence)

    def _end_attempt(self, sequence):
        sequence.close()
        request, attempt = sequence.key
        if self._sequences.get(request) is sequence:
            del self._sequences[request]
        if sequence.opened:
            self._ended_attempts.record(request, attempt, sequence.sent_to_engine)
        if sequence.bound:
            outcome = Outcome.UNKNOWN if sequence.sent_to_engine else Outcome.NOT_RUN
            result = CallResult(outcome=outcome.value, reason="model_request_ended")
            self._bindings.finish(
                sequence.open_message.customer,
                sequence.open_message.binding_key,
                result,
            )
        if sequence.sent_to_engine:
            self._cache_releaser.schedule(*sequence.key)

    def handle_unsent_call(self, sequences, reason):
        for sequence in sequences:
            self.fail_attempt(sequence, f"engine_unreachable: {reason}")

    def handle_refused_call(self, sequences, reason):
        for sequence in sequences:
            self.fail_attempt(sequence, f"engine_refused: {reason}")

    def handle_engine_loss(self, sequences, reason, crashed):
        """Fail all attempts, because the engine crashed or stalled.

        Its KV cache is lost. The running requests become suspects only after a crash: a
        pause or an overload of the engine is no evidence against them.
        """
        incident, suspects = "", ()
        if crashed and sequences:
            incident = secrets.token_hex(8)
            suspects = tuple(
                {sequence.open_message.fingerprint for sequence in sequences}
            )
        self._status.update(engine=None)
        log_event(
            Event.ENGINE_LOST,
            reason=reason,
            open=len(self._sequences),
            suspects=list(suspects),
        )
        # Every report names the same requests, so an entry knows all suspects of the
        # incident from the first report that it receives.
        for sequence in self.sequences():
            self.fail_attempt(
                sequence, "engine_lost", suspects=suspects, incident=incident
            )

    def handle_next_hop_loss(self, incarnation: str, reason: str):
        """Fail the attempts whose next stage is the sidecar `incarnation`."""
        for sequence in self.sequences():
            stage = _next_stage(sequence.open_message)
            if stage.incarnation == incarnation:
                self.fail_attempt(
                    sequence, f"link_lost: {reason}", upstream=stage.upstream
                )

    # Sending.

    def _send_to_entry(self, sequence, message):
        entry = sequence.connection.peer.incarnation
        connection = self._hub.connection_to(entry) or sequence.connection
        self._send(connection, message)

    def _send(self, connection, message):
        try:
            connection.send(message)
        except ConnectionLost:
            pass  # the attempts of a lost entry are cancelled after `entry_lost_after`


def _next_stage(message: Open):
    return message.chain[(message.stage + 1) % len(message.chain)]
