"""Decides which part of the router serves a request, and logs how it ended.

A request is rejected here if no configuration allows it, if it has crashed the
upstreams that ran it, or if a draining router could not complete it.
"""

import random
import time
import traceback
from collections.abc import Callable

from bulrushdrum._internal.gateway.callers import CallerConnection
from bulrushdrum._internal.gateway.draining import DrainAdmission, DrainController
from bulrushdrum._internal.gateway.duration_estimates import (
    CallDurations,
    GenerationDurations,
)
from bulrushdrum._internal.gateway.error_responses import (
    failure_response,
    not_run_response,
    random_retry_after,
    rejection_response,
)
from bulrushdrum._internal.gateway.errors import CallerDisconnected
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generations import GenerationProxy
from bulrushdrum._internal.gateway.messages import Request, RequestMetadata
from bulrushdrum._internal.gateway.overload import OverloadGuard
from bulrushdrum._internal.gateway.plain_calls import PlainCallProxy
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.observability.metrics_registry import MetricsRegistry
from bulrushdrum._internal.pipelines.crash_quarantine import (
    QUARANTINE_SECONDS,
    CrashQuarantine,
    request_fingerprint,
)
from bulrushdrum._internal.pipelines.part_quarantine import PartQuarantine
from bulrushdrum._internal.platform.headers import (
    parse_request_metadata,
    request_id_header,
)
from bulrushdrum._internal.world.routes import RouterConfiguration

_RETRY_WITHOUT_CONFIGURATION_SECONDS = 1.0
# Keeps a log line short enough to be read.
_NAMES_PER_LINE = 100
# Log lines carry the end of a traceback, which names the fault.
MAX_TRACEBACK_CHARACTERS = 1500


