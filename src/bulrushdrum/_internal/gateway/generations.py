"""Proxies generations: event streams produced by a path of upstreams.

A generation is sent to the first upstream of its path, with the path in a header. Its
events are forwarded as they arrive. If the path fails, a resumable generation continues
after its last event on another path, within the same response.
"""

import random
import time
from collections.abc import Callable
from contextlib import ExitStack
from enum import StrEnum

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.gateway.attempt_failures import (
    AttemptFailures,
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
    UpstreamFailed,
)
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generation_progress import (
    GenerationProgress,
    estimate_demand,
)
from bulrushdrum._internal.gateway.path_waiting import PathWaiter, describe_refusal
from bulrushdrum._internal.gateway.statement_recorder import StatementRecorder
from bulrushdrum._internal.gateway.stream_attempts import GenerationRun, StreamAttempt
from bulrushdrum._internal.gateway.stream_forwarding import StreamForwarder
from bulrushdrum._internal.gateway.stream_moves import StreamMover
from bulrushdrum._internal.gateway.stream_watch import caller_timeout
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.errors import PipelineError
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import (
    Hop,
    MemoryReservations,
)
from bulrushdrum._internal.pipelines.part_quarantine import QUARANTINE_SECONDS
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Route

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
        self._reservations = reservations
        self._path_waiter = path_waiter
        self._pool = pool
        self._budget = budget
        self._count_routers = count_routers
        self._crash_evidence = crash_evidence
        self._failures = AttemptFailures(
            fleet, pool, crash_evidence, detect_stall, conditions
        )
        self._forwarder = StreamForwarder(
            fleet, detect_stall, crash_evidence, statements, conditions
        )
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
        run = GenerationRun(
            connection,
            proxied_request,
            route,
            service,
            model,
            estimate_demand(proxied_request, model),
            GenerationProgress(proxied_request.metadata.resume_after),
        )
        while (path := self._find_path(run)) is not None:
            if self._run_attempt(run, path):
                return

    def _find_path(self, run) -> tuple[Hop, ...] | None:
        """Return the path of the next attempt, whose retry is counted.

        Without one the generation has failed, and None is returned.
        """
        progress = run.progress
        if progress.attempts + progress.refusals > 0:
            refusal = self._refuse_retry(
                run.proxied_request, run.route, run.service, progress
            )
            if refusal is not None:
                self._fail_generation(run, "no attempt is left", cause=refusal)
                return None
        try:
            path = self._path_waiter.wait_for_path(
                run.proxied_request,
                run.route,
                run.service,
                run.model,
                run.demand,
                progress,
            )
        except PipelineError as error:
            self._fail_generation(run, describe_refusal(error))
            return None
        if self._crash_evidence.is_quarantined(run.proxied_request):
            self._fail_generation(run, _QUARANTINE_REASON)
            return None
        return path

    def _run_attempt(self, run, path) -> bool:
        """Run an attempt, and those that it goes on with; return whether it answered.

        Otherwise the generation may be sent again.
        """
        progress, attempt = run.progress, self._begin(run, path)
        try:
            self._send(run, attempt)
            refusal = None
            while True:
                try:
                    refusal = self._forwarder.forward(run, attempt)
                    break
                except UpstreamFailed as failure:
                    if progress.next_path is None:
                        raise
                    attempt = self._go_on(run, attempt, failure)
        except UpstreamFailed as error:
            attempt.disconnect()
            # What it says about the upstreams comes before others may use them.
            try:
                self._record_failure(run, attempt, error)
            finally:
                attempt.close()
            if not isinstance(error, DeadlinePassed):
                return False
            self._fail_generation(run, str(error), status=504)
            return True
        except BaseException:
            attempt.close()
            raise
        attempt.release(self._pool)
        if refusal is None:
            return True
        self._record_refusal(run, attempt, refusal)
        return False

    def _begin(self, run, path):
        """Return an attempt over `path`, which is not sent yet."""
        watched = self._mover.watch(
            run.proxied_request,
            run.route,
            run.service,
            run.model,
            run.demand,
            path,
            run.progress,
            _may_send_again(run, open_attempts=1),
        )
        reservation = self._reservations.reserve(path, run.demand.tokens)
        resources = ExitStack()
        resources.callback(self._path_waiter.notify)
        resources.callback(self._reservations.release, reservation)
        resources.enter_context(watched)
        return StreamAttempt(path, watched, resources)

    def _send(self, run, attempt):
        run.progress.attempt = attempt.counts
        run.connection.trace.record_attempt(
            describe_path(attempt.path), attempt.path[0].upstream.id
        )
        attempt.send(run, self._pool)

    def _record_failure(self, run, attempt, error, is_checked=False):
        """Record an attempt that has failed, and count it.

        `is_checked` tells whether a stall of its path was looked for already.
        """
        progress = run.progress
        progress.attempt = attempt.counts
        self._failures.record_failure(
            run.proxied_request, attempt.path, error, progress, is_checked
        )
        if isinstance(error, DeadlinePassed):
            progress.attempts += 1
            return
        if isinstance(error, ConnectionRefused):
            return
        self._count_sending(run, attempt)
        if error.may_have_run:
            progress.attempts += 1
        else:
            progress.refusals += 1

    def _record_refusal(self, run, attempt, refusal):
        """Record that an attempt was refused, and count it."""
        run.progress.attempt = attempt.counts
        self._count_sending(run, attempt)
        run.progress.refusals += 1
        self._failures.record_refusal(
            run.proxied_request, attempt.path, refusal, run.progress
        )

    def _count_sending(self, run, attempt):
        if not attempt.is_counted:
            attempt.is_counted = True
            run.progress.retry_costs.sent += 1

    def _go_on(self, run, attempt, failure):
        """Send a generation over its settled path; return the attempt that goes on.

        `attempt` stays open until the next one is accepted, because `failure` is only a
        suspicion. If the next one is refused or fails, or an event of `attempt` arrives
        before, `attempt` goes on.
        """
        progress, may_move = run.progress, True
        self._count_sending(run, attempt)
        while progress.next_path is not None:
            path, progress.next_path = progress.next_path, None
            if self._crash_evidence.is_quarantined(run.proxied_request):
                break
            if time.monotonic() >= run.proxied_request.deadline:
                raise DeadlinePassed("the deadline passed", True)
            successor = self._begin(run, path)
            try:
                refusal = self._try_successor(run, attempt, successor)
                if refusal is None:
                    self._leave(run, attempt, failure)
                    progress.attempt = successor.counts
                    return successor
            except _EventArrived:
                # An engine begins to run a request with its first token, which has not
                # arrived, so an attempt is left for a path that breaks off. After a
                # false alarm the stream does not move on a suspicion again.
                successor.close()
                self._count_sending(run, successor)
                progress.may_have_run, may_move = True, False
                break
            except UpstreamFailed as error:
                successor.close()
                if isinstance(error, DeadlinePassed):
                    raise
                self._record_failure(run, successor, error)
                continue
            except BaseException:
                successor.close()
                raise
            successor.release(self._pool)
            self._record_refusal(run, successor, refusal)
        self._keep(run, attempt, may_move)
        return attempt

    def _leave(self, run, attempt, failure):
        """Close an attempt whose successor goes on, and record how it ended."""
        run.progress.has_begun_event |= attempt.has_begun_event
        refusal, failure = None, attempt.failure or failure
        if attempt.is_refused:
            try:
                refusal = self._forwarder.accept(run, attempt)
            except UpstreamFailed as error:
                failure = error
        attempt.close()
        if refusal is None:
            self._record_failure(run, attempt, failure, is_checked=True)
        else:
            self._record_refusal(run, attempt, refusal)

    def _try_successor(self, run, attempt, successor):
        """Send `successor`; return its refusal, or None if it takes over.

        It does when it is accepted, and also when `attempt` has ended meanwhile, so
        that nothing else goes on. Raises `_EventArrived` if `attempt` can go on, and
        `UpstreamFailed` if `successor` failed.
        """
        successor.watched.can_move = _may_send_again(run, open_attempts=2)
        self._send(run, successor)
        while not successor.reader.has_head:
            received = successor.receive_beside(attempt, run)
            if successor.reader.has_head:
                break
            if attempt.read_ahead():
                raise _EventArrived
            if attempt.failure is not None or attempt.is_refused:
                return None
            self._forwarder.check(run, successor, received)
        return self._forwarder.accept(run, successor)

    def _keep(self, run, attempt, may_move):
        """Let an attempt go on that was about to be replaced."""
        progress = run.progress
        progress.attempt = attempt.counts
        # It is in progress again, so that its sending counts when it has ended.
        attempt.is_counted = False
        progress.retry_costs.sent -= 1
        attempt.watched.can_move = may_move and _may_send_again(run, open_attempts=1)
        run.connection.trace.resume_attempt(
            describe_path(attempt.path), attempt.path[0].upstream.id
        )
        log_event(
            Event.STREAM_KEPT,
            request=run.proxied_request.metadata.request_id.decode("latin-1"),
            path=describe_path(attempt.path),
            last_failure=progress.last_failure,
            since_event=round(progress.seconds_since_event(), 3),
        )

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

    def _fail_generation(self, run, reason, status=502, cause=None):
        # The lines of the attempts may have been omitted, so this one repeats what
        # tells apart why a stream was given up.
        connection, proxied_request = run.connection, run.proxied_request
        progress, signalled = run.progress, self._seconds_since_signal()
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
        elif progress.attempts or progress.may_have_run:
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


def _may_send_again(run, open_attempts):
    """Whether another attempt may follow those that have ended and the open ones."""
    attempts = run.progress.attempts + open_attempts
    return run.route.is_retryable and attempts < run.route.max_attempts


class _EventArrived(Exception):
    """The path that a stream was about to leave delivers again."""
