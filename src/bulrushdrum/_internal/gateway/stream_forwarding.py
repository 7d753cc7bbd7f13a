"""Forwards the stream of one attempt of a generation, and checks its path meanwhile.

A path that seems to have failed is left only for one that is settled: found, and its
retry counted. The attempt then raises its failure while `progress.next_path` is set,
and stays open until the next one is accepted (`generations.py`).
"""

import time
from collections.abc import Callable

import gevent

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.gateway.attempt_failures import PathRefusal
from bulrushdrum._internal.gateway.crash_evidence import CrashEvidence
from bulrushdrum._internal.gateway.errors import (
    DeadlinePassed,
    UpstreamError,
    UpstreamFailed,
    UpstreamRestarted,
)
from bulrushdrum._internal.gateway.exchange import (
    receive_body,
    validate_response_head,
)
from bulrushdrum._internal.gateway.messages import Response, end_to_end
from bulrushdrum._internal.gateway.statement_recorder import StatementRecorder
from bulrushdrum._internal.gateway.stream_attempts import GenerationRun, StreamAttempt
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.platform.headers import strip_signature

# An error response must arrive within this time.
_ERROR_BODY_SECONDS = 1.0


class StreamForwarder:
    """Forwards streams; `detect_stall(hops)` marks the stalled upstreams of a path."""

    def __init__(
        self,
        fleet: Fleet,
        detect_stall: Callable[[tuple[Hop, ...]], None],
        crash_evidence: CrashEvidence,
        statements: StatementRecorder,
        conditions: ConditionExchange,
    ):
        self._fleet = fleet
        self._detect_stall = detect_stall
        self._crash_evidence = crash_evidence
        self._statements = statements
        self._conditions = conditions

    def forward(self, run: GenerationRun, attempt: StreamAttempt) -> PathRefusal | None:
        """Forward the response to an attempt; return None at its end.

        Raises `UpstreamFailed` if it fails, or leaves its path.
        """
        while not attempt.reader.has_head:
            received = attempt.receive(run)
            if not attempt.reader.has_head:
                self.check(run, attempt, received)
        if attempt.response_metadata is None:
            self._validate_head(run, attempt)
        if attempt.is_refused:
            return self._read_error_response(run, attempt)
        self._forward_stream(run, attempt)
        return None

    def accept(self, run: GenerationRun, attempt: StreamAttempt) -> PathRefusal | None:
        """Validate the head of the response to an attempt that may go on.

        Returns a refusal, or raises `UpstreamFailed`, if it cannot.
        """
        self._validate_head(run, attempt)
        reader, metadata = attempt.reader, attempt.response_metadata
        if not attempt.is_refused:
            return None
        has_not_run = metadata.has_not_run or reader.status == 421
        if has_not_run or run.connection.response_started or reader.status >= 500:
            return self._read_error_response(run, attempt)
        return None

    def check(self, run: GenerationRun, attempt: StreamAttempt, received: bool):
        """Raise `UpstreamFailed` if the stream should leave its path, and can.

        `received` tells whether data without an event has just arrived.
        """
        if attempt.watch.is_check_due(received):
            self._check_path(attempt, received)
        attempt.watched.move_if_overdue(received)

    def _validate_head(self, run, attempt):
        reader = attempt.reader
        run.connection.trace.upstream_status = reader.status
        metadata = validate_response_head(
            attempt.pending, run.proxied_request.metadata.request_id
        )
        self._statements.record(
            attempt.path[0].upstream,
            metadata.statements,
            has_run=not attempt.is_refused,
        )
        if not attempt.is_refused:
            _validate_continuation(reader, run.progress)
        attempt.response_metadata = metadata

    def _read_error_response(self, run, attempt):
        pending, reader = attempt.pending, attempt.reader
        deadline = min(
            run.proxied_request.deadline, time.monotonic() + _ERROR_BODY_SECONDS
        )
        receive_body(pending, deadline)
        metadata = attempt.response_metadata
        if metadata.has_not_run or reader.status == 421:
            request_id = run.proxied_request.metadata.request_id
            pending.connection.refused_ids.append(request_id)
            return PathRefusal(reader.status, metadata.at_fault)
        if run.connection.response_started or reader.status >= 500:
            raise UpstreamError(reader.status)
        headers, body = end_to_end(reader.headers), b"".join(reader.body)
        if reader.status in (408, 429):
            run.connection.send(Response(502, strip_signature(headers), body))
        else:
            run.connection.send(Response(reader.status, headers, body))
        return None

    def _forward_stream(self, run, attempt):
        reader, progress = attempt.reader, run.progress
        received = True
        try:
            while True:
                while attempt.has_data:
                    self._forward_events(run, attempt)
                if reader.is_complete:
                    break
                # What was received comes first: it may have an event that ends the
                # silence of the upstream.
                self.check(run, attempt, received)
                received = attempt.receive(run)
        finally:
            progress.has_begun_event |= attempt.has_begun_event
        if attempt.has_partial_event:
            raise UpstreamFailed("the stream ended in the middle of an event", True)
        if reader.ends_with_connection:
            self._check_unframed_end(attempt.path, progress)
        if not progress.started and reader.status == 204:
            # Such a response has no body, so it cannot have a last chunk.
            run.connection.send(Response(reader.status, end_to_end(reader.headers)))
        else:
            _start_stream(run, reader)
            run.connection.end_stream()
        attempt.watched.end()
        self._crash_evidence.record_end(run.proxied_request, progress)
        for hop in attempt.path:
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

    def _forward_events(self, run, attempt):
        """Send the events that have arrived to the caller in one chunk.

        Those before an event that is out of order are sent as well.
        """
        accepted, has_data = [], False
        try:
            for event in attempt.take_events():
                if not run.progress.accept(event):
                    continue
                accepted.append(event.data)
                if event.has_data:
                    has_data = True
                    attempt.counts.events += 1
                    self._crash_evidence.record_event(run.proxied_request, run.progress)
                    run.connection.trace.record_event()
        finally:
            if accepted:
                _start_stream(run, attempt.reader)
                run.connection.send_chunk(b"".join(accepted))
        if not has_data:
            return
        if not attempt.watch.has_events:
            self._conditions.record_events(attempt.path, attempt.counts.sent_at)
        attempt.watch.record_event()
        attempt.watched.record_event()

    def _check_path(self, attempt, received):
        """Raise `UpstreamFailed` if the stream should leave its path, and can.

        A stream is left alone unless its next attempt is settled: its events may still
        arrive, and ending it would only discard them. Without data that was `received`,
        what arrives during the check may be an event.
        """
        watched, upstream_connection = attempt.watched, attempt.pending.connection
        if attempt.watch.is_past_deadline():
            raise DeadlinePassed("the deadline passed", True)
        failure = self._find_failure(attempt.path, attempt.watch)
        may_have_event = not received and upstream_connection.has_pending_input()
        if failure is None or may_have_event or not watched.settle_retry(failure):
            return
        if not received and upstream_connection.has_pending_input():
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


def _start_stream(run, reader):
    if not run.progress.started:
        run.connection.start_stream(reader.status, end_to_end(reader.headers))
        run.progress.started, run.progress.form = True, _response_form(reader)


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
