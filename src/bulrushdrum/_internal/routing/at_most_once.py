"""At-most-once execution of non-idempotent requests.

`AtMostOnceExecutor.run` finds or creates the binding of an idempotency key, sends the
request to the bound sidecar, and resends it to the same sidecar when the connection is
lost. It binds the key to another sidecar only after the first one has cancelled it.

The outcome covers the key, that is, every request the caller has made with it:

- `ANSWERED`: the key ran, and this is its result.
- `NOT_RUN`: no request has run the key, and no request in progress will. An entry
  returns it only after its own write has released the row, which invalidates the
  pending writes of entries that were paused after they read the old row. A later
  request with the same key may run.
- `UNKNOWN`: the key may have run. `sent` is false if this request cannot have run it; a
  caller that used the key only once can then treat the request as not run.

The transport is a parameter, so that service calls and model requests share this
procedure. A sidecar must return `not_run` only on the decision of its `BindingTable`;
the one exception is `key_reused`.
"""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.request_messages import CallResult, Resolved
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
# Longer than it takes to detect a lost peer (three missed heartbeats) and reconnect.
RESEND_PERIOD_SECONDS = 5.0
_RESEND_DELAY_SECONDS = 0.1
RESOLVE_TIMEOUT_SECONDS = 1.0
MAX_REBINDS = 3
# More are needed only if several entries release the same key concurrently.
_MAX_RELEASE_ATTEMPTS = 4


class BoundTransport(Protocol):
    """Transport to a bound sidecar. Both methods block the greenlet.

    They raise `NotSent`, another `ConnectionLost`, or `CallTimeout` after `timeout`
    seconds. `send` may be called repeatedly with the same binding.
    """

    def send(self, binding: Binding, timeout: float) -> CallResult: ...

    def resolve(self, binding: Binding, timeout: float) -> Resolved: ...


class AtMostOnceResult(NamedTuple):
    """Outcome of a request. `result` is set when `outcome` is ANSWERED.

    `sent` is true if this request may have reached a sidecar.
    """

    outcome: Outcome
    reason: str = ""
    result: CallResult | None = None
    sent: bool = False


class AtMostOnceExecutor:
    """Binds idempotency keys to sidecars and runs each key at most once.

    `choose(excluded)` returns a proposal for an incarnation that is not excluded, or
    None if there is none. `clock` returns monotonic seconds.
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
        """Run the request within `timeout` seconds and return its outcome.

        `issued` is the binding from an issued key. `caller_waits()` returns whether the
        caller is still connected: once the caller has disconnected, a released key is
        not bound again, because the caller may have received `NOT_RUN` for it. The last
        `RESOLVE_TIMEOUT_SECONDS` are reserved for resolving an unanswered call.
        """
        deadline = self._clock() + max(0.0, timeout - RESOLVE_TIMEOUT_SECONDS)
        if issued is not None:
            binding = issued._replace(fingerprint=fingerprint)
            return self._run_bound(binding, deadline, caller_waits)
        proposal = self._choose(frozenset())
        binding, failure = self._bind(customer, key, fingerprint, proposal)
        if failure is not None:
            return failure
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
        """End a request that is refused before it is sent, for example by a limit.

        An earlier request with the key may have run, or may still run. The key is
        therefore released or, if it was issued, cancelled at its sidecar. If neither is
        possible, the outcome is UNKNOWN.
        """
        if issued is not None:
            resolved = self._resolve(issued)
            if resolved.outcome is Outcome.ANSWERED:
                return resolved
            return resolved._replace(reason=reason)
        binding, failure = self._bind(customer, key, fingerprint, None)
        if failure is not None:
            return failure
        if binding.stored_result is not None:
            return AtMostOnceResult(Outcome.ANSWERED, "", binding.stored_result)
        if not binding.released:
            return AtMostOnceResult(Outcome.UNKNOWN, reason)
        return self._release(binding, reason, False)

    def _bind(self, customer, key, fingerprint, proposal):
        """Return the current binding and None, or None and the result of a failure."""
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
        may_rebind = not binding.released or caller_waits()
        for rebinds_left in range(MAX_REBINDS, -1, -1):
            if binding.stored_result is not None:
                return AtMostOnceResult(
                    Outcome.ANSWERED, "", binding.stored_result, sent
                )
            if not binding.released:
                result = self._send_or_resolve(binding, deadline)
                sent = sent or result.sent
                result = result._replace(sent=sent)
                if result.outcome is not Outcome.NOT_RUN:
                    return self._reconcile_with_row(binding, result)
                if binding.version == 0 or result.reason == KEY_REUSED:
                    return result
                reason = result.reason
                excluded.add(binding.incarnation)
            # Here the binding is either cancelled by its sidecar or released.
            if not may_rebind or rebinds_left == 0:
                break
            rebound = self._rebind(binding, excluded, deadline)
            if rebound is None:
                break
            binding = rebound
            # If another entry released the key meanwhile, it may have returned
            # NOT_RUN to the caller.
            may_rebind = not rebound.released
        return self._release(binding, reason, sent)

    def _send_or_resolve(self, binding, deadline) -> AtMostOnceResult:
        """Send the request, resend it on connection loss, and finally resolve the key.

        Resending stops at `deadline` or `RESEND_PERIOD_SECONDS` after the first loss.
        """
        resend_until, sent = deadline, False
        while (left := deadline - self._clock()) > 0 and self._clock() < resend_until:
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
                resend_until = min(resend_until, self._clock() + RESEND_PERIOD_SECONDS)
                self._sleep(_RESEND_DELAY_SECONDS)
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

    def _reconcile_with_row(self, binding, result):
        """Queue an answer for the claim row, or replace an unknown outcome from it."""
        if result.outcome is Outcome.ANSWERED:
            self._claims.queue_result(binding, result.result)
            return result
        try:
            latest = self._claims.find(binding.customer, binding.key)
        except ClaimsUnavailable:
            return result
        if latest is not None and latest.fingerprint != binding.fingerprint:
            return result._replace(outcome=Outcome.NOT_RUN, reason=KEY_REUSED)
        if latest is not None and latest.stored_result is not None:
            return result._replace(
                outcome=Outcome.ANSWERED, reason="", result=latest.stored_result
            )
        return result

    def _rebind(self, binding, excluded, deadline):
        """Bind the key to another sidecar and return the current binding.

        Returns None if the deadline has passed, no sidecar is left, or the table is
        unavailable.
        """
        if self._clock() >= deadline:
            return None
        proposal = self._choose(frozenset(excluded))
        if proposal is None:
            return None
        try:
            rebound = self._claims.rebind(binding, proposal)
        except ClaimsUnavailable:
            return None
        log_event(
            Event.BINDING_MOVED,
            customer=binding.customer,
            source=binding.upstream,
            target=rebound.upstream,
            generation=rebound.generation,
        )
        return rebound

    def _release(self, binding, reason, sent):
        """Release the key, and return NOT_RUN only if this entry wrote the release."""
        latest = binding
        try:
            for _ in range(_MAX_RELEASE_ATTEMPTS):
                if latest.released and latest.wrote_row:
                    return AtMostOnceResult(Outcome.NOT_RUN, reason, None, sent)
                if latest is not binding and not latest.released:
                    break  # bound again by another entry
                latest = self._claims.release(latest)
        except ClaimsUnavailable:
            return AtMostOnceResult(Outcome.UNKNOWN, "store_unavailable", None, sent)
        if latest.stored_result is not None:
            return AtMostOnceResult(Outcome.ANSWERED, "", latest.stored_result, sent)
        return AtMostOnceResult(Outcome.UNKNOWN, "running_elsewhere", None, sent)
