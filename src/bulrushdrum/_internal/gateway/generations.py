"""Generations: streams that pass through a path of upstreams.

A generation is sent to the first upstream of its path, with the path in a header. Its
events are passed on as they come. If the path fails, a generation that may be resumed
goes on behind its last event on another path, within the same answer.
"""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from gevent.event import Event as Signal

from bulrushdrum._internal.gateway.callers import CallerConnection
from bulrushdrum._internal.gateway.error_responses import (
    failure_response,
    not_run_response,
)
from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.events_stream import EventSplitter
from bulrushdrum._internal.gateway.exchange import (
    ProxiedRequest,
    check_head,
    send_request,
)
from bulrushdrum._internal.gateway.messages import (
    ForwardingMetadata,
    Response,
    end_to_end,
)
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.errors import InsufficientMemory, NoPath
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.paths import Demand, PathChooser
from bulrushdrum._internal.platform.headers import strip_signature
from bulrushdrum._internal.world.engines import EngineModel
from bulrushdrum._internal.world.routes import Route

# How often a waiting stream looks whether an upstream of its path is given up.
_LOOK_SECONDS = 0.2
# A stream is looked into when it was silent for longer than this many of its allowed
# pauses, or this part of its goal before the first event.
_SUSPICIOUS_GAPS = 1.2
_SUSPICIOUS_GOALS = 0.8
# Callers give a silent stream up after the longest of two seconds, four goals and eight
# allowed pauses; it is sent elsewhere at this part of that time, whatever the cause.
_CALLER_PATIENCE_SECONDS = 2.0
_CALLER_PATIENCE_GOALS = 4.0
_CALLER_PATIENCE_GAPS = 8.0
_PATIENCE_PART = 0.7
# A request waits for memory for this part of its goal, and is then refused.
_WAIT_PART = 0.4
# One whose path failed waits for this part of its caller's patience.
_WAIT_AFTER_FAILURE_PART = 0.4
_MOST_REFUSALS = 3
# An upstream that refused a request is not asked again for this long, in seconds: about
# the time in which one of its requests ends and leaves memory.
_REFUSED_SECONDS = 0.15
# Refused callers are asked back after these parts of the time that they have left.
_EARLIEST_RETURN = 0.05
_LATEST_RETURN = 0.25


class _Progress:
    """What a generation has delivered so far."""

    def __init__(self, resume_after):
        self.last_id = resume_after
        self.last_number = int(resume_after) if _is_number(resume_after) else None
        self.events = 0
        self.started = False
        self.attempts = 0
        self.refusals = 0
        self.failed_upstreams: set[str] = set()
        self.refused_until: dict[str, float] = {}

    def refusing_upstreams(self) -> set[str]:
        """Return the upstreams that refused this request just now."""
        now = time.monotonic()
        return {name for name, until in self.refused_until.items() if until > now}


def _is_number(text):
    return text is not None and text.isdigit()


class _Refused(NamedTuple):
    """The path did not run the request; `at_fault` is the upstream's address."""

    status: int
    at_fault: str | None


