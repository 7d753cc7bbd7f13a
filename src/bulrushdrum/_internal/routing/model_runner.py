"""Runs model requests in attempts over chains until the answer is complete.

Each request has one greenlet, which owns its prompt, the delivered tokens and the
attempt number. Sidecars hold only soft state, so any of them may be lost: the request
continues in a new attempt after the last delivered token.
"""

import time
from collections.abc import Callable

import gevent
from expression import Result
from gevent.event import Event as Signal

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.request_messages import (
    AttemptFailed,
    ChainStage,
    Close,
    Open,
    Opened,
    Step,
    Token,
    Tokens,
)
from bulrushdrum._internal.peering.shared_state_messages import Incident
from bulrushdrum._internal.routing.chains import ChainPlanner, ChainRequest
from bulrushdrum._internal.routing.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.routing.errors import (
    AttemptAborted,
    RequestNotRun,
    RequestOutcomeUnknown,
)
from bulrushdrum._internal.routing.incident_exchange import IncidentExchange
from bulrushdrum._internal.routing.membership import Membership
from bulrushdrum._internal.routing.retries import RetryBudget
from bulrushdrum._internal.routing.running_requests import (
    STAGE_LOST,
    AttemptSummary,
    BoundStage,
    DeliveredToken,
    ReportedFailure,
    RunningRequest,
    UpstreamLost,
)
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.world.contracts import Contract
from bulrushdrum._internal.world.requests import ChatRequest, Outcome

# A request that crashes whole VMs leaves no sidecar to report an incident. Lost VMs
# are not counted as incidents, because the loss of a data centre would then quarantine
# every request it was running. Instead, this limits how many attempts of one request
# may end with the loss of a sidecar.
MAX_STAGE_LOSSES = 3
_RETRY_POLL_SECONDS = 0.05
_MAX_RETRY_DELAY_SECONDS = 0.4


