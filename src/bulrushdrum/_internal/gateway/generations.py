"""Proxies generations: event streams produced by a path of upstreams.

A generation is sent to the first upstream of its path, with the path in a header. Its
events are forwarded as they arrive. If the path fails, a resumable generation continues
after its last event on another path, within the same response.
"""

import random
import time
from collections.abc import Callable
from enum import StrEnum

import gevent

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.gateway.attempt_failures import (
    AttemptFailures,
    PathRefusal,
    describe_path,
)
from bulrushdrum._internal.gateway.callers import CallerConnection
from bulrushdrum._internal.gateway.crash_evidence import CrashEvidence
from bulrushdrum._internal.gateway.error_responses import (
    failure_response,
    not_run_response,
    random_retry_after,
)
from bulrushdrum._internal.gateway.errors import (
    ConnectionRefused,
    DeadlinePassed,
    UpstreamError,
    UpstreamFailed,
    UpstreamRestarted,
)
from bulrushdrum._internal.gateway.events_stream import EventSplitter
from bulrushdrum._internal.gateway.exchange import (
    ProxiedRequest,
    receive_body,
    send_request,
    validate_response_head,
)
from bulrushdrum._internal.gateway.generation_progress import (
    GenerationProgress,
    estimate_demand,
)
from bulrushdrum._internal.gateway.messages import (
    ForwardingMetadata,
    Response,
    end_to_end,
)
from bulrushdrum._internal.gateway.path_waiting import PathWaiter, describe_refusal
from bulrushdrum._internal.gateway.statement_recorder import StatementRecorder
from bulrushdrum._internal.gateway.stream_moves import StreamMover
from bulrushdrum._internal.gateway.stream_watch import StreamWatch, caller_timeout
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.errors import PipelineError
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.part_quarantine import QUARANTINE_SECONDS
from bulrushdrum._internal.platform.headers import strip_signature
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Route

# An error response must arrive within this time.
_ERROR_BODY_SECONDS = 1.0
# More refusals end a request that has delivered nothing. A stream that has begun asks
# on, within the limit on retries, while its caller waits for the next event.
_MAX_REFUSALS = 3
_QUARANTINE_REASON = "upstreams crash when they run this request"


class RetryRefusal(StrEnum):
    """Why a generation is not sent again; the values are those that the log records."""

    DEADLINE = "the deadline passed"
    NOT_RETRYABLE = "its route may not be retried"
    NOT_RESUMABLE = "its last event has no id"
    QUARANTINED = "it is quarantined"
    MAX_ATTEMPTS = "its route allows no more attempts"
    MAX_REFUSALS = "it was refused too often"
    CALLER_LEFT = "its caller no longer waits"
    RETRY_LIMIT = "the limit on retries is used up"


