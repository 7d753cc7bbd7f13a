"""Request admission and execution: contracts, permits, records and routing.

Every request of a known customer is recorded, including refused ones. The final record
is replicated to the partner entry before the response ends, so that delivered work
appears in reports.
"""

import time
from collections.abc import Callable
from contextlib import contextmanager

from bulrushdrum._internal.caller.completions import ChatSession, EndPart
from bulrushdrum._internal.caller.errors import CallerError, to_caller_error
from bulrushdrum._internal.caller.keyed_requests import KeyedRequest
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.limits.permits import Permits
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.observability.latency_histograms import LatencyHistograms
from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.peering.request_messages import Call, Header
from bulrushdrum._internal.records.record import RequestRecord
from bulrushdrum._internal.records.replication import RecordReplicator
from bulrushdrum._internal.routing.at_most_once import AtMostOnceExecutor
from bulrushdrum._internal.routing.bound_chat import (
    BoundChatTransport,
    ChatAnswer,
    decode_answer,
    propose_stage,
)
from bulrushdrum._internal.routing.chains import ChainPlanner
from bulrushdrum._internal.routing.claims import ClaimStore
from bulrushdrum._internal.routing.issued_keys import issue_key
from bulrushdrum._internal.routing.model_runner import ModelRunner
from bulrushdrum._internal.routing.running_requests import DeliveredToken
from bulrushdrum._internal.routing.service_calls import (
    BoundServiceTransport,
    ServiceCallRunner,
)
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.world.contracts import Contract
from bulrushdrum._internal.world.requests import (
    ChatRequest,
    Outcome,
    new_request_id,
    request_fingerprint,
)

# Shorter waits for a permit are not reported as delays.
_MIN_REPORTED_WAIT_SECONDS = 0.01
_OUTCOME_BY_RAN = {"no": Outcome.NOT_RUN, "unknown": Outcome.UNKNOWN}


