"""Calls to this sidecar's plain service, and queries about bound keys.

Calls wait in a fair queue, ordered by priority and then by the customers' shares. A
call with a bound key runs at most once in this incarnation: later calls with the same
key join it.
"""

import time
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.limits.fair_queue import FairQueue
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.request_messages import Call, CallResult, Resolve
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import log_internal_error
from bulrushdrum._internal.sidecar.bindings import BindingTable, Join, Refuse, Run
from bulrushdrum._internal.sidecar.service_client import ServiceClient
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.requests import Outcome


@dataclass(eq=False)
class _QueuedCall:
    """A queued or running call; `deadline` is a monotonic time."""

    call: Call
    deadline: float
    started: bool = False
    result: AsyncResult = field(default_factory=AsyncResult)


def _not_run_result(reason):
    return CallResult(outcome=Outcome.NOT_RUN.value, reason=reason)


class ServiceCalls:
    """Runs calls from entries on the plain service."""

    def __init__(
        self,
        hub: PeerHub,
        settings: SidecarSettings,
        status: UpstreamStatus,
        bindings: BindingTable,
    ):
        self._hub = hub
        self._settings = settings
        self._status = status
        self._bindings = bindings
        self._client = ServiceClient(settings)
        self._queue = FairQueue(settings.service_queue_limit)
        self._running = 0
        self._unsent_results = 0
        self._outcome_counts = {outcome.value: 0 for outcome in Outcome}
        hub.register(Call, self._handle_call)
        hub.register(Resolve, self._handle_resolve)

    @property
    def outstanding(self) -> int:
        """The number of running and queued calls."""
        return self._running + len(self._queue)

    @property
    def unsent_results(self) -> int:
        """The number of calls whose result is not yet queued for its entry.

        A call that has run stays here until its greenlet has had its turn.
        """
        return self._unsent_results

    @property
    def waiting(self) -> int:
        """The number of queued calls."""
        return len(self._queue)

    def dump(self) -> dict:
        return {
            "running": self._running,
            "waiting": len(self._queue),
            "outcomes": dict(self._outcome_counts),
        }

    def _handle_call(self, connection: PeerConnection, call: Call):
        refusal = self._refusal_reason(call)
        if not call.binding_key:
            if refusal:
                self._send_result(connection, call, _not_run_result(refusal))
            else:
                timeout = call.timeout_ms / 1000
                queued = self._enqueue(call, timeout)
                self._spawn_sender(self._send_result_when_done, connection, queued)
            return
        decision = self._bindings.admit(
            call.customer,
            call.binding_key,
            call.window,
            call.generation,
            call.fingerprint,
            refuse_new=refusal,
        )
        match decision:
            case Run():
                # Later calls may join this run, so it may outlast its first caller.
                timeout = max(call.timeout_ms / 1000, self._settings.bound_call_timeout)
                queued = self._enqueue(call, timeout)
                self._spawn_sender(self._send_result_when_done, connection, queued)
            case Join():
                self._spawn_sender(self._send_joined_result, connection, call, decision)
            case Refuse(reason, outcome):
                self._send_result(
                    connection,
                    call,
                    CallResult(outcome=outcome.value, reason=str(reason)),
                )

    def _refusal_reason(self, call):
        if self._settings.kind != "service" or call.service != self._settings.service:
            return f"service {call.service!r} is not here"
        if not call.weight > 0 or call.timeout_ms < 1:
            return f"malformed call: weight {call.weight}, {call.timeout_ms} ms"
        if len(self._queue) >= self._settings.service_queue_limit:
            return "upstream_full"
        return self._status.refusal_reason()

    def _enqueue(self, call, timeout):
        queued = _QueuedCall(call, time.monotonic() + timeout)
        self._queue.push(queued, call.customer, call.weight, call.priority, 1.0)
        if self._running < self._settings.service_concurrency:
            self._running += 1
            gevent.spawn(self._run_queued_calls)
        return queued

    def _run_queued_calls(self):
        """Run queued calls one after the other until the queue is empty."""
        try:
            while len(self._queue):
                queued = self._queue.pop()
                result = self._run(queued)
                self._outcome_counts[result.outcome] += 1
                if queued.call.binding_key:
                    self._bindings.finish(
                        queued.call.customer, queued.call.binding_key, result
                    )
                queued.result.set(result)
        finally:
            self._running -= 1

    def _run(self, queued):
        remaining = queued.deadline - time.monotonic()
        if remaining <= 0:
            return _not_run_result("deadline_exceeded")
        queued.started = True
        try:
            return self._client.run(queued.call, remaining)
        except Exception as error:
            # Without a result, the key of a bound call would stay "running" forever.
            log_internal_error("service call", error)
            return CallResult(outcome=Outcome.UNKNOWN.value, reason="internal error")

    def _spawn_sender(self, send, *arguments):
        self._unsent_results += 1
        gevent.spawn(self._send_and_count, send, *arguments)

    def _send_and_count(self, send, *arguments):
        try:
            send(*arguments)
        finally:
            self._unsent_results -= 1

    def _send_result_when_done(self, connection, queued):
        call = queued.call
        try:
            result = queued.result.get(timeout=call.timeout_ms / 1000)
        except gevent.Timeout:
            if queued.started or call.binding_key:
                outcome = Outcome.UNKNOWN.value
                result = CallResult(outcome=outcome, reason="still_running")
            else:
                queued.deadline = 0.0  # `_run` skips it
                result = _not_run_result("deadline_exceeded")
        self._send_result(connection, call, result)

    def _send_joined_result(self, connection, call, joined):
        result = joined.wait(call.timeout_ms / 1000)
        if result is None:
            result = CallResult(outcome=Outcome.UNKNOWN.value, reason="still_running")
        self._send_result(connection, call, result)

    def _handle_resolve(self, connection: PeerConnection, message: Resolve):
        resolved = self._bindings.resolve(
            message.customer,
            message.binding_key,
            message.window,
            message.generation,
        )
        self._send(connection, resolved._replace(call=message.call))

    def _send_result(self, connection, call, result):
        self._send(connection, result._replace(call=call.call))

    def _send(self, connection, message):
        # The entry may have reconnected while the call ran.
        current = self._hub.connection_to(connection.peer.incarnation) or connection
        try:
            current.send(message)
        except ConnectionLost:
            pass  # the entry is lost; bound results are kept for another entry to fetch
