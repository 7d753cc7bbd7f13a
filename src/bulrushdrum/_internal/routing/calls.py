"""Calls to plain services: which upstream gets a call, and when it may be repeated.

A call is repeated on another upstream only if its method is idempotent, or if the
sidecar said that the call did not reach its upstream. Calls with a binding go to the
bound sidecar alone; `routing.once` drives them.
"""

import random
import time

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.messages import Call, CallResult, Resolve, Resolved
from bulrushdrum._internal.routing.errors import RequestNotRun, RequestOutcomeUnknown
from bulrushdrum._internal.routing.membership import Membership, Upstream
from bulrushdrum._internal.routing.retries import RetryBudget

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
MAX_ATTEMPTS = 4
# A repeated call costs about as much as this many tokens of the retry budget.
CALL_COST_TOKENS = 100
# Time for the sidecar's own timeout to answer before this entry gives up.
_GRACE_SECONDS = 1.0


class CallRunner:
    """Sends calls to the sidecars of plain services and waits for their results."""

    def __init__(self, membership: Membership, budget: RetryBudget, seed: int):
        self._membership = membership
        self._budget = budget
        self._random = random.Random(seed or None)
        self._waiting: dict[str, tuple[str, AsyncResult]] = {}
        hub = membership.hub
        hub.register(CallResult, self._handle_answer)
        hub.register(Resolved, self._handle_answer)
        membership.on_upstream_lost(self._handle_lost)

    def services(self) -> set[str]:
        """Return the names of the services that have a serving upstream."""
        serving = (u for u in self._membership.upstreams() if u.serving)
        return {u.description.service for u in serving} - {""}

    def choose(self, service: str, avoid: set[str]) -> Upstream | None:
        """Return a serving upstream of the service, the less loaded of two drawn."""
        serving = [
            upstream
            for upstream in self._membership.upstreams()
            if upstream.serving and upstream.description.service == service
        ]
        preferred = [u for u in serving if u.incarnation not in avoid] or serving
        if not preferred:
            return None
        pair = self._random.sample(preferred, min(2, len(preferred)))
        return min(pair, key=lambda u: u.assigned_requests)

    def run(self, call: Call) -> CallResult:
        """Run a call without a binding.

        Raises `RequestNotRun` or `RequestOutcomeUnknown`.
        """
        avoid: set[str] = set()
        may_have_run = False
        reason = "no upstream serves it now"
        for attempt in range(MAX_ATTEMPTS):
            upstream = self.choose(call.service, avoid)
            if upstream is None:
                break
            if attempt and not self._budget.try_spend(CALL_COST_TOKENS):
                reason = "the retry budget is used up"
                break
            self._budget.record_tokens(CALL_COST_TOKENS)
            result = self.send(upstream, call._replace(call=f"{call.call}.{attempt}"))
            if result.outcome == "answered":
                return result
            reason = result.reason
            avoid.add(upstream.incarnation)
            if result.outcome == "unknown":
                may_have_run = True
                if call.method not in IDEMPOTENT_METHODS:
                    break
        message = f"service {call.service!r}: {reason}"
        if may_have_run:
            raise RequestOutcomeUnknown("upstream_failed", message)
        raise RequestNotRun("upstream_unavailable", message)

    def send(
        self, upstream: Upstream, message: Call | Resolve
    ) -> CallResult | Resolved:
        """Send one message to a sidecar and return its answer.

        A lost connection or a missing answer gives `CallResult(outcome="unknown")`, or
        `Resolved(state="unknown")`; a message that was never handed to the connection
        gives "not_run".
        """
        answer = AsyncResult()
        self._waiting[message.call] = (upstream.incarnation, answer)
        timeout = getattr(message, "timeout_ms", 0) / 1000 + _GRACE_SECONDS
        upstream.assign(0)
        try:
            upstream.connection.send(message)
            return answer.get(timeout=timeout)
        except ConnectionLost as error:
            return self._failed(message, "not_run", str(error))
        except Timeout:
            return self._failed(message, "unknown", f"no answer in {timeout:.1f} s")
        finally:
            upstream.unassign(0)
            self._waiting.pop(message.call, None)

    def dump(self) -> dict:
        return {"waiting": list(self._waiting), "time": time.time()}

    def _failed(self, message, outcome, reason):
        if isinstance(message, Resolve):
            return Resolved(message.call, "unknown")
        return CallResult(message.call, outcome, reason=reason)

    def _handle_answer(self, connection, answer):
        waiting = self._waiting.get(answer.call)
        if waiting is not None and waiting[0] == connection.peer.incarnation:
            waiting[1].set(answer)

    def _handle_lost(self, upstream):
        for call, (incarnation, answer) in list(self._waiting.items()):
            if incarnation == upstream.incarnation:
                reason = "the connection to the sidecar was lost"
                answer.set(CallResult(call, "unknown", reason=reason))
