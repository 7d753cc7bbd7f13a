"""Runs one non-idempotent request at most once, and says truthfully how it ended.

`OnceProcedure.run` finds or makes the binding of the key, sends the request to the
bound sidecar, and asks the same sidecar again when the connection is lost. Only after
that sidecar has cancelled the key does it move the binding to another one.

The outcome speaks for the key, over all sendings of the caller:

- `ANSWERED`: the key ran, and this is its result.
- `NOT_RUN`: no sending ran the key, and nothing sent so far will. The row is marked as
  released before this is said, so that another entry that was paused with the old row
  can no longer run or move it. A later sending of the same key may run.
- `UNKNOWN`: the key may have run. `sent` tells whether this sending may have; the
  caller who knows that it sent the key only once can take false for "not run".

The way to the sidecar is an argument, so that calls of plain services and model
requests share this procedure. Everything that a sidecar answers as `not_run` must come
from its `BindingTable`; the only exception is `key_reused`.
"""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.messages import CallResult, Resolved
from bulrushdrum._internal.routing.claim_rows import Binding, Proposal
from bulrushdrum._internal.routing.claims import ClaimStore
from bulrushdrum._internal.routing.errors import (
    CallTimeout,
    ClaimsUnavailable,
    InvalidIdempotencyKey,
    KeyReused,
    NotSent,
)
from bulrushdrum._internal.world.requests import Outcome

KEY_REUSED = "key_reused"
# Longer than the detection of a lost peer and a redial (three missed heartbeats).
ASK_AGAIN_SECONDS = 5.0
_ASK_PAUSE_SECONDS = 0.1
RESOLVE_TIMEOUT_SECONDS = 1.0
MAX_MOVES = 3


class OnceTransport(Protocol):
    """The way to a bound sidecar. Both methods block the greenlet.

    They raise `NotSent`, another `ConnectionLost`, or `CallTimeout` after `timeout`
    seconds. `send` gives the request to the sidecar; the same key may be sent again.
    """

    def send(self, binding: Binding, timeout: float) -> CallResult: ...

    def resolve(self, binding: Binding, timeout: float) -> Resolved: ...


class OnceResult(NamedTuple):
    """How a request ended. `result` is set when `outcome` is ANSWERED.

    `sent` is true if this sending may have given the request to a sidecar.
    """

    outcome: Outcome
    reason: str = ""
    result: CallResult | None = None
    sent: bool = False