class Frontend:
    """Admits, runs and records the requests that callers send to this entry."""

    def __init__(
        self,
        settings: EntrySettings,
        replica: ConfigurationReplica,
        permits: Permits,
        records: RecordReplicator,
        planner: ChainPlanner,
        runner: ModelRunner,
        calls: ServiceCallRunner,
        claims: ClaimStore,
        keys: PeeringKeys,
        metrics: LatencyHistograms,
        incarnation: str,
        check_clock: Callable[[], None],
    ):
        self._settings = settings
        self._replica = replica
        self._permits = permits
        self._records = records
        self._planner = planner
        self._runner = runner
        self._calls = calls
        self._claims = claims
        self._keys = keys
        self._metrics = metrics
        self._incarnation = incarnation
        self._check_clock = check_clock
        self._draining = False
        self._confirming = False
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        return self._in_progress

    def start_draining(self):
        self._draining = True

    def set_confirming(self, confirming: bool):
        """Refuse all requests while `confirming` is true.

        The configuration may be out of date until it has been confirmed.
        """
        self._confirming = confirming

    def not_ready_reasons(self) -> list[str]:
        reasons = []
        if self._draining:
            reasons.append("draining")
        if not self._replica.ready:
            reasons.append("configuration not read")
        if self._confirming:
            reasons.append("configuration not confirmed since a pause")
        if not self._records.has_room():
            reasons.append("record buffer full")
        return reasons

    def authenticate(self, header: str) -> Contract:
        """Return the contract that owns the API key in an `Authorization` header.

        Raises `CallerError` if there is none or the configuration is not loaded.
        """
        scheme, _, api_key = header.partition(" ")
        if not self._replica.ready:
            message = "this entry has not read its configuration yet"
            raise CallerError("not_ready", message)
        customer = None
        if scheme.lower() == "bearer" and api_key:
            customer = self._replica.customer_of_api_key(api_key.strip())
        contract = self._replica.contract(customer) if customer else None
        if contract is None:
            message = "the Authorization header has no API key of a customer"
            raise CallerError("unauthenticated", message)
        return contract

    def models(self) -> set[str]:
        return self._planner.models()

    def start_chat(
        self,
        contract: Contract,
        request: ChatRequest,
        is_caller_connected: Callable[[], bool] = lambda: True,
    ) -> ChatSession:
        """Start a chat request in its own greenlet.

        `is_caller_connected()` returns whether the caller's connection is still open.
        """
        return ChatSession(
            request,
            lambda deliver: self._run_chat(
                contract, request, deliver, is_caller_connected
            ),
            lambda: self._cancel_if_idempotent(request),
        )

    def issue_key(self, contract: Contract, service: str) -> str:
        """Return a new idempotency key bound to an upstream of the service."""
        proposal = self._calls.propose(service, frozenset())
        if proposal is None:
            message = f"service {service!r} has no upstream now"
            raise CallerError("service_not_found", message)
        return issue_key(contract.customer, proposal, self._keys)

    def call(
        self,
        contract,
        service,
        method,
        path,
        headers,
        body,
        key,
        is_caller_connected: Callable[[], bool] = lambda: True,
    ):
        """Run a call to a plain service; return the request id and `CallResult`."""
        request_id = new_request_id(self._settings.node)
        non_idempotent = contract.is_non_idempotent_call(
            service, method, path.partition("?")[0]
        )
        message = Call(
            call=request_id,
            customer=contract.customer,
            service=service,
            method=method,
            path=path,
            headers=tuple(Header(name, value) for name, value in headers),
            body=body,
            fingerprint=request_fingerprint(
                contract.customer, f"{method} {path}\n".encode() + body
            ),
            timeout_ms=int(self._settings.service_timeout * 1000),
            weight=contract.share,
            priority=contract.priority,
        )
        kind = f"{service}:{method}"
        keyed = (
            self._keyed_service_request(message, key, is_caller_connected)
            if non_idempotent and key
            else None
        )
        with self._admitted(contract, request_id, kind, keyed) as recorder:
            if service not in self._calls.services():
                text = f"service {service!r} has no upstream now"
                raise CallerError("service_not_found", text)
            if non_idempotent and not key:
                raise CallerError(
                    "idempotency_key_required",
                    f"{kind} runs at most once by contract; send an Idempotency-Key",
                )
            if keyed is None:
                result = self._calls.run(message)
            else:
                result = keyed.run(self._settings.service_timeout)
            recorder.set_usage(0, 1)
        return request_id, result

    def dump(self) -> dict:
        return {
            "in_progress": self._in_progress,
            "not_ready": self.not_ready_reasons(),
            **self._runner.dump(),
        }

    def _keyed_service_request(
        self, message: Call, key: str, is_caller_connected
    ) -> KeyedRequest:
        executor = AtMostOnceExecutor(
            self._claims,
            BoundServiceTransport(self._calls.pending, message),
            lambda excluded: self._calls.propose(message.service, excluded),
        )
        customer, fingerprint = message.customer, message.fingerprint
        return KeyedRequest(
            executor, customer, key, fingerprint, self._keys, is_caller_connected
        )

    def _cancel_if_idempotent(self, request):
        running = self._runner.running.get(request.request_id)
        if running is not None and not request.non_idempotent:
            running.cancel()

    def _run_chat(self, contract, request, deliver, is_caller_connected):
        kind = f"chat:{request.kind}"
        transport = keyed = None
        if request.non_idempotent and request.idempotency_key:
            transport = BoundChatTransport(
                self._calls.pending, self._runner, request, contract
            )
            keyed = self._keyed_chat_request(request, transport, is_caller_connected)
        with self._admitted(contract, request.request_id, kind, keyed) as recorder:
            if request.non_idempotent and not request.idempotency_key:
                raise CallerError(
                    "idempotency_key_required",
                    f"chat:{request.kind} runs at most once by contract; "
                    "send an Idempotency-Key",
                )

            def record_and_deliver(token):
                recorder.record_token()
                deliver(token)

            if not request.non_idempotent and not is_caller_connected():
                # The caller disconnected while the request waited for a permit.
                message = "the caller closed the connection before the request began"
                raise CallerError("caller_gone", message)
            if request.non_idempotent:
                answer = self._run_bound_chat(
                    request, transport, keyed, record_and_deliver
                )
            else:
                answer = self._run_idempotent_chat(
                    contract, request, record_and_deliver
                )
            prompt_tokens = len(request.prompt)
            recorder.set_usage(prompt_tokens, answer.answer_tokens, answer.attempts)
        return EndPart(
            answer.finish_reason, answer.answer_tokens, answer.chain, answer.attempts
        )

    def _run_idempotent_chat(self, contract, request, deliver) -> ChatAnswer:
        started = []
        reason = self._runner.run(request, contract, deliver, on_start=started.append)
        running = started[0]
        chain = running.attempt_summaries[-1].chain
        return ChatAnswer(
            "", reason, len(running.tokens), chain, len(running.attempt_summaries)
        )

    def _keyed_chat_request(
        self, request, transport, is_caller_connected
    ) -> KeyedRequest:
        executor = AtMostOnceExecutor(
            self._claims,
            transport,
            lambda excluded: propose_stage(
                self._planner, request, self._settings.data_centre, excluded
            ),
        )
        return KeyedRequest(
            executor,
            request.customer,
            request.idempotency_key,
            request.fingerprint,
            self._keys,
            is_caller_connected,
        )

    def _run_bound_chat(self, request, transport, keyed, deliver) -> ChatAnswer:
        transport.deliver_to(deliver)
        answer = decode_answer(keyed.run(self._settings.request_timeout))
        if not transport.delivered:
            # The key has run already; its stored answer is sent as a single part.
            deliver(DeliveredToken(len(request.prompt), 0, answer.text))
        return answer

    @contextmanager
    def _admitted(self, contract, request_id, kind, keyed=None):
        """Admit a request, hold a permit while it runs, and record its outcome.

        `keyed` is the `KeyedRequest` of a request that must run at most once. Errors
        are recorded, logged and raised as `CallerError`.
        """
        recorder = _RequestRecorder(
            contract, request_id, kind, self._incarnation, self._metrics
        )
        self._in_progress += 1
        try:
            self._check_admission()
            self._records.open(recorder.initial_record())
            permit = self._permits.acquire(
                contract.customer, request_id, self._settings.queue_timeout
            )
            recorder.record_start()
            try:
                yield recorder
            finally:
                self._permits.release(permit)
            self._records.close(recorder.final_record(Outcome.ANSWERED, ""))
        except Exception as error:
            caller_error = to_caller_error(error)
            if keyed is not None:
                caller_error = keyed.refuse(caller_error)
            outcome = _OUTCOME_BY_RAN[caller_error.ran]
            self._records.close(recorder.final_record(outcome, caller_error.code))
            event = (
                Event.REQUEST_REFUSED
                if outcome == Outcome.NOT_RUN
                else Event.REQUEST_OUTCOME_UNKNOWN
            )
            log_event(event, request=request_id, code=caller_error.code)
            caller_error.request_id = request_id
            raise caller_error from error
        finally:
            self._in_progress -= 1

    def _check_admission(self):
        if self._draining:
            raise CallerError("draining", "this entry is stopping; use another one")
        self._check_clock()
        if self._confirming:
            message = "this entry is confirming its configuration after a pause"
            raise CallerError("not_ready", message)
        if not self._records.has_room():
            message = "the record buffer is full while the object store is down"
            raise CallerError("records_full", message)
        if self._in_progress > self._settings.max_running:
            message = f"over {self._settings.max_running} requests at this entry"
            raise CallerError("overloaded", message)