class GenerationProxy:
    """Runs generations; `detect_stall(hops)` marks the stalled upstreams of a path.

    `seconds_since_signal()` returns the time since SIGTERM, or None without one.
    """

    def __init__(
        self,
        fleet: Fleet,
        reservations: MemoryReservations,
        path_waiter: PathWaiter,
        pool: ConnectionPool,
        budget: RetryWindow,
        count_routers: Callable[[], int],
        detect_stall,
        crash_evidence: CrashEvidence,
        statements: StatementRecorder,
        mover: StreamMover,
        conditions: ConditionExchange,
        seconds_since_signal: Callable[[], float | None] = lambda: None,
        seed=None,
    ):
        self._mover = mover
        self._seconds_since_signal = seconds_since_signal
        self._conditions = conditions
        self._fleet = fleet
        self._reservations = reservations
        self._path_waiter = path_waiter
        self._pool = pool
        self._budget = budget
        self._count_routers = count_routers
        self._detect_stall = detect_stall
        self._crash_evidence = crash_evidence
        self._failures = AttemptFailures(
            fleet, pool, crash_evidence, detect_stall, conditions
        )
        self._statements = statements
        self._random = random.Random(seed)

    def run(
        self,
        connection: CallerConnection,
        proxied_request: ProxiedRequest,
        route: Route,
        service: str,
        model: EngineModel,
    ):
        """Run a generation and send its response to the caller."""
        self._budget.record_request(service)
        connection.trace.begin(
            proxied_request.deadline, proxied_request.metadata.generation
        )
        progress = GenerationProgress(proxied_request.metadata.resume_after)
        demand = estimate_demand(proxied_request, model)
        while True:
            is_retry = progress.attempts + progress.refusals > 0
            refusal = is_retry and self._refuse_retry(
                proxied_request, route, service, progress
            )
            if refusal:
                self._fail_generation(
                    connection,
                    proxied_request,
                    progress,
                    "no attempt is left",
                    cause=refusal,
                )
                return
            try:
                path = self._path_waiter.wait_for_path(
                    proxied_request, route, service, model, demand, progress
                )
            except PipelineError as error:
                self._fail_generation(
                    connection, proxied_request, progress, describe_refusal(error)
                )
                return
            if self._crash_evidence.is_quarantined(proxied_request):
                self._fail_generation(
                    connection, proxied_request, progress, _QUARANTINE_REASON
                )
                return
            reservation = self._reservations.reserve(path, demand.tokens)
            try:
                can_retry = self._can_retry_elsewhere(route, progress)
                with self._mover.watch(
                    proxied_request,
                    route,
                    service,
                    model,
                    demand,
                    path,
                    progress,
                    can_retry,
                ) as watched:
                    outcome = self._attempt(
                        connection, proxied_request, route, path, progress, watched
                    )
            except UpstreamFailed as error:
                self._failures.record_failure(proxied_request, path, error, progress)
                if isinstance(error, DeadlinePassed):
                    progress.attempts += 1
                    self._fail_generation(
                        connection, proxied_request, progress, str(error), status=504
                    )
                    return
                if isinstance(error, ConnectionRefused):
                    continue
                progress.retry_costs.sent += 1
                if error.may_have_run:
                    progress.attempts += 1
                else:
                    progress.refusals += 1
                continue
            finally:
                self._reservations.release(reservation)
                self._path_waiter.notify()
            if outcome is None:
                return
            progress.retry_costs.sent += 1
            progress.refusals += 1
            self._failures.record_refusal(proxied_request, path, outcome, progress)

    def _refuse_retry(
        self, proxied_request, route, service, progress
    ) -> RetryRefusal | None:
        """Return why a generation may not be sent again, or None; count the retry."""
        if time.monotonic() >= proxied_request.deadline:
            return RetryRefusal.DEADLINE
        if progress.attempts and not route.is_retryable:
            return RetryRefusal.NOT_RETRYABLE
        if progress.attempts and not progress.can_resume:
            return RetryRefusal.NOT_RESUMABLE
        if self._crash_evidence.is_quarantined(proxied_request):
            return RetryRefusal.QUARANTINED
        if progress.attempts >= route.max_attempts:
            return RetryRefusal.MAX_ATTEMPTS
        if progress.refusals > _MAX_REFUSALS and not progress.started:
            return RetryRefusal.MAX_REFUSALS
        if progress.refusals and progress.has_caller_left(caller_timeout(route)):
            return RetryRefusal.CALLER_LEFT
        if self._budget.wait_to_count(
            progress.retry_costs,
            service,
            self._count_routers(),
            has_delivered=progress.started,
            arrived_at=proxied_request.request.read_at,
        ):
            return None
        log_event(
            Event.RETRY_NOT_ALLOWED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            service=service,
        )
        return RetryRefusal.RETRY_LIMIT

    def _attempt(self, connection, proxied_request, route, path, progress, watched):
        """Forward the stream of `path`; return None at its end, or a `PathRefusal`."""
        forwarding = ForwardingMetadata(
            path[0].upstream.id,
            proxied_request.deadline - time.monotonic(),
            proxied_request.team,
            path,
            progress.last_id,
            proxied_request.priority,
        )
        progress.attempt_events, progress.sent_at = 0, time.monotonic()
        connection.trace.record_attempt(describe_path(path), path[0].upstream.id)
        pending = send_request(self._pool, path[0].address, proxied_request, forwarding)
        upstream_connection, reader = pending
        watch = StreamWatch(route, proxied_request.deadline)
        try:
            while not reader.has_head:
                received = self._receive(connection, pending, watch, watched)
                if not reader.has_head:
                    if watch.is_check_due(received):
                        self._check_path(pending, path, watch, watched, received)
                    watched.move_if_overdue(received)
            connection.trace.upstream_status = reader.status
            response_metadata = validate_response_head(
                pending, proxied_request.metadata.request_id
            )
            self._statements.record(
                path[0].upstream,
                response_metadata.statements,
                has_run=200 <= reader.status < 300,
            )
            if not 200 <= reader.status < 300:
                refusal = self._read_error_response(
                    connection, pending, proxied_request, response_metadata
                )
            else:
                _validate_continuation(reader, progress)
                self._forward_stream(
                    connection,
                    pending,
                    path,
                    progress,
                    watch,
                    watched,
                    proxied_request,
                )
                refusal = None
        except BaseException:
            upstream_connection.close()
            raise
        self._pool.release(upstream_connection, reader.headers)
        return refusal

    def _can_retry_elsewhere(self, route, progress):
        """Whether a stalled attempt may be followed by another one."""
        return route.is_retryable and progress.attempts + 1 < route.max_attempts

    def _receive(self, connection, pending, watch, watched):
        """Wait for data until the next check; tell whether any was received."""
        seconds = watched.wait_seconds(watch.wait_seconds())
        received = pending.connection.receive(seconds)
        if received:
            connection.trace.record_data()
        return received

    def _read_error_response(
        self, connection, pending, proxied_request, response_metadata
    ):
        reader = pending.reader
        deadline = min(proxied_request.deadline, time.monotonic() + _ERROR_BODY_SECONDS)
        receive_body(pending, deadline)
        if response_metadata.has_not_run or reader.status == 421:
            pending.connection.refused_ids.append(proxied_request.metadata.request_id)
            return PathRefusal(reader.status, response_metadata.at_fault)
        if connection.response_started or reader.status >= 500:
            raise UpstreamError(reader.status)
        headers = end_to_end(reader.headers)
        if reader.status in (408, 429):
            headers = strip_signature(headers)
            connection.send(Response(502, headers, b"".join(reader.body)))
        else:
            connection.send(Response(reader.status, headers, b"".join(reader.body)))
        return None

    def _forward_stream(
        self,
        connection,
        pending,
        path,
        progress,
        watch,
        watched,
        proxied_request,
    ):
        reader, received = pending.reader, True
        splitter = EventSplitter(pending.connection.limits.event_bytes)
        try:
            while True:
                while reader.body:
                    events = splitter.feed(reader.body.popleft())
                    if self._forward_events(
                        connection, reader, events, progress, proxied_request
                    ):
                        if not watch.has_events:
                            self._conditions.record_events(path, progress.sent_at)
                        watch.record_event()
                        watched.record_event()
                if reader.is_complete:
                    break
                # What was received comes first: it may have an event that ends the
                # silence of the upstream.
                if watch.is_check_due(received):
                    self._check_path(pending, path, watch, watched, received)
                watched.move_if_overdue(received)
                received = self._receive(connection, pending, watch, watched)
        finally:
            progress.has_begun_event |= splitter.has_begun_event
        if splitter.has_partial_event:
            raise UpstreamFailed("the stream ended in the middle of an event", True)
        if reader.ends_with_connection:
            self._check_unframed_end(path, progress)
        if not progress.started and reader.status == 204:
            # Such a response has no body, so it cannot have a last chunk.
            connection.send(Response(reader.status, end_to_end(reader.headers)))
        else:
            self._end_stream(connection, reader, progress)
        watched.end()
        self._crash_evidence.record_end(proxied_request, progress)
        for hop in path:
            self._fleet.record_success(hop.upstream.id)

    def _check_unframed_end(self, path, progress):
        """Raise `UpstreamFailed` if a stream cannot be whole though it ended in order.

        The upstream's process may have ended between two events.
        """
        if progress.expects_event:
            raise UpstreamFailed("the stream ended before its next event", True)
        if any(self._has_other_start(hop.upstream) for hop in path):
            raise UpstreamRestarted(
                "an upstream of the path restarted", True, unresponsive=True
            )

    def _end_stream(self, connection, reader, progress):
        self._start_stream(connection, reader, progress)
        connection.end_stream()

    def _start_stream(self, connection, reader, progress):
        if not progress.started:
            connection.start_stream(reader.status, end_to_end(reader.headers))
            progress.started, progress.form = True, _response_form(reader)

    def _forward_events(self, connection, reader, events, progress, proxied_request):
        """Send events to the caller in one chunk; tell whether any of them has data.

        Those before an event that is out of order are sent as well.
        """
        accepted, has_data = [], False
        try:
            for event in events:
                if not progress.accept(event):
                    continue
                accepted.append(event.data)
                if event.has_data:
                    has_data = True
                    progress.attempt_events += 1
                    self._crash_evidence.record_event(proxied_request, progress)
                    connection.trace.record_event()
        finally:
            if accepted:
                self._start_stream(connection, reader, progress)
                connection.send_chunk(b"".join(accepted))
        return has_data

    def _check_path(self, pending, path, watch, watched, received):
        """Raise `UpstreamFailed` if the stream should leave its path, and can.

        A stream is left alone unless its next attempt is settled: its events may still
        arrive, and ending it would only discard them. `received` tells whether data
        without an event has just arrived; otherwise what arrives during the check may
        be an event.
        """
        if watch.is_past_deadline():
            raise DeadlinePassed("the deadline passed", True)
        failure = self._find_failure(path, watch)
        may_have_event = not received and pending.connection.has_pending_input()
        if failure is None or may_have_event or not watched.settle_retry(failure):
            return
        if not received and pending.connection.has_pending_input():
            watched.stay()
            return
        raise failure

    def _find_failure(self, path, watch) -> UpstreamFailed | None:
        """Return why a path seems to have failed, or None."""
        for hop in path:
            # A registration with an earlier start was written by an earlier process.
            known = self._fleet.get(hop.upstream.id)
            if known is not None and known.born > hop.upstream.born:
                return UpstreamRestarted(
                    f"{hop.upstream.id} restarted", True, unresponsive=True
                )
        if not watch.needs_stall_check():
            return None
        # The report of an engine may take longer than is left for the caller.
        gevent.spawn(self._detect_stall, path).join(watch.wait_seconds())
        if any(self._fleet.is_avoided(hop.upstream.id) for hop in path):
            return UpstreamFailed(
                "an upstream of the path is marked as failed", True, unresponsive=True
            )
        if watch.has_stalled():
            return UpstreamFailed("the stream stalled", True, unresponsive=True)
        return None

    def _has_other_start(self, upstream) -> bool:
        """Whether an upstream is registered with another start time."""
        known = self._fleet.get(upstream.id)
        # An unregistered upstream may be shutting down and completes its streams.
        return known is not None and known.born != upstream.born

    def _fail_generation(
        self, connection, proxied_request, progress, reason, status=502, cause=None
    ):
        # The lines of the attempts may have been omitted, so this one repeats what
        # tells apart why a stream was given up.
        signalled = self._seconds_since_signal()
        log_event(
            Event.GENERATION_GIVEN_UP,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            reason=reason,
            cause=cause,
            attempts=progress.attempts,
            refusals=progress.refusals,
            events_delivered=progress.events,
            last_failure=progress.last_failure,
            since_event=(
                round(progress.seconds_since_event(), 3) if progress.sent_at else None
            ),
            since_signal=None if signalled is None else round(signalled, 3),
            path=progress.last_path,
        )
        if progress.started:
            connection.abort()
        elif progress.attempts:
            connection.send(failure_response(status, reason))
        elif reason == _QUARANTINE_REASON:
            connection.send(not_run_response(reason, QUARANTINE_SECONDS))
        else:
            connection.send(
                not_run_response(reason, self._retry_after(proxied_request))
            )

    def _retry_after(self, proxied_request):
        remaining = proxied_request.deadline - time.monotonic()
        return random_retry_after(remaining, self._random)


def _response_form(reader):
    """Return the status and the media type of a response."""
    media_type = dict(reader.headers).get(b"content-type", b"").partition(b";")[0]
    return reader.status, media_type.strip().lower()


def _validate_continuation(reader, progress):
    """Raise `UpstreamFailed` if a response cannot go on with a stream that has begun.

    A page or an object would otherwise be forwarded in the middle of the stream, and a
    response without a body would end it.
    """
    if not progress.started:
        return
    status, media_type = _response_form(reader)
    begun_status, begun_media_type = progress.form
    names_other_type = media_type and begun_media_type not in (b"", media_type)
    if status != begun_status or names_other_type:
        raise UpstreamFailed("the answer does not go on with the stream", True)
