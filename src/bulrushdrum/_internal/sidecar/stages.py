"""The stage of a chain that this sidecar serves: opens, steps, tokens, closes.

A stage takes steps from the one before it, has its engine run them and sends the result
on: activations to the next stage, or, from the last stage, the token to the entry and
to stage 0. It reports to the entry what it cannot go on with, and whether its engine
may have run any of it. Nothing is logged or locked for single steps.
"""

import secrets

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import (
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
from bulrushdrum._internal.sidecar.open_validation import refusal_of
from bulrushdrum._internal.sidecar.releases import Releases
from bulrushdrum._internal.sidecar.sequences import (
    AttemptMemory,
    PendingBytes,
    Sequence,
    StepVerdict,
)
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.sidecar.step_loop import StepLoop
from bulrushdrum._internal.world.requests import Outcome

# An entry that closes an attempt for this reason wants to hear whether it ran.
CLOSE_AND_CONFIRM = "confirm"


class Stages:
    """All attempts that are open at this sidecar, by request."""

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
        self._loop = StepLoop(engine, settings, self)
        self._sequences: dict[str, Sequence] = {}
        self._memory = AttemptMemory()
        self._pending_bytes = PendingBytes(settings.max_pending_bytes)
        self._releases = Releases(engine)
        self._refused_steps = 0
        hub.register(Open, self._on_open)
        hub.register(Steps, self._on_steps)
        hub.register(Close, self._on_close)

    @property
    def loop(self) -> StepLoop:
        return self._loop

    @property
    def open_count(self) -> int:
        return len(self._sequences)

    @property
    def outstanding_tokens(self) -> int:
        """Tokens of the open attempts that are still to run here.

        Answer tokens that are not made yet count too: an entry that chooses a chain
        must know of work that will come, not only of steps that wait now.
        """
        return sum(
            max(0, one.open.prompt_tokens + one.open.max_tokens - one.next_position)
            for one in self._sequences.values()
        )

    def next_incarnations(self) -> set[str]:
        """Return the sidecar incarnations that open attempts send to."""
        return {_next_stage(one.open).incarnation for one in self._sequences.values()}

    def sequences(self) -> list[Sequence]:
        return list(self._sequences.values())

    def dump(self) -> dict:
        return {
            "open": [one.dump() for one in self._sequences.values()],
            "refused_steps": self._refused_steps,
            "pending_bytes": self._pending_bytes.used,
            "loop": self._loop.dump(),
        }

    # Opening.

    def _on_open(self, connection: PeerConnection, message: Open):
        known = self._sequences.get(message.request)
        if known is not None and known.open == message:
            if known.opened:
                self._answer_open(connection, message)
            return
        reason = self._refusal(message)
        if message.attempt > 1:
            # Seeing an attempt ends the earlier ones, even if this one is refused.
            self._memory.remember(message.request, message.attempt - 1, ran=False)
            if known is not None and known.open.attempt < message.attempt:
                self._end(known)
        if reason:
            self._answer_open(connection, message, reason)
            return
        sequence = Sequence(
            message, connection, self._pending_bytes, self._status.engine.loaded_model
        )
        self._sequences[message.request] = sequence
        if self._needs_no_dial(message):
            self._finish_opening(sequence)
        else:
            gevent.spawn(self._dial_and_open, sequence)

    def _refusal(self, message):
        reason = refusal_of(
            message, self._hub.local_identity, self._settings, self._status
        )
        if reason:
            return reason
        known = self._sequences.get(message.request)
        if known is not None and message.attempt <= known.open.attempt:
            return "stale_attempt"
        if self._memory.is_stale(message.request, message.attempt):
            return "stale_attempt"
        if len(self._sequences) >= self._settings.open_limit:
            return "upstream_full"
        if message.solo and any(one.open.solo for one in self._sequences.values()):
            return "suspect_running"
        return ""

    def _needs_no_dial(self, message):
        stage = _next_stage(message)
        local = stage.incarnation == self._hub.local_identity.incarnation
        return local or self._next_hops.connected(stage) is not None

    def _dial_and_open(self, sequence):
        try:
            self._next_hops.connect(_next_stage(sequence.open))
        except NextStageUnreachable as error:
            if not sequence.closed:
                self._end(sequence)
                self._answer_open(
                    sequence.connection, sequence.open, f"next_stage: {error}"
                )
            return
        if not sequence.closed:
            self._finish_opening(sequence)

    def _finish_opening(self, sequence):
        """Admit the bound key, if any, and answer the entry."""
        asked = sequence.open
        if asked.binding_key and asked.stage == 0:
            admitted = self._bindings.admit(
                asked.customer,
                asked.binding_key,
                asked.window,
                asked.generation,
                asked.fingerprint,
                refuse_new=self._status.refusal(),
            )
            if not isinstance(admitted, Run):
                self._end(sequence)
                reason = getattr(admitted, "reason", "binding_joined")
                outcome = getattr(admitted, "outcome", Outcome.UNKNOWN)
                self._answer_open(sequence.connection, asked, str(reason), outcome)
                return
            sequence.bound = True
        sequence.opened = True
        self._answer_open(sequence.connection, asked)

    def _answer_open(self, connection, message, reason="", outcome=Outcome.NOT_RUN):
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

    def _on_steps(self, connection: PeerConnection, message: Steps):
        sender = connection.peer.incarnation
        for step in message.steps:
            sequence = self._sequences.get(step.request)
            if (
                sequence is None
                or sequence.open.attempt != step.attempt
                or not sequence.opened
                or not sequence.may_send_steps(sender)
            ):
                self._refuse_step(connection, step)
            else:
                self._take_step(sequence, step)

    def _refuse_step(self, connection, step):
        """Refuse a step of an attempt that is not open; tell an entry if it ran."""
        self._refused_steps += 1
        if connection.peer.kind != "entry":
            return
        known = self._sequences.get(step.request)
        ran = self._memory.may_have_run(step.request)
        ran = ran or (known is not None and known.passed)
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

    def _take_step(self, sequence, step):
        match sequence.accept(step):
            case StepVerdict.ACCEPTED:
                self._loop.submit(sequence)
            case StepVerdict.DUPLICATE:
                self._refused_steps += 1
            case verdict:
                self.fail(sequence, verdict.value)

    def step_done(
        self, sequence: Sequence, step: Step, loaded_model: LoadedModel, result
    ):
        """Send on the result of one step."""
        # A stale order reached an engine that ignores fencing numbers.
        if loaded_model != sequence.loaded_model:
            self.fail(sequence, "engine_changed")
            return
        try:
            if "error" in result:
                self.fail(sequence, f"engine: {result['error']}")
            elif sequence.is_last:
                self._send_token(sequence, step, result)
            else:
                activation = bytes.fromhex(result["activation"])
                self._forward(
                    sequence,
                    Step(*sequence.key, step.position, step.count, (), activation),
                )
        except (KeyError, TypeError, ValueError) as error:
            self.fail(sequence, f"engine: malformed result: {error!r}")

    def _send_token(self, sequence, step, result):
        asked = sequence.open
        position = step.position + step.count
        if position < asked.prompt_tokens:
            return  # a part of the prompt; its token is not wanted
        sequence.produced += 1
        stopped = bool(result["stop"])
        final = stopped or sequence.produced >= asked.max_tokens
        finish_reason = ("stop" if stopped else "length") if final else ""
        token = int(result["token"])
        self._send_to_entry(
            sequence,
            Token(*sequence.key, position, token, result["text"], final, finish_reason),
        )
        if not final:
            self._forward(sequence, Step(*sequence.key, position, 1, (token,)))

    def _forward(self, sequence, step):
        stage = _next_stage(sequence.open)
        if stage.incarnation == self._hub.local_identity.incarnation:
            self._take_step(sequence, step)
            return
        connection = self._next_hops.connected(stage)
        try:
            if connection is None:
                raise ConnectionLost("not connected")
            connection.send(step)
        except ConnectionLost as error:
            self.fail(sequence, f"link_lost: {error}", upstream=stage.upstream)

    # Endings.

    def _on_close(self, connection: PeerConnection, message: Close):
        sequence = self._sequences.get(message.request)
        ran = self._memory.may_have_run(message.request)
        if sequence is not None and sequence.open.attempt <= message.attempt:
            ran = ran or sequence.passed
            self._end(sequence)
        # An `open` that arrives after its `close` must not occupy the stage.
        self._memory.remember(message.request, message.attempt, ran)
        if message.reason == CLOSE_AND_CONFIRM:
            upstream = self._settings.upstream_id
            self._send(
                connection,
                AttemptFailed(
                    message.request, message.attempt, upstream, "closed", ran
                ),
            )

    def fail(self, sequence, cause, upstream="", suspects=(), incident=""):
        """End the attempt and report to its entry; `upstream` is the one at fault."""
        if sequence.closed:
            return
        self._end(sequence)
        self._send_to_entry(
            sequence,
            AttemptFailed(
                *sequence.key,
                upstream or self._settings.upstream_id,
                cause,
                sequence.passed,
                suspects,
                incident,
            ),
        )

    def cancel(self, sequence: Sequence):
        """End the attempt without a report, because nobody waits for it."""
        if not sequence.closed:
            self._end(sequence)

    def _end(self, sequence):
        sequence.close()
        request, attempt = sequence.key
        if self._sequences.get(request) is sequence:
            del self._sequences[request]
        if sequence.opened:
            self._memory.remember(request, attempt, sequence.passed)
        if sequence.bound:
            outcome = Outcome.UNKNOWN if sequence.passed else Outcome.NOT_RUN
            result = CallResult(outcome=outcome.value, reason="model_request_ended")
            self._bindings.finish(
                sequence.open.customer, sequence.open.binding_key, result
            )
        if sequence.passed:
            self._releases.add(*sequence.key)

    def call_not_sent(self, sequences, reason):
        for sequence in sequences:
            self.fail(sequence, f"engine_unreachable: {reason}")

    def call_refused(self, sequences, reason):
        for sequence in sequences:
            self.fail(sequence, f"engine_refused: {reason}")

    def call_unanswered(self, sequences, reason, crashed):
        """The engine died or stalled: its KV cache is lost, so all attempts fail.

        Only a crash makes the requests on board suspects; an engine that is paused or
        overloaded says nothing of them.
        """
        incident, suspects = "", ()
        if crashed and sequences:
            incident = secrets.token_hex(8)
            suspects = tuple({one.open.fingerprint for one in sequences})
        self._status.update(engine=None)
        log_event(
            Event.ENGINE_LOST,
            reason=reason,
            open=len(self._sequences),
            suspects=list(suspects),
        )
        # Every report names the same requests, so an entry may learn of the incident
        # from whichever it receives first.
        for sequence in self.sequences():
            self.fail(sequence, "engine_lost", suspects=suspects, incident=incident)

    def next_hop_lost(self, incarnation: str, reason: str):
        """Fail the attempts that send to the sidecar `incarnation`."""
        for sequence in self.sequences():
            stage = _next_stage(sequence.open)
            if stage.incarnation == incarnation:
                self.fail(sequence, f"link_lost: {reason}", upstream=stage.upstream)

    # Sending.

    def _send_to_entry(self, sequence, message):
        entry = sequence.connection.peer.incarnation
        connection = self._hub.connection_to(entry) or sequence.connection
        self._send(connection, message)

    def _send(self, connection, message):
        try:
            connection.send(message)
        except ConnectionLost:
            pass  # `entry_lost_after` ends what the entry asked for


def _next_stage(asked: Open):
    return asked.chain[(asked.stage + 1) % len(asked.chain)]
