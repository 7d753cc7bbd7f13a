"""Calls to the plain service beside this sidecar, and questions about bound keys.

Calls wait in a fair queue, by priority and then by the customers' shares. A call with a
bound key runs at most once in this incarnation: later calls with the same key join it.
"""

import time
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.limits.fair_queue import FairQueue
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import Call, CallResult, Resolve
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import log_internal_error
from bulrushdrum._internal.sidecar.bindings import BindingTable, Join, Refuse, Run
from bulrushdrum._internal.sidecar.service_client import ServiceClient
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.requests import Outcome


@dataclass(eq=False)
class _Job:
    """A call that waits or runs; `deadline` is on the monotonic clock."""

    call: Call
    deadline: float
    started: bool = False
    result: AsyncResult = field(default_factory=AsyncResult)


def _not_run(reason):
    return CallResult(outcome=Outcome.NOT_RUN.value, reason=reason)


class ServiceCalls:
    """Runs the calls of entries on the plain service."""

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
        self._counts = {outcome.value: 0 for outcome in Outcome}
        hub.register(Call, self._on_call)
        hub.register(Resolve, self._on_resolve)

    @property
    def running(self) -> int:
        """Calls that run or wait."""
        return self._running + len(self._queue)

    @property
    def waiting(self) -> int:
        return len(self._queue)

    def dump(self) -> dict:
        return {
            "running": self._running,
            "waiting": len(self._queue),
            "outcomes": dict(self._counts),
        }

    def _on_call(self, connection: PeerConnection, call: Call):
        refusal = self._refusal(call)
        if not call.binding_key:
            if refusal:
                self._answer(connection, call, _not_run(refusal))
            else:
                timeout = call.timeout_ms / 1000
                job = self._enqueue(call, timeout)
                gevent.spawn(self._answer_when_done, connection, job)
            return
        admitted = self._bindings.admit(
            call.customer,
            call.binding_key,
            call.window,
            call.generation,
            call.fingerprint,
            refuse_new=refusal,
        )
        match admitted:
            case Run():
                # The result is kept for later callers, so the run may outlast this one.
                timeout = max(call.timeout_ms / 1000, self._settings.bound_call_timeout)
                job = self._enqueue(call, timeout)
                gevent.spawn(self._answer_when_done, connection, job)
            case Join():
                gevent.spawn(self._answer_joined, connection, call, admitted)
            case Refuse(reason, outcome):
                self._answer(
                    connection,
                    call,
                    CallResult(outcome=outcome.value, reason=str(reason)),
                )

    def _refusal(self, call):
        if self._settings.kind != "service" or call.service != self._settings.service:
            return f"service {call.service!r} is not here"
        if not call.weight > 0 or call.timeout_ms < 1:
            return f"malformed call: weight {call.weight}, {call.timeout_ms} ms"
        if len(self._queue) >= self._settings.service_queue_limit:
            return "upstream_full"
        return self._status.refusal()

    def _enqueue(self, call, timeout):
        job = _Job(call, time.monotonic() + timeout)
        self._queue.push(job, call.customer, call.weight, call.priority, 1.0)
        if self._running < self._settings.service_concurrency:
            self._running += 1
            gevent.spawn(self._run_waiting)
        return job

    def _run_waiting(self):
        """Run waiting calls one after the other until there are none."""
        try:
            while len(self._queue):
                job = self._queue.pop()
                result = self._run(job)
                self._counts[result.outcome] += 1
                if job.call.binding_key:
                    self._bindings.finish(
                        job.call.customer, job.call.binding_key, result
                    )
                job.result.set(result)
        finally:
            self._running -= 1

    def _run(self, job):
        left = job.deadline - time.monotonic()
        if left <= 0:
            return _not_run("deadline_exceeded")
        job.started = True
        try:
            return self._client.run(job.call, left)
        except Exception as error:
            # The key of a bound call would stay "running" for ever.
            log_internal_error("service call", error)
            return CallResult(outcome=Outcome.UNKNOWN.value, reason="internal error")

    def _answer_when_done(self, connection, job):
        call = job.call
        try:
            answer = job.result.get(timeout=call.timeout_ms / 1000)
        except gevent.Timeout:
            if job.started or call.binding_key:
                outcome = Outcome.UNKNOWN.value
                answer = CallResult(outcome=outcome, reason="still_running")
            else:
                job.deadline = 0.0  # it will not run when its turn comes
                answer = _not_run("deadline_exceeded")
        self._answer(connection, call, answer)

    def _answer_joined(self, connection, call, joined):
        answer = joined.wait(call.timeout_ms / 1000)
        if answer is None:
            answer = CallResult(outcome=Outcome.UNKNOWN.value, reason="still_running")
        self._answer(connection, call, answer)

    def _on_resolve(self, connection: PeerConnection, question: Resolve):
        answer = self._bindings.resolve(
            question.customer,
            question.binding_key,
            question.window,
            question.generation,
        )
        self._send(connection, answer._replace(call=question.call))

    def _answer(self, connection, call, result):
        self._send(connection, result._replace(call=call.call))

    def _send(self, connection, message):
        # The entry may have dialled again while the call ran.
        current = self._hub.connection_to(connection.peer.incarnation) or connection
        try:
            current.send(message)
        except ConnectionLost:
            pass  # the entry is gone; bound results stay for its successor