class ModelRunner:
    """Runs the chat requests of this entry on chains of upstreams."""

    def __init__(
        self,
        membership: Membership,
        planner: ChainPlanner,
        budget: RetryBudget,
        quarantine: CrashQuarantine,
        settings: EntrySettings,
    ):
        self._membership = membership
        self._hub = membership.hub
        self._planner = planner
        self._budget = budget
        self._quarantine = quarantine
        self._settings = settings
        self._running: dict[str, RunningRequest] = {}
        # One fingerprint for each attempt in progress; duplicates are possible.
        self._attempted_fingerprints: list[str] = []
        self._incidents = IncidentExchange(
            self._hub, quarantine, lambda: set(self._attempted_fingerprints)
        )
        self._pool_changed = Signal()
        membership.on_upstream_lost(self._handle_upstream_lost)
        membership.on_change(self._pool_changed.set)
        self._hub.register(Opened, self._handle_opened)
        self._hub.register(Tokens, self._handle_tokens)
        self._hub.register(AttemptFailed, self._handle_attempt_failed)

    @property
    def running(self) -> dict[str, RunningRequest]:
        return self._running

    def run(
        self,
        request: ChatRequest,
        contract: Contract,
        deliver: Callable[[DeliveredToken], None],
        bound: BoundStage | None = None,
        on_start: Callable[[RunningRequest], None] = lambda running: None,
    ) -> str:
        """Run a request to its end and return the finish reason, "stop" or "length".

        `deliver` is called once for each token, in order. Raises `RequestNotRun` or
        `RequestOutcomeUnknown`.
        """
        running = RunningRequest(request, contract, deliver, bound)
        running.start(time.monotonic() + self._settings.request_timeout)
        self._running[request.request_id] = running
        on_start(running)
        try:
            return self._run_attempts(running)
        finally:
            del self._running[request.request_id]

    def dump(self) -> dict:
        return {
            "running": {
                request_id: running.dump()
                for request_id, running in list(self._running.items())
            },
            "retry_budget": self._budget.dump(),
            "suspects": self._quarantine.dump(),
        }

    def _run_attempts(self, running):
        while True:
            self._incidents.wait_for_peers(running.request.fingerprint)
            self._refuse_quarantined(running)
            chain = self._wait_for_chain(running)
            number = running.start_attempt()
            ran_before = running.may_have_run
            try:
                reason = self._run_attempt(running, chain, number)
            except AttemptAborted as error:
                running.set_may_have_run(ran_before or error.ran)
                self._record_failure(running, chain, number, error)
                self._prepare_retry(running, error)
            else:
                names = tuple(upstream.id for upstream in chain)
                running.attempt_summaries.append(
                    AttemptSummary(number, names, "", True)
                )
                return reason

    # Before an attempt.

    def _refuse_quarantined(self, running):
        if self._quarantine.is_quarantined(running.request.fingerprint):
            log_event(Event.REQUEST_CONVICTED, request=running.request.request_id)
            message = "this request has crashed the upstreams that ran it"
            self._raise_failure(running, "request_crashes_upstreams", message)

    def _raise_failure(self, running, code, message):
        if running.may_have_run:
            raise RequestOutcomeUnknown(code, message)
        raise RequestNotRun(code, message)

    def _wait_for_chain(self, running):
        request = running.request
        suspect = self._quarantine.is_suspect(request.fingerprint)
        wait_until = min(
            running.deadline, time.monotonic() + self._settings.queue_timeout
        )
        if running.may_have_run:
            wait_until = running.deadline
        while True:
            self._check_cancelled(running)
            chain_request = ChainRequest(
                model=request.model,
                prompt=request.prompt,
                answer_tokens=request.max_tokens - len(running.tokens),
                entry_data_centre=self._settings.data_centre,
                avoided_incarnations=frozenset(running.avoided_incarnations),
                suspect_fingerprint=request.fingerprint if suspect else "",
                first=running.bound.incarnation if running.bound else "",
            )
            self._pool_changed.clear()
            match self._planner.choose(chain_request):
                case Result(tag="ok", ok=chain):
                    return chain
                case Result(error=no_chain):
                    left = wait_until - time.monotonic()
                    if left <= 0:
                        self._raise_failure(running, no_chain.code, str(no_chain))
                    self._pool_changed.wait(min(left, 1.0))

    def _check_cancelled(self, running):
        if running.cancelled:
            self._raise_failure(
                running, "caller_gone", "the caller closed the connection"
            )

    # One attempt.

    def _run_attempt(self, running, chain, number):
        request = running.request
        repeated = len(request.prompt) + len(running.tokens)
        work = repeated + request.max_tokens - len(running.tokens)
        suspect = self._quarantine.is_suspect(request.fingerprint)
        for upstream in chain:
            upstream.assign(work)
            if suspect:
                upstream.solo_fingerprints.add(request.fingerprint)
        progressed = 0
        self._attempted_fingerprints.append(request.fingerprint)
        try:
            self._open_stages(running, chain, number, suspect)
            first = Step(
                request=request.request_id,
                attempt=number,
                position=0,
                count=repeated,
                tokens=request.prompt + tuple(t.token for t in running.tokens),
            )
            self._send(chain[0], first)
            running.set_may_have_run(True)
            self._budget.record_tokens(repeated)
            while True:
                token = self._next_token(running, chain, number)
                done = repeated if not progressed else 1
                progressed += done
                for upstream in chain:
                    upstream.progress(done)
                self._budget.record_tokens(1)
                running.deliver(token)
                if token.final:
                    return token.finish_reason
        finally:
            self._attempted_fingerprints.remove(request.fingerprint)
            for upstream in chain:
                upstream.unassign(work - progressed)
                upstream.solo_fingerprints.discard(request.fingerprint)
            self._close_stages(running, chain, number)

    def _open_stages(self, running, chain, number, suspect):
        request = running.request
        stages = tuple(
            ChainStage(u.id, u.incarnation, u.address, u.layers.first, u.layers.end)
            for u in chain
        )
        for index, upstream in enumerate(chain):
            bound = running.bound if index == 0 else None
            message = Open(
                request=request.request_id,
                attempt=number,
                stage=index,
                chain=stages,
                customer=request.customer,
                weight=running.contract.share,
                priority=running.contract.priority,
                seed=request.seed,
                max_tokens=request.max_tokens - len(running.tokens),
                prompt_tokens=running.next_position,
                model=request.model,
                model_version=upstream.description.model_version,
                fingerprint=request.fingerprint,
                binding_key=bound.key if bound else "",
                window=bound.window if bound else 0,
                generation=bound.generation if bound else 0,
                solo=suspect,
            )
            self._send(upstream, message)
        self._wait_until_opened(running, chain, number)

    def _wait_until_opened(self, running, chain, number):
        waiting = set(range(len(chain)))
        wait_until = time.monotonic() + self._settings.open_timeout
        while waiting:
            event = self._next_event(running, chain, number, wait_until, ran=False)
            match event:
                case None:
                    silent = chain[min(waiting)]
                    raise AttemptAborted("open timed out", False, silent.incarnation)
                case Opened(accepted=True):
                    waiting.discard(event.stage)
                case Opened():
                    refuser = chain[event.stage].incarnation
                    # A sidecar refuses a key that is running or has run as UNKNOWN.
                    may_have_run = event.outcome == Outcome.UNKNOWN
                    cause = f"refused: {event.reason}"
                    raise AttemptAborted(cause, may_have_run, refuser)

    def _next_token(self, running, chain, number):
        wait_until = time.monotonic() + self._settings.token_timeout
        wait_until = min(wait_until, running.deadline)
        while True:
            event = self._next_event(running, chain, number, wait_until, ran=True)
            match event:
                case None if time.monotonic() >= running.deadline:
                    raise RequestOutcomeUnknown(
                        "deadline_exceeded", "the answer took longer than allowed"
                    )
                case None:
                    raise AttemptAborted("token timed out", True)
                case Token() if event.position == running.next_position:
                    return event
                case Token() if event.position > running.next_position:
                    raise AttemptAborted("token out of order", True)

    def _next_event(self, running, chain, number, wait_until, ran):
        """Return the next event of this attempt, or None at `wait_until`.

        Raises `AttemptAborted` if the event ends the attempt.
        """
        while True:
            event = running.next_event(wait_until - time.monotonic())
            self._check_cancelled(running)
            match event:
                case None:
                    return None
                case UpstreamLost(upstream):
                    if upstream in chain:
                        raise AttemptAborted(STAGE_LOST, ran, upstream.incarnation)
                case ReportedFailure(failed, reporter) if failed.attempt == number:
                    # Only the first stage can know that no layer has run.
                    first = reporter == chain[0].incarnation and not running.tokens
                    raise AttemptAborted(
                        failed.cause,
                        ran and (failed.ran or not first),
                        self._incarnation_of(chain, failed.upstream),
                    )
                case Opened() | Token() if event.attempt == number:
                    return event

    def _incarnation_of(self, chain, name):
        return next((u.incarnation for u in chain if u.id == name), "")

    def _send(self, upstream, message):
        try:
            upstream.connection.send(message)
        except ConnectionLost as error:
            cause = f"{STAGE_LOST}: {error}"
            raise AttemptAborted(cause, False, upstream.incarnation) from error

    def _close_stages(self, running, chain, number):
        message = Close(running.request.request_id, number, "finished")
        for upstream in chain:
            try:
                upstream.connection.send(message)
            except ConnectionLost:
                pass  # the sidecar releases the attempt when it loses the connection

    # After a failed attempt.

    def _record_failure(self, running, chain, number, error):
        names = tuple(upstream.id for upstream in chain)
        running.attempt_summaries.append(
            AttemptSummary(number, names, error.cause, error.ran)
        )
        if error.upstream:
            running.avoided_incarnations.add(error.upstream)
        elif error.ran:
            running.avoided_incarnations.update(
                upstream.incarnation for upstream in chain
            )
        log_event(
            Event.ATTEMPT_FAILED,
            request=running.request.request_id,
            attempt=number,
            cause=error.cause,
            upstream=error.upstream,
            chain=list(names),
        )

    def _prepare_retry(self, running, error):
        """Wait until the retry budget and the backoff allow another attempt.

        Raises `RequestNotRun` or `RequestOutcomeUnknown` if none is allowed.
        """
        if running.bound is not None:
            message = f"the attempt failed and must not be repeated: {error.cause}"
            self._raise_failure(running, "attempt_failed", message)
        losses = sum(summary.lost_stage for summary in running.attempt_summaries)
        if losses >= MAX_STAGE_LOSSES:
            message = f"{losses} attempts ended with the loss of a sidecar"
            self._raise_failure(running, "attempts_exhausted", message)
        repeated = running.next_position
        while error.ran and not self._budget.try_spend(repeated):
            if time.monotonic() >= running.deadline:
                message = "the retry budget was used up until the deadline"
                self._raise_failure(running, "retry_budget_exhausted", message)
            self._check_cancelled(running)
            gevent.sleep(_RETRY_POLL_SECONDS)
        if not error.ran:
            self._back_off_after_refusal(running, error)

    def _back_off_after_refusal(self, running, error):
        """Wait before the next attempt of a request that a stage refused."""
        limit = running.deadline
        if not running.may_have_run:
            limit = min(limit, running.started + self._settings.queue_timeout)
        if time.monotonic() >= limit:
            self._raise_failure(
                running, "overloaded", f"no chain accepted it: {error.cause}"
            )
        refusals = running.record_refusal()
        pause = min(
            _RETRY_POLL_SECONDS * 2 ** min(refusals, 8), _MAX_RETRY_DELAY_SECONDS
        )
        gevent.sleep(min(pause, max(0.0, limit - time.monotonic())))

    # Messages from sidecars and other entries.

    def _handle_opened(self, connection, opened):
        running = self._running.get(opened.request)
        if running is not None and running.attempt == opened.attempt:
            running.put_event(opened)

    def _handle_tokens(self, connection, tokens):
        for token in tokens.tokens:
            running = self._running.get(token.request)
            if running is not None and running.attempt == token.attempt:
                running.put_event(token)

    def _handle_attempt_failed(self, connection, failed):
        if failed.incident:
            self._incidents.report(Incident(failed.incident, failed.suspects))
        running = self._running.get(failed.request)
        if running is not None and running.attempt == failed.attempt:
            running.put_event(ReportedFailure(failed, connection.peer.incarnation))

    def _handle_upstream_lost(self, upstream):
        for running in list(self._running.values()):
            running.put_event(UpstreamLost(upstream))