class GenerationProxy:
    """Runs generations; `detect_stall(hops)` finds the upstream at fault."""

    def __init__(
        self,
        fleet: Fleet,
        reservations: MemoryReservations,
        chooser: PathChooser,
        pool: ConnectionPool,
        budget: RetryWindow,
        count_routers: Callable[[], int],
        detect_stall,
        quarantine: CrashQuarantine,
        seed=None,
    ):
        self._fleet = fleet
        self._reservations = reservations
        self._chooser = chooser
        self._pool = pool
        self._budget = budget
        self._count_routers = count_routers
        self._detect_stall = detect_stall
        self._quarantine = quarantine
        self._random = random.Random(seed)
        self._released = Signal()

    def run(
        self,
        connection: CallerConnection,
        proxied_request: ProxiedRequest,
        route: Route,
        service: str,
        model: EngineModel,
    ):
        """Answer the caller."""
        self._budget.record_request(service)
        progress = _Progress(proxied_request.metadata.resume_after)
        demand = _demand(proxied_request, model)
        while True:
            if progress.attempts + progress.refusals > 0 and not self._may_go_on(
                proxied_request, route, service, progress
            ):
                self._give_up(
                    connection, proxied_request, progress, "no attempt is left"
                )
                return
            path = self._find_path(
                proxied_request, route, service, model, demand, progress
            )
            if path is None:
                self._log_insufficient_memory(proxied_request, service, model)
                self._give_up(connection, proxied_request, progress, "no path has room")
                return
            reservation = self._reservations.reserve(path, demand.tokens)
            try:
                outcome = self._attempt(
                    connection, proxied_request, route, path, progress
                )
            except UpstreamFailed as error:
                self._note_failure(proxied_request, path, error, progress)
                if error.may_have_run:
                    progress.attempts += 1
                else:
                    progress.refusals += 1
                continue
            finally:
                self._reservations.release(reservation)
                self._released.set()
                self._released.clear()
            if outcome is None:
                return
            progress.refusals += 1
            self._note_refusal(proxied_request, path, outcome, progress)

    def _may_go_on(self, proxied_request, route, service, progress):
        if time.monotonic() >= proxied_request.deadline:
            return False
        if progress.attempts and not route.is_retryable:
            return False
        if self._quarantine.is_quarantined(proxied_request.fingerprint):
            return False
        if progress.attempts >= route.max_attempts:
            return False
        if progress.refusals > _MOST_REFUSALS:
            return False
        return self._budget.try_spend(service, self._count_routers())

    def _find_path(self, proxied_request, route, service, model, demand, progress):
        until = time.monotonic() + route.goal * _WAIT_PART
        if progress.attempts:
            # What has run, or was delivered in part, is lost if this is refused; its
            # caller waits for the next event as long as for any.
            until = time.monotonic() + _patience(route) * _WAIT_AFTER_FAILURE_PART
        while True:
            try:
                return self._choose(service, model, demand, progress)
            except NoPath as error:
                log_event(
                    Event.NO_PATH,
                    request=proxied_request.metadata.request_id.decode("latin-1"),
                    reason=str(error),
                )
                if not progress.started:
                    return None
            except InsufficientMemory:
                pass
            left = min(until, proxied_request.deadline) - time.monotonic()
            if left <= 0:
                return None
            self._released.wait(min(left, _LOOK_SECONDS))

    def _choose(self, service, model, demand, progress):
        """Choose a path around the upstreams that failed this request, if one exists.

        One that refused it just now would refuse it again.

        Faults of single answers are more often chance than a broken upstream, so a path
        that comes by them again is better than none.
        """
        refusing = progress.refusing_upstreams()
        for excluded in (progress.failed_upstreams | refusing, refusing):
            try:
                return self._chooser.choose(service, model, demand, excluded)
            except InsufficientMemory as error:
                problem = error
            except NoPath as error:
                # What refused lately holds layers, and may have room again soon.
                problem = InsufficientMemory(str(error)) if refusing else error
        raise problem

    def _log_insufficient_memory(self, proxied_request, service, model):
        log_event(
            Event.NO_ROOM,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            service=service,
            data_centres=self._chooser.describe_memory(service, model),
        )

    def _attempt(self, connection, proxied_request, route, path, progress):
        """Pass on one upstream's stream; return None at its end, or a `_Refused`."""
        forwarding = ForwardingMetadata(
            path[0].upstream.id,
            proxied_request.deadline - time.monotonic(),
            proxied_request.team,
            path,
            progress.last_id,
            proxied_request.priority,
        )
        exchange = send_request(
            self._pool, path[0].address, proxied_request, forwarding
        )
        upstream_connection, reader = exchange
        try:
            self._await_head(exchange, route, path)
            response_metadata = check_head(reader, proxied_request.metadata.request_id)
            if not 200 <= reader.status < 300:
                refused = self._read_failure(
                    connection, exchange, proxied_request, response_metadata
                )
            else:
                self._pass_events(connection, exchange, route, path, progress)
                refused = None
        except BaseException:
            upstream_connection.close()
            raise
        self._pool.give_back(upstream_connection, reader.headers)
        return refused

    def _await_head(self, exchange, route, path):
        connection, reader = exchange
        silence = _Silence(route, started=False)
        while not reader.has_head:
            if connection.receive(_LOOK_SECONDS):
                continue
            self._check_path(path, silence)

    def _read_failure(self, connection, exchange, proxied_request, response_metadata):
        upstream_connection, reader = exchange
        while not reader.is_complete:
            if not upstream_connection.receive(1.0):
                raise UpstreamFailed("the failure's body did not arrive", True)
        if response_metadata.has_not_run or reader.status == 421:
            return _Refused(reader.status, response_metadata.at_fault)
        if connection.answer_begun or reader.status >= 500:
            raise UpstreamFailed(f"the upstream answered {reader.status}", True)
        headers = end_to_end(reader.headers)
        if reader.status in (408, 429):
            headers = strip_signature(headers)
            connection.send(Response(502, headers, b"".join(reader.body)))
        else:
            connection.send(Response(reader.status, headers, b"".join(reader.body)))
        return None

    def _pass_events(self, connection, exchange, route, path, progress):
        upstream_connection, reader = exchange
        splitter = EventSplitter()
        silence = _Silence(route, progress.started)
        while True:
            passed = False
            while reader.body:
                for event in splitter.feed(reader.body.popleft()):
                    passed |= self._pass_event(connection, reader, event, progress)
            if passed:
                silence = _Silence(route, progress.started)
            if reader.is_complete:
                break
            if not upstream_connection.receive(_LOOK_SECONDS):
                self._check_path(path, silence)
        if splitter.has_rest:
            raise UpstreamFailed("the stream ended in the middle of an event", True)
        if not progress.started:
            connection.start_stream(reader.status, end_to_end(reader.headers))
            progress.started = True
        connection.end_stream()
        for hop in path:
            self._fleet.record_success(hop.upstream.id)

    def _pass_event(self, connection, reader, event, progress):
        if event.number is not None and progress.last_number is not None:
            if event.number <= progress.last_number:
                return False
            if event.number != progress.last_number + 1:
                raise UpstreamFailed(f"event {event.number} is out of order", True)
        if not progress.started:
            connection.start_stream(reader.status, end_to_end(reader.headers))
            progress.started = True
        connection.send_chunk(event.data)
        progress.events += 1
        if event.raw_id is not None:
            progress.last_id = event.raw_id
            progress.last_number = event.number
        return True

    def _check_path(self, path, silence):
        """Raise `UpstreamFailed` if the path is given up."""
        for hop in path:
            known = self._fleet.get(hop.upstream.id)
            # One that is no longer registered may be leaving and serves to its end.
            if known is not None and known.born != hop.upstream.born:
                raise UpstreamFailed(f"{hop.upstream.id} restarted", True, silent=True)
        if silence.is_suspicious():
            self._detect_stall(path)
            if any(self._fleet.is_avoided(hop.upstream.id) for hop in path):
                raise UpstreamFailed("an upstream of the path fails", True, silent=True)
        if silence.is_over():
            raise UpstreamFailed("the stream is stalled", True, silent=True)

    def _note_failure(self, proxied_request, path, error, progress):
        log_event(
            Event.UPSTREAM_ATTEMPT_FAILED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            path=_describe(path),
            reason=str(error),
            may_have_run=error.may_have_run,
            events_delivered=progress.events,
        )
        if error.may_have_run:
            incarnations = tuple((h.upstream.id, h.upstream.born) for h in path)
            self._quarantine.record_failure(proxied_request.fingerprint, incarnations)
        else:
            self._fleet.record_failure(path[0].upstream.id)
            self._pool.drop_address(path[0].address)
        if error.silent:
            self._detect_stall(path)
        if not error.silent:
            # Its connection failed, or what came over it was no answer.
            progress.failed_upstreams.add(path[0].upstream.id)
        for hop in path:
            if self._fleet.is_avoided(hop.upstream.id):
                progress.failed_upstreams.add(hop.upstream.id)

    def _note_refusal(self, proxied_request, path, refused, progress):
        # An address may have another upstream by now, so the path tells which it was.
        at_fault = refused.at_fault or path[0].address
        hops = [hop for hop in path if hop.address == at_fault]
        upstream = hops[0].upstream if hops else None
        log_event(
            Event.UPSTREAM_REFUSED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            path=_describe(path),
            status=refused.status,
            at_fault=refused.at_fault,
            upstream=None if upstream is None else upstream.id,
        )
        if upstream is not None:
            self._fleet.record_failure(upstream.id)
            until = time.monotonic() + _REFUSED_SECONDS
            progress.refused_until[upstream.id] = until

    def _give_up(self, connection, proxied_request, progress, reason):
        log_event(
            Event.GENERATION_GIVEN_UP,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            reason=reason,
            attempts=progress.attempts,
            refusals=progress.refusals,
            events_delivered=progress.events,
        )
        if progress.started:
            connection.break_off()
        elif progress.attempts:
            connection.send(failure_response(502, reason))
        else:
            connection.send(
                not_run_response(reason, self._retry_after(proxied_request))
            )

    def _retry_after(self, proxied_request):
        """Return when to come back: after layers have moved, and not all at once."""
        left = max(proxied_request.deadline - time.monotonic(), 0.0)
        return left * self._random.uniform(_EARLIEST_RETURN, _LATEST_RETURN)


