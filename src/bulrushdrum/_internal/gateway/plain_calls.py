"""Requests to plain services: one answer, read whole before it is passed on.

The upstream with the fewest requests in progress is chosen, those in the router's own
data centre first. An idempotent request that failed, or got no answer in good time, is
sent to another upstream; one that may not be repeated only if it is known not to have
run.
"""

import random
import time

from bulrushdrum._internal.gateway.error_responses import (
    failure_response,
    not_run_response,
)
from bulrushdrum._internal.gateway.errors import UpstreamFailed
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
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.platform.headers import strip_signature
from bulrushdrum._internal.world.routes import Route

# Refusals by upstreams that a request survives, beside the attempts that may have run.
_MOST_REFUSALS = 3
# An idempotent request leaves an upstream that has used this part of its time, if
# another attempt is left.
_PATIENCE_PART = 0.45
_RETRY_AFTER_SECONDS = 0.3
_SERVER_ERRORS = (500, 502, 503, 504)


class PlainCallProxy:
    """Sends requests to plain services."""

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        budget: RetryWindow,
        data_centre: str,
        count_routers,
        quarantine: CrashQuarantine,
        seed=None,
    ):
        self._fleet = fleet
        self._pool = pool
        self._budget = budget
        self._data_centre = data_centre
        self._count_routers = count_routers
        self._quarantine = quarantine
        self._in_progress: dict[str, int] = {}
        self._random = random.Random(seed)

    def run(
        self, proxied_request: ProxiedRequest, route: Route, service: str
    ) -> Response:
        """Return the answer for the caller."""
        self._budget.record_request(service)
        tried, attempts, refusals, last = set(), 0, 0, None
        while attempts < route.max_attempts and refusals < _MOST_REFUSALS:
            upstream = self._choose(service, tried)
            if upstream is None:
                break
            if tried and not self._budget.try_spend(service, self._count_routers()):
                log_event(
                    Event.RETRY_NOT_ALLOWED,
                    request=proxied_request.metadata.request_id.decode("latin-1"),
                    service=service,
                )
                break
            tried.add(upstream.id)
            is_last = attempts + 1 >= route.max_attempts or not route.is_retryable
            try:
                last = self._attempt(proxied_request, route, upstream, is_last)
            except UpstreamFailed as error:
                self._note_failure(proxied_request, upstream, error)
                if error.may_have_run:
                    attempts += 1
                    last = failure_response(504 if error.silent else 502, str(error))
                    if not route.is_retryable:
                        return last
                else:
                    refusals += 1
                continue
            if isinstance(last, _NotRun):
                refusals += 1
                last = None
                continue
            if last.status not in _SERVER_ERRORS or not route.is_retryable:
                return last
            attempts += 1
        if last is not None:
            return last
        return not_run_response(
            f"no upstream of {service} can take it", _RETRY_AFTER_SECONDS
        )

    def _choose(self, service, tried):
        candidates = [
            upstream
            for upstream in self._fleet.available(service)
            if upstream.id not in tried
        ]
        if not candidates and not tried:
            # All have failed lately; one that serves again is found only by trying.
            candidates = [u for u in self._fleet.registered(service) if u.is_serving]
        if not candidates:
            return None

        def load(upstream):
            busy = self._in_progress.get(upstream.id, 0) / max(upstream.slots, 1)
            away = upstream.data_centre != self._data_centre
            return (round(busy, 2) + 0.3 * away, self._random.random())

        return min(candidates, key=load)

    def _attempt(self, proxied_request, route, upstream, is_last):
        self._in_progress[upstream.id] = self._in_progress.get(upstream.id, 0) + 1
        try:
            return self._exchange(proxied_request, route, upstream, is_last)
        finally:
            self._in_progress[upstream.id] -= 1

    def _exchange(self, proxied_request, route, upstream, is_last):
        now = time.monotonic()
        until = proxied_request.deadline
        if not is_last:
            until = now + (proxied_request.deadline - now) * _PATIENCE_PART
        forwarding = ForwardingMetadata(
            upstream.id, proxied_request.deadline - now, proxied_request.team
        )
        exchange = send_request(
            self._pool, upstream.address, proxied_request, forwarding
        )
        connection, reader = exchange
        try:
            while not reader.is_complete:
                left = until - time.monotonic()
                if left <= 0 or not connection.receive(left):
                    raise UpstreamFailed("no answer in time", True, silent=True)
            response_metadata = check_head(reader, proxied_request.metadata.request_id)
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(connection, reader.headers)
        return self._judge(proxied_request, upstream, reader, response_metadata)

    def _judge(self, proxied_request, upstream, reader, response_metadata):
        headers, body = end_to_end(reader.headers), b"".join(reader.body)
        if response_metadata.has_not_run or reader.status == 421:
            if reader.status == 421:
                self._fleet.record_failure(upstream.id)
            log_event(
                Event.UPSTREAM_REFUSED,
                request=proxied_request.metadata.request_id.decode("latin-1"),
                upstream=upstream.id,
                status=reader.status,
            )
            return _NotRun()
        self._fleet.record_success(upstream.id)
        if reader.status in (408, 421, 429, 503):
            # These statuses promise that the request has not run, which the upstream
            # did not say.
            return Response(502, strip_signature(headers), body)
        return Response(reader.status, headers, body)

    def _note_failure(self, proxied_request, upstream, error):
        log_event(
            Event.UPSTREAM_ATTEMPT_FAILED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            upstream=upstream.id,
            service=upstream.service,
            reason=str(error),
            may_have_run=error.may_have_run,
        )
        if error.may_have_run:
            incarnation = (upstream.id, upstream.born)
            self._quarantine.record_failure(proxied_request.fingerprint, (incarnation,))
        if error.silent or not error.may_have_run:
            self._fleet.record_failure(upstream.id)
            self._pool.drop_address(upstream.address)


class _NotRun:
    """The upstream said that it has not run the request."""