class RequestHandler:
    """Handles the requests of all caller connections.

    `configuration()` returns the configuration in force, or None before the first one.
    `reaches_store()` and `others_accept_work()` tell whether the store answers and
    whether all other routers can complete new requests; `others_ready_in()` returns
    the seconds until they can.
    """

    def __init__(
        self,
        plain_call_proxy: PlainCallProxy,
        generation_proxy: GenerationProxy,
        drain: DrainController,
        generations: GenerationDurations,
        calls: CallDurations,
        quarantine: CrashQuarantine,
        part_quarantine: PartQuarantine,
        metrics: MetricsRegistry,
        configuration: Callable[[], RouterConfiguration | None],
        reaches_store: Callable[[], bool],
        others_accept_work: Callable[[], bool],
        others_ready_in: Callable[[], float],
        overload_guard: OverloadGuard,
        seed=None,
    ):
        self._plain_call_proxy = plain_call_proxy
        self._generation_proxy = generation_proxy
        self._drain = drain
        self._generations = generations
        self._calls = calls
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine
        self._metrics = metrics
        self._configuration = configuration
        self._reaches_store = reaches_store
        self._others_accept_work = others_accept_work
        self._others_ready_in = others_ready_in
        self._overload_guard = overload_guard
        self._random = random.Random(seed)
        self._in_progress: dict[CallerConnection, tuple[Request, RequestMetadata]] = {}

    def log_in_progress(self):
        """Log which requests are in progress when a stop begins.

        A process that is killed logs nothing of the requests which that cuts.
        """
        names = [
            metadata.request_id.decode("latin-1")
            for _, metadata in self._in_progress.values()
        ]
        for first in range(0, len(names), _NAMES_PER_LINE):
            log_event(
                Event.REQUESTS_AT_STOP, requests=names[first : first + _NAMES_PER_LINE]
            )

    def log_interrupted(self):
        """Log and count the requests that are interrupted because the router exits."""
        for connection, (request, metadata) in self._in_progress.items():
            self._metrics.increment("interrupted_by_stop")
            read_after = self._drain.seconds_since_signal(request.read_at)
            log_event(
                Event.INTERRUPTED_BY_STOP,
                request=metadata.request_id.decode("latin-1"),
                path=request.path,
                seconds=round(time.monotonic() - request.read_at, 3),
                read_after_signal=None if read_after is None else round(read_after, 3),
                reused_connection=connection.is_reused,
                response_started=connection.response_started,
                **connection.trace.details(),
            )

    def handle(self, connection, request):
        """Answer one request on the connection of its caller."""
        metadata = parse_request_metadata(request.headers)
        self._in_progress[connection] = (request, metadata)
        if self._drain.is_draining:
            connection.closing = True
        try:
            self._handle(connection, request, metadata)
        finally:
            del self._in_progress[connection]

    def _handle(self, connection, request, metadata):
        try:
            self._route_request(connection, request, metadata)
            self._record_response(connection, request, metadata)
        except CallerDisconnected:
            log_event(
                Event.CALLER_LEFT,
                request=metadata.request_id.decode("latin-1"),
                seconds=round(time.monotonic() - request.read_at, 3),
                **connection.trace.details(),
            )
            raise
        except Exception as error:
            log_event(
                Event.INTERNAL_ERROR,
                request=metadata.request_id.decode("latin-1"),
                reason=repr(error),
                traceback=traceback.format_exc()[-MAX_TRACEBACK_CHARACTERS:],
            )
            if not connection.response_started:
                connection.send(failure_response(502, "internal error"))

    def _record_response(self, connection, request, metadata):
        seconds = time.monotonic() - request.read_at
        self._metrics.increment("answers", status=str(connection.status))
        self._metrics.record("answer", seconds)
        succeeded = connection.status < 500 and not connection.is_incomplete
        trace = connection.trace
        fields = trace.summary() if succeeded else trace.details()
        log_event(
            Event.REQUEST_ANSWERED,
            request=metadata.request_id.decode("latin-1"),
            path=request.path,
            status=connection.status,
            seconds=round(seconds, 3),
            complete=not connection.is_incomplete,
            **fields,
        )

    def _route_request(self, connection, request, metadata):
        configuration = self._configuration()
        if configuration is None:
            reason = "no configuration is known yet"
            log_event(
                Event.REQUEST_REJECTED,
                request=metadata.request_id.decode("latin-1"),
                status=503,
                reason=reason,
                configuration_version=None,
                store_available=self._reaches_store(),
            )
            response = not_run_response(reason, _RETRY_WITHOUT_CONFIGURATION_SECONDS)
            connection.send(self._with_request_id(response, metadata))
            return
        route = configuration.routes.find(request.host, request.path)
        if route is None:
            self._reject(connection, metadata, 404, "no route matches")
            return
        team = None
        if configuration.teams_by_key is not None and not route.public:
            team = configuration.teams_by_key.get(metadata.api_key or "")
            if team is None:
                self._reject(connection, metadata, 401, "the key is not known")
                return
        timeout = route.timeout
        if metadata.seconds_left is not None:
            timeout = min(timeout, metadata.seconds_left)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        proxied_request = ProxiedRequest(
            request,
            metadata,
            request.read_at + timeout,
            None if team is None else team.name,
            min(max(priority, 0), 9),
            request_fingerprint(request.path, metadata.api_key, request.body),
        )
        if self._quarantine.is_quarantined(proxied_request.fingerprint):
            self._reject_quarantined(connection, proxied_request)
            return
        group = self._part_quarantine.find_group(metadata.shared_parts)
        if group:
            self._reject_crashing_parts(connection, proxied_request, group)
            return
        service_name = self._choose_service(route)
        service = configuration.services.get(service_name)
        engine = None if service is None else service.engine
        if self._is_overloaded(proxied_request, route, engine):
            self._reject_overloaded(connection, proxied_request)
        elif engine is None:
            self._run_plain_call(connection, proxied_request, route, service_name)
        else:
            self._run_generation(
                connection, proxied_request, route, service_name, engine
            )

    def _run_generation(self, connection, proxied_request, route, service_name, engine):
        metadata, trace = proxied_request.metadata, connection.trace
        size = metadata.generation
        admission = self._drain.decide_generation(size, engine.steps_per_event)
        if not self._admit(connection, metadata, admission):
            return
        complete = False
        # A resumed generation delivers only the rest of what its caller expects.
        known_size = size if metadata.resume_after is None else None
        self._generations.begin(trace, known_size, engine.steps_per_event)
        try:
            self._generation_proxy.run(
                connection, proxied_request, route, service_name, engine
            )
            complete = connection.status == 200 and not connection.is_incomplete
        finally:
            self._generations.end(trace, complete)
        if complete:
            self._quarantine.record_success(proxied_request.fingerprint)

    def _run_plain_call(self, connection, proxied_request, route, service_name):
        started_at = time.monotonic()
        timeout = proxied_request.deadline - started_at
        admission = self._drain.decide_call(timeout)
        if not self._admit(connection, proxied_request.metadata, admission):
            return
        response = self._plain_call_proxy.run(
            proxied_request, route, service_name, connection.trace
        )
        self._calls.record(time.monotonic() - started_at)
        if response.status < 500:
            self._quarantine.record_success(proxied_request.fingerprint)
        connection.send(self._with_request_id(response, proxied_request.metadata))

    def _is_overloaded(self, proxied_request, route, engine):
        seconds_left = proxied_request.deadline - time.monotonic()
        if engine is None:
            return self._overload_guard.rejects_call(seconds_left)
        return self._overload_guard.rejects_generation(route, seconds_left)

    def _reject_overloaded(self, connection, proxied_request):
        reason = "this router has more work than processor time"
        self._metrics.increment("rejected_overloaded")
        remaining = proxied_request.deadline - time.monotonic()
        retry_after = random_retry_after(remaining, self._random)
        if self._drain.is_draining:
            retry_after = self._drain.retry_after(
                self._others_accept_work(), self._others_ready_in()
            )
        response = not_run_response(reason, retry_after)
        log_event(
            Event.REQUEST_REJECTED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            status=response.status,
            reason="overloaded",
            loop_latency=round(self._overload_guard.loop_latency, 3),
        )
        connection.send(self._with_request_id(response, proxied_request.metadata))

    def _reject_quarantined(self, connection, proxied_request):
        reason = "this request has crashed the upstreams that ran it"
        log_event(
            Event.REQUEST_REJECTED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            status=503,
            reason=reason,
            fingerprint=proxied_request.fingerprint,
        )
        response = not_run_response(reason, QUARANTINE_SECONDS)
        connection.send(self._with_request_id(response, proxied_request.metadata))

    def _reject_crashing_parts(self, connection, proxied_request, group):
        reason = "upstreams crash when they answer a prompt with these parts"
        self._metrics.increment("rejected_crashing_parts")
        response = not_run_response(reason, QUARANTINE_SECONDS)
        log_event(
            Event.REQUEST_REJECTED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            status=response.status,
            reason=reason,
            parts=group,
        )
        connection.send(self._with_request_id(response, proxied_request.metadata))

    def _admit(self, connection, metadata, admission: DrainAdmission) -> bool:
        """Log what a draining router decides, and reject the request if it must."""
        if not self._drain.is_draining:
            return True
        outcome = "accepted" if admission.accepted else "rejected"
        self._metrics.increment("drain_decisions", outcome=outcome)
        if not admission.accepted:
            self._reject_while_draining(connection, metadata, admission)
            return False
        log_event(
            Event.ACCEPTED_WHILE_DRAINING,
            request=metadata.request_id.decode("latin-1"),
            reused_connection=connection.is_reused,
            others_take_work=self._others_accept_work(),
            **admission.log_fields(),
        )
        return True

    def _reject_while_draining(self, connection, metadata, admission):
        # The load balancer may send the caller to any router. If one of them does not
        # accept work, the caller should wait until this router has restarted.
        others_accept_work = self._others_accept_work()
        response = not_run_response(
            "this router stops before the answer would end",
            self._drain.retry_after(others_accept_work, self._others_ready_in()),
        )
        log_event(
            Event.REQUEST_REJECTED,
            request=metadata.request_id.decode("latin-1"),
            status=response.status,
            reason="draining",
            reused_connection=connection.is_reused,
            others_take_work=others_accept_work,
            **admission.log_fields(),
        )
        connection.send(self._with_request_id(response, metadata))

    def _reject(self, connection, metadata, status, reason):
        log_event(
            Event.REQUEST_REJECTED,
            request=metadata.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            configuration_version=self._configuration().version,
        )
        connection.send(rejection_response(status, reason))

    def _choose_service(self, route):
        if len(route.shares) == 1:
            return route.shares[0].service
        services = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._random.choices(services, weights)[0]

    def _with_request_id(self, response, metadata):
        header = request_id_header(metadata.request_id)
        if any(name == header[0] for name, _ in response.headers):
            return response
        return response._replace(headers=[*response.headers, header])