class _Silence:
    """Time since a stream last moved, against what its route allows."""

    def __init__(self, route: Route, started: bool):
        self._since = time.monotonic()
        if started:
            self._suspicious = route.gap_goal * _SUSPICIOUS_GAPS
        else:
            self._suspicious = route.goal * _SUSPICIOUS_GOALS
        self._longest = _PATIENCE_PART * _patience(route)

    def is_suspicious(self):
        return time.monotonic() - self._since > self._suspicious

    def is_over(self):
        return time.monotonic() - self._since > self._longest


def _patience(route):
    """Return how long a caller waits for the next event of a stream, in seconds."""
    return max(
        _CALLER_PATIENCE_SECONDS,
        route.goal * _CALLER_PATIENCE_GOALS,
        route.gap_goal * _CALLER_PATIENCE_GAPS,
    )


def _demand(proxied_request, model):
    generation = proxied_request.metadata.generation
    if generation is None:
        return Demand(model.mean_prompt_tokens, model.mean_answer_tokens)
    answer = generation.max_output or model.mean_answer_tokens
    if generation.expected_output is not None:
        # The caller's guess is often far off; the mean pulls it towards what is usual.
        guess = (generation.expected_output + model.mean_answer_tokens) / 2
        answer = min(answer, guess)
    return Demand(generation.prompt, answer)


def _describe(path):
    return [f"{hop.upstream.id}={hop.layers.first}-{hop.layers.end}" for hop in path]
