"""Runs one non-idempotent request at most once, and says truthfully how it ended.

`AtMostOnceExecutor.run` finds or makes the binding of the key, sends the request to the
bound sidecar, and asks the same sidecar again when the connection is lost. Only after
that sidecar has cancelled the key does it move the binding to another one.

The outcome speaks for the key, over all sendings of the caller:

- `ANSWERED`: the key ran, and this is its result.
- `NOT_RUN`: no sending ran the key, and nothing begun so far will. An entry says so
  only after its own write has released the row, which makes the writes of entries that
  were paused with the old row fail. A later sending of the same key may run.
- `UNKNOWN`: the key may have run. `sent` tells whether this sending may have; a caller
  who knows that it sent the key only once can take false for "not run".

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
from bulrushdrum._internal.routing.claim_rows import Binding, BindingProposal
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
# More are needed only if several entries refuse the same key at the same moment.
_MAX_RELEASES = 4


class BoundTransport(Protocol):
    """The way to a bound sidecar. Both methods block the greenlet.

    They raise `NotSent`, another `ConnectionLost`, or `CallTimeout` after `timeout`
    seconds. `send` gives the request to the sidecar; the same key may be sent again.
    """

    def send(self, binding: Binding, timeout: float) -> CallResult: ...

    def resolve(self, binding: Binding, timeout: float) -> Resolved: ...


class AtMostOnceResult(NamedTuple):
    """How a request ended. `result` is set when `outcome` is ANSWERED.

    `sent` is true if this sending may have given the request to a sidecar.
    """

    outcome: Outcome
    reason: str = ""
    result: CallResult | None = None
    sent: bool = False


class AtMostOnceExecutor:
    """The entry's side of bindings.

    `choose(excluded)` returns a proposal that is none of the excluded incarnations, or
    None. `clock` returns monotonic seconds.
    """

    def __init__(
        self,
        claims: ClaimStore,
        transport: BoundTransport,
        choose: Callable[[frozenset[str]], BindingProposal | None],
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
        caller_waits: Callable[[], bool] = lambda: True,
    ) -> AtMostOnceResult:
        """Run the request within `timeout` seconds and return how it ended.

        `issued` is the binding from an issued key. `caller_waits()` tells whether the
        caller is still connected: a request whose caller has left does not bind a
        released key again, because the caller may have been told that it did not run.
        The last `RESOLVE_TIMEOUT_SECONDS` of the time are kept to ask what became of a
        call without an answer.
        """
        deadline = self._clock() + max(0.0, timeout - RESOLVE_TIMEOUT_SECONDS)
        if issued is not None:
            binding = issued._replace(fingerprint=fingerprint)
            return self._run_bound(binding, deadline, caller_waits)
        proposal = self._choose(frozenset())
        binding, ended = self._bind(customer, key, fingerprint, proposal)
        if ended is not None:
            return ended
        if proposal is None and binding.released:
            return self._release(binding, "no_upstream", False)
        return self._run_bound(binding, deadline, caller_waits)

    def refuse(
        self,
        customer: str,
        key: str,
        fingerprint: str,
        reason: str,
        issued: Binding | None = None,
    ) -> AtMostOnceResult:
        """End a request that is refused before it was sent, for example over its limit.

        An earlier sending may have run the key or be about to. So the key is released
        or, if it was issued, cancelled at its sidecar; when that cannot be done, the
        outcome is UNKNOWN.
        """
        if issued is not None:
            ended = self._resolve(issued)
            if ended.outcome is Outcome.ANSWERED:
                return ended
            return ended._replace(reason=reason)
        binding, ended = self._bind(customer, key, fingerprint, None)
        if ended is not None:
            return ended
        if binding.done is not None:
            return AtMostOnceResult(Outcome.ANSWERED, "", binding.done)
        if not binding.released:
            return AtMostOnceResult(Outcome.UNKNOWN, reason)
        return self._release(binding, reason, False)

    def _bind(self, customer, key, fingerprint, proposal):
        """Return the binding in force, or None and how the request ends without."""
        try:
            return self._claims.bind(customer, key, fingerprint, proposal), None
        except KeyReused:
            return None, AtMostOnceResult(Outcome.NOT_RUN, KEY_REUSED)
        except InvalidIdempotencyKey:
            return None, AtMostOnceResult(Outcome.NOT_RUN, "invalid_key")
        except ClaimsUnavailable:
            return None, AtMostOnceResult(Outcome.UNKNOWN, "store_unavailable")

    def _run_bound(self, binding, deadline, caller_waits):
        excluded, sent, reason = set(), False, "released"
        may_move = not binding.released or caller_waits()
        for moves_left in range(MAX_MOVES, -1, -1):
            if binding.done is not None:
                return AtMostOnceResult(Outcome.ANSWERED, "", binding.done, sent)
            if not binding.released:
                ended = self._ask(binding, deadline)
                sent = sent or ended.sent
                ended = ended._replace(sent=sent)
                if ended.outcome is not Outcome.NOT_RUN:
                    return self._end(binding, ended)
                if binding.version == 0 or ended.reason == KEY_REUSED:
                    return ended
                reason = ended.reason
                excluded.add(binding.incarnation)
            # Only a binding that its sidecar has cancelled, or a released one, comes
            # to this point.
            if not may_move or moves_left == 0:
                break
            moved = self._move(binding, excluded, deadline)
            if moved is None:
                break
            binding = moved
            # A key released by another entry while this one worked on it was refused
            # to the caller there.
            may_move = not moved.released
        return self._release(binding, reason, sent)

    def _ask(self, binding, deadline) -> AtMostOnceResult:
        """Send the request, and again when the connection was lost."""
        give_up, sent = deadline, False
        while (left := deadline - self._clock()) > 0 and self._clock() < give_up:
            try:
                answer = self._transport.send(binding, left)
                outcome = Outcome(answer.outcome)
                result = answer if outcome is Outcome.ANSWERED else None
                return AtMostOnceResult(outcome, answer.reason, result, True)
            except CallTimeout:
                sent = True
                break
            except ConnectionLost as lost:
                sent = sent or not isinstance(lost, NotSent)
                give_up = min(give_up, self._clock() + ASK_AGAIN_SECONDS)
                self._sleep(_ASK_PAUSE_SECONDS)
        return self._resolve(binding)._replace(sent=sent)

    def _resolve(self, binding) -> AtMostOnceResult:
        try:
            resolved = self._transport.resolve(binding, RESOLVE_TIMEOUT_SECONDS)
        except (ConnectionLost, CallTimeout):
            return AtMostOnceResult(Outcome.UNKNOWN, "sidecar_lost")
        match resolved.state:
            case "done":
                result = resolved.result
                outcome = Outcome(result.outcome)
                return AtMostOnceResult(outcome, result.reason, result)
            case "cancelled":
                return AtMostOnceResult(Outcome.NOT_RUN, "binding_cancelled")
            case "running":
                return AtMostOnceResult(Outcome.UNKNOWN, "still_running")
            case _:
                return AtMostOnceResult(Outcome.UNKNOWN, "window_expired")

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
        """Release the key with a write of this entry, and only then say "not run"."""
        latest = binding
        try:
            for _ in range(_MAX_RELEASES):
                if latest.released and latest.own:
                    return AtMostOnceResult(Outcome.NOT_RUN, reason, None, sent)
                if latest is not binding and not latest.released:
                    break  # bound again by another entry
                latest = self._claims.release(latest)
        except ClaimsUnavailable:
            return AtMostOnceResult(Outcome.UNKNOWN, "store_unavailable", None, sent)
        if latest.done is not None:
            return AtMostOnceResult(Outcome.ANSWERED, "", latest.done, sent)
        return AtMostOnceResult(Outcome.UNKNOWN, "running_elsewhere", None, sent)
