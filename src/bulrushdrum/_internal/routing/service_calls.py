"""Calls to plain services: selection of the upstream, and retries.

A call is retried on another upstream only if its method is idempotent, or if the
sidecar reported that the call did not reach its upstream. Calls with a binding are sent
only to the bound sidecar, by `routing.at_most_once`.
"""

import random
import secrets

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.request_messages import (
    Call,
    CallResult,
    Resolve,
    Resolved,
)
from bulrushdrum._internal.routing.claims import Binding, BindingProposal
from bulrushdrum._internal.routing.errors import (
    CallTimeout,
    NotSent,
    RequestNotRun,
    RequestOutcomeUnknown,
)
from bulrushdrum._internal.routing.membership import Membership, Upstream
from bulrushdrum._internal.routing.pending_calls import PendingCalls
from bulrushdrum._internal.routing.retries import RetryBudget

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
MAX_ATTEMPTS = 4
# A call counts as this many tokens of the retry budget, about what repeating it costs.
CALL_COST_TOKENS = 100
# Added to the call's timeout, so that the sidecar can report its own timeout first.
ANSWER_GRACE_SECONDS = 1.0


class ServiceCallRunner:
    """Sends calls to the sidecars of plain services and waits for their results."""

    def __init__(self, membership: Membership, budget: RetryBudget, seed: int):
        self._membership = membership
        self._budget = budget
        self._random = random.Random(seed or None)
        self._pending = PendingCalls(membership.hub)

    @property
    def pending(self) -> PendingCalls:
        return self._pending

    def services(self) -> set[str]:
        """Return the names of the services that have a serving upstream."""
        serving = (u for u in self._membership.upstreams() if u.serving)
        return {u.description.service for u in serving} - {""}

    def choose(self, service: str, excluded: frozenset[str]) -> Upstream | None:
        """Return the less loaded of two random serving upstreams of the service.

        Upstreams whose incarnation is in `excluded` are left out.
        """
        serving = [
            upstream
            for upstream in self._membership.upstreams()
            if upstream.serving
            and upstream.description.service == service
            and upstream.incarnation not in excluded
        ]
        if not serving:
            return None
        pair = self._random.sample(serving, min(2, len(serving)))
        return min(pair, key=lambda u: u.assigned_requests)

    def propose(self, service: str, excluded: frozenset[str]) -> BindingProposal | None:
        """Propose a sidecar to which a key of the service can be bound."""
        upstream = self.choose(service, excluded)
        return upstream and BindingProposal(
            upstream.id, upstream.incarnation, upstream.window
        )

    def run(self, call: Call) -> CallResult:
        """Run a call without a binding.

        Raises `RequestNotRun` or `RequestOutcomeUnknown`.
        """
        excluded: set[str] = set()
        may_have_run = False
        reason = "no upstream serves it now"
        for attempt in range(MAX_ATTEMPTS):
            upstream = self.choose(call.service, frozenset(excluded))
            if upstream is None:
                break
            if attempt and not self._budget.try_spend(CALL_COST_TOKENS):
                reason = "the retry budget is used up"
                break
            self._budget.record_tokens(CALL_COST_TOKENS)
            result = self._send(upstream, call._replace(call=f"{call.call}.{attempt}"))
            if result.outcome == "answered":
                return result
            reason = result.reason
            excluded.add(upstream.incarnation)
            if result.outcome == "unknown":
                may_have_run = True
                if call.method not in IDEMPOTENT_METHODS:
                    break
        message = f"service {call.service!r}: {reason}"
        if may_have_run:
            raise RequestOutcomeUnknown("upstream_failed", message)
        raise RequestNotRun("upstream_unavailable", message)

    def _send(self, upstream, call):
        timeout = call.timeout_ms / 1000 + ANSWER_GRACE_SECONDS
        upstream.assign(0)
        try:
            return self._pending.send(upstream.incarnation, call, timeout)
        except NotSent as error:
            return CallResult(call.call, "not_run", reason=str(error))
        except (ConnectionLost, CallTimeout) as error:
            return CallResult(call.call, "unknown", reason=str(error))
        finally:
            upstream.unassign(0)


class BoundServiceTransport:
    """Sends one non-idempotent call to its bound sidecar.

    See `routing.at_most_once.BoundTransport`.
    """

    def __init__(self, pending: PendingCalls, call: Call):
        self._pending = pending
        self._call = call

    def send(self, binding: Binding, timeout: float) -> CallResult:
        message = self._call._replace(
            # A new id for each message, so that late answers to an earlier one are
            # ignored.
            call=f"{self._call.call}.{secrets.token_hex(4)}",
            binding_key=binding.key,
            window=binding.window,
            generation=binding.generation,
            timeout_ms=int(timeout * 1000),
        )
        return self._pending.send(binding.incarnation, message, timeout)

    def resolve(self, binding: Binding, timeout: float) -> Resolved:
        return resolve_binding(self._pending, binding, timeout)


def resolve_binding(
    pending: PendingCalls, binding: Binding, timeout: float
) -> Resolved:
    """Ask the bound sidecar for the state of a key; cancels it if it has not run."""
    message = Resolve(
        call=f"resolve.{secrets.token_hex(8)}",
        customer=binding.customer,
        binding_key=binding.key,
        window=binding.window,
        generation=binding.generation,
    )
    return pending.send(binding.incarnation, message, timeout)