class OnceProcedure:
    """The entry's side of bindings.

    `choose(excluded)` returns a proposal that is none of the excluded incarnations, or
    None. `clock` returns monotonic seconds.
    """

    def __init__(
        self,
        claims: ClaimStore,
        transport: OnceTransport,
        choose: Callable[[frozenset[str]], Proposal | None],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = gevent.sleep,
    ):
        self._claims = claims
        self._transport = transport
        self._choose = choose
        self._clock = clock
        self._sleep = sleep

    def run(
        self,
        customer: str,
        key: str,
        fingerprint: str,
        timeout: float,
        issued: Binding | None = None,
    ) -> OnceResult:
        """Run the request within `timeout` seconds and return how it ended.

        `issued` is the binding from an issued key. The last `RESOLVE_TIMEOUT_SECONDS`
        of the time are kept to ask what became of a call without an answer.
        """
        deadline = self._clock() + max(0.0, timeout - RESOLVE_TIMEOUT_SECONDS)
        try:
            if issued is not None:
                binding = issued._replace(fingerprint=fingerprint)
            else:
                binding = self._find_or_bind(customer, key, fingerprint)
        except (KeyReused, InvalidIdempotencyKey) as error:
            reason = KEY_REUSED if isinstance(error, KeyReused) else "invalid_key"
            return OnceResult(Outcome.NOT_RUN, reason)
        except ClaimsUnavailable:
            return OnceResult(Outcome.UNKNOWN, "store_unavailable")
        if binding is None:
            return OnceResult(Outcome.NOT_RUN, "no_upstream")
        return self._run_bound(binding, deadline)

    def refuse(self, customer: str, key: str, reason: str) -> OnceResult:
        """End a request that is refused before it has a binding.

        An earlier sending may have run the key, so the row decides what can be said.
        """
        try:
            binding = self._claims.find(customer, key)
        except ClaimsUnavailable:
            return OnceResult(Outcome.UNKNOWN, reason)
        except InvalidIdempotencyKey:
            return OnceResult(Outcome.NOT_RUN, reason)
        if binding is None or binding.released:
            return OnceResult(Outcome.NOT_RUN, reason)
        return OnceResult(Outcome.UNKNOWN, reason)

    def _find_or_bind(self, customer, key, fingerprint):
        proposal = self._choose(frozenset())
        if proposal is not None:
            return self._claims.bind(customer, key, fingerprint, proposal)
        binding = self._claims.find(customer, key)
        if binding is not None and binding.fingerprint != fingerprint:
            raise KeyReused(f"idempotency key {key!r} belongs to another request")
        return binding

    def _run_bound(self, binding, deadline):
        excluded, sent, reason = set(), False, "released"
        may_reopen = True
        for _ in range(MAX_MOVES + 1):
            if binding.done is not None:
                return OnceResult(Outcome.ANSWERED, "", binding.done, sent)
            if binding.released:
                # Released while this request was in progress: another entry has told
                # the caller that the key did not run.
                if not may_reopen:
                    return OnceResult(Outcome.NOT_RUN, reason, None, sent)
            else:
                ended = self._ask(binding, deadline)
                sent = sent or ended.sent
                ended = ended._replace(sent=sent)
                if ended.outcome is not Outcome.NOT_RUN:
                    return self._end(binding, ended)
                if binding.version == 0 or ended.reason == KEY_REUSED:
                    return ended
                reason = ended.reason
                excluded.add(binding.incarnation)
            may_reopen = False
            moved = self._move(binding, excluded, deadline)
            if moved is None:
                break
            binding = moved
        return self._release(binding, reason, sent)

    def _ask(self, binding, deadline) -> OnceResult:
        """Send the request, and again when the connection was lost."""
        give_up, sent = deadline, False
        while (left := deadline - self._clock()) > 0 and self._clock() < give_up:
            try:
                answer = self._transport.send(binding, left)
                outcome = Outcome(answer.outcome)
                result = answer if outcome is Outcome.ANSWERED else None
                return OnceResult(outcome, answer.reason, result, True)
            except CallTimeout:
                sent = True
                break
            except ConnectionLost as lost:
                sent = sent or not isinstance(lost, NotSent)
                give_up = min(give_up, self._clock() + ASK_AGAIN_SECONDS)
                self._sleep(_ASK_PAUSE_SECONDS)
        return self._resolve(binding)._replace(sent=sent)

    def _resolve(self, binding) -> OnceResult:
        try:
            resolved = self._transport.resolve(binding, RESOLVE_TIMEOUT_SECONDS)
        except (ConnectionLost, CallTimeout):
            return OnceResult(Outcome.UNKNOWN, "sidecar_lost")
        match resolved.state:
            case "done":
                result = resolved.result
                outcome = Outcome(result.outcome)
                return OnceResult(outcome, result.reason, result)
            case "cancelled":
                return OnceResult(Outcome.NOT_RUN, "binding_cancelled")
            case "running":
                return OnceResult(Outcome.UNKNOWN, "still_running")
            case _:
                return OnceResult(Outcome.UNKNOWN, "window_expired")

    def _end(self, binding, ended):
        if ended.outcome is Outcome.ANSWERED:
            self._claims.mark_done(binding, ended.result)
            return ended
        try:
            latest = self._claims.find(binding.customer, binding.key)
        except ClaimsUnavailable:
            return ended
        if latest is not None and latest.fingerprint != binding.fingerprint:
            return ended._replace(outcome=Outcome.NOT_RUN, reason=KEY_REUSED)
        if latest is not None and latest.done is not None:
            return ended._replace(
                outcome=Outcome.ANSWERED, reason="", result=latest.done
            )
        return ended

    def _move(self, binding, excluded, deadline):
        """Bind the key again elsewhere; None if there is no time, sidecar or table."""
        if self._clock() >= deadline:
            return None
        proposal = self._choose(frozenset(excluded))
        if proposal is None:
            return None
        try:
            moved = self._claims.rebind(binding, proposal)
        except ClaimsUnavailable:
            return None
        log_event(
            Event.BINDING_MOVED,
            customer=binding.customer,
            source=binding.upstream,
            target=moved.upstream,
            generation=moved.generation,
        )
        return moved

    def _release(self, binding, reason, sent):
        if binding.released:
            return OnceResult(Outcome.NOT_RUN, reason, None, sent)
        try:
            latest = self._claims.release(binding)
        except ClaimsUnavailable:
            return OnceResult(Outcome.UNKNOWN, "store_unavailable", None, sent)
        if latest.released:
            return OnceResult(Outcome.NOT_RUN, reason, None, sent)
        if latest.done is not None:
            return OnceResult(Outcome.ANSWERED, "", latest.done, sent)
        return OnceResult(Outcome.UNKNOWN, "running_elsewhere", None, sent)
