"""What failed attempts of generations say about the upstreams of their paths."""

import time
from collections.abc import Callable
from typing import NamedTuple

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.gateway.crash_evidence import CrashEvidence
from bulrushdrum._internal.gateway.errors import (
    ConnectionRefused,
    ResponseTooLarge,
    UpstreamError,
    UpstreamFailed,
    UpstreamRestarted,
    UpstreamSilent,
)
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generation_progress import GenerationProgress
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop

# A request does not retry an upstream within this time after a refusal, which is about
# the time until another request of that upstream ends and frees memory.
_REFUSAL_BACKOFF_SECONDS = 0.15


class PathRefusal(NamedTuple):
    """A path refused the request; `at_fault` is the address of the cause, if known."""

    status: int
    at_fault: str | None


def describe_path(path: tuple[Hop, ...]) -> list[str]:
    """Return the hops of a path for the log."""
    return [f"{hop.upstream.id}={hop.layers.first}-{hop.layers.end}" for hop in path]


class AttemptFailures:
    """Logs failed attempts and refusals, and marks the upstreams that caused them.

    `detect_stall(path)` marks the upstreams that stall a path, and `conditions` takes
    what is learned of an upstream.
    """

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        crash_evidence: CrashEvidence,
        detect_stall: Callable[[tuple[Hop, ...]], None],
        conditions: ConditionExchange,
    ):
        self._conditions = conditions
        self._fleet = fleet
        self._pool = pool
        self._crash_evidence = crash_evidence
        self._detect_stall = detect_stall

    def record_failure(
        self,
        proxied_request: ProxiedRequest,
        path: tuple[Hop, ...],
        error: UpstreamFailed,
        progress: GenerationProgress,
        is_checked: bool = False,
    ):
        """Record an attempt that failed, and what it says about the upstreams.

        `is_checked` tells whether a stall of its path was looked for already.
        """
        progress.last_failure, progress.last_path = str(error), describe_path(path)
        reasons = {
            hop.upstream.id: self._fleet.describe_avoidance(hop.upstream.id)
            for hop in path
        }
        log_event(
            Event.UPSTREAM_ATTEMPT_FAILED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            path=describe_path(path),
            reason=str(error),
            may_have_run=error.may_have_run,
            events_delivered=progress.events,
            attempt_events=progress.attempt_events,
            since_event=round(progress.seconds_since_event(), 3),
            avoided={name: reason for name, reason in reasons.items() if reason},
            fingerprint=proxied_request.fingerprint,
            parts=proxied_request.metadata.shared_parts,
        )
        if isinstance(error, ResponseTooLarge):
            self._pool.oversized_responses += 1
            self._fleet.record_failure(path[0].upstream.id)
        if isinstance(error, UpstreamError):
            self._conditions.report_error(path[0].upstream)
        if error.may_have_run:
            self._crash_evidence.record_failure(proxied_request, path, error, progress)
        else:
            if isinstance(error, ConnectionRefused):
                first = path[0].upstream
                self._fleet.mark_terminated(first.id, first.born)
                self._conditions.report_terminated(first)
            elif error.unresponsive:
                self._conditions.report_unresponsive(path[0].upstream)
            self._fleet.record_failure(path[0].upstream.id)
            self._pool.drop_address(path[0].address)
        is_checked |= isinstance(error, UpstreamSilent)
        if error.unresponsive and not is_checked:
            self._detect_stall(path)
        if not error.unresponsive:
            # The connection failed, or the response was invalid.
            progress.failed_upstreams.add(path[0].upstream.id)
        ids = {hop.upstream.id for hop in path}
        avoided = {name for name in ids if self._fleet.is_avoided(name)}
        progress.failed_upstreams |= avoided
        is_unexplained = not avoided and not isinstance(error, UpstreamRestarted)
        if isinstance(error, UpstreamSilent):
            progress.suspects |= error.candidates
        elif error.unresponsive and is_unexplained:
            progress.suspects |= ids

    def record_refusal(
        self,
        proxied_request: ProxiedRequest,
        path: tuple[Hop, ...],
        refusal: PathRefusal,
        progress: GenerationProgress,
    ):
        """Record that a path refused a request."""
        progress.last_failure = f"refused with {refusal.status}"
        progress.last_path = describe_path(path)
        # Look up the address in the path: another upstream may use it by now.
        at_fault = refusal.at_fault or path[0].address
        hops = [hop for hop in path if hop.address == at_fault]
        upstream = hops[0].upstream if hops else None
        log_event(
            Event.UPSTREAM_REFUSED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            path=describe_path(path),
            status=refusal.status,
            at_fault=refusal.at_fault,
            upstream=None if upstream is None else upstream.id,
        )
        if upstream is None:
            # The next path should share as little as possible with this one.
            progress.suspects |= {hop.upstream.id for hop in path}
        else:
            self._conditions.report_refusal(upstream)
            until = time.monotonic() + _REFUSAL_BACKOFF_SECONDS
            progress.refused_until[upstream.id] = until