class _RequestRecorder:
    """Measures one request and builds its `RequestRecord`."""

    def __init__(self, contract, request_id, kind, incarnation, metrics):
        self._metrics = metrics
        self._arrival_time = time.monotonic()
        self._last_token_time = 0.0
        self._record = RequestRecord(
            request_id=request_id,
            customer=contract.customer,
            kind=kind,
            entry=incarnation,
            arrival=time.time(),
        )

    def initial_record(self) -> RequestRecord:
        return self._record

    def record_start(self):
        wait = time.monotonic() - self._arrival_time
        cause = "concurrency" if wait > _MIN_REPORTED_WAIT_SECONDS else ""
        self._record = self._record._replace(wait=wait, wait_cause=cause)

    def record_token(self):
        now = time.monotonic()
        if not self._last_token_time:
            first = now - self._arrival_time
            self._record = self._record._replace(first_token=first)
            self._metrics.record("first_token", first)
        else:
            self._metrics.record("between_tokens", now - self._last_token_time)
        self._last_token_time = now

    def set_usage(self, prompt_tokens, answer_tokens, attempts=1):
        self._record = self._record._replace(
            prompt_tokens=prompt_tokens, answer_tokens=answer_tokens, attempts=attempts
        )

    def final_record(self, outcome, reason) -> RequestRecord:
        duration = time.monotonic() - self._arrival_time
        self._metrics.record("request", duration)
        return self._record._replace(outcome=outcome.value, reason=reason, end=duration)
