"""Requests to plain services: one answer, read whole before it is passed on.

The upstream with the fewest requests in progress is chosen, those in the router's own
data centre first. An idempotent request that failed, or got no answer in good time, is
sent to another upstream; one that may not be repeated only if it is known not to have
run.
"""

import random
import time

from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.exchange import Call, check_head, send_call
from bulrushdrum._internal.gateway.messages import (
    Answer,
    CallExtras,
    end_to_end,
)
from bulrushdrum._internal.gateway.refusals import failure, refusal
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.crash_register import CrashRegister
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.platform.headers import without_signature
from bulrushdrum._internal.world.routes import Route

# Refusals by upstreams that a request survives, beside the attempts that may have run.
_MOST_REFUSALS = 3
# An idempotent request leaves an upstream that has used this part of its time, if
# another attempt is left.
_PATIENCE_PART = 0.45
_RETRY_AFTER_SECONDS = 0.3
_SERVER_ERRORS = (500, 502, 503, 504)


class PlainCalls:
    """Sends requests to plain services."""

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        budget: RetryWindow,
        data_centre: str,
        count_routers,
        crashes: CrashRegister,
        seed=None,
    ):
        self._fleet = fleet
        self._pool = pool
        self._budget = budget
        self._data_centre = data_centre
        self._count_routers = count_routers
        self._crashes = crashes
        self._in_progress: dict[str, int] = {}
        self._random = random.Random(seed)

    def run(self, call: Call, route: Route, service: str) -> Answer:
        """Return the answer for the caller."""
        self._budget.note_request(service)
        tried, attempts, refusals, last = set(), 0, 0, None
        while attempts < route.max_attempts and refusals < _MOST_REFUSALS:
            upstream = self._choose(service, tried)
            if upstream is None:
                break
            if tried and not self._budget.try_spend(service, self._count_routers()):
                log_event(
                    Event.RETRY_NOT_ALLOWED,
                    request=call.description.request_id.decode("latin-1"),
                    service=service,
                )
                break
            tried.add(upstream.id)
            is_last = attempts + 1 >= route.max_attempts or not route.may_repeat
            try:
                last = self._attempt(call, route, upstream, is_last)
            except UpstreamFailed as error:
                self._note_failure(call, upstream, error)
                if error.may_have_run:
                    attempts += 1
                    last = failure(504 if error.silent else 502, str(error))
                    if not route.may_repeat:
                        return last
                else:
                    refusals += 1
                continue
            if isinstance(last, _NotRun):
                refusals += 1
                last = None
                continue
            if last.status not in _SERVER_ERRORS or not route.may_repeat:
                return last
            attempts += 1
        if last is not None:
            return last
        return refusal(f"no upstream of {service} can take it", _RETRY_AFTER_SECONDS)

    def _choose(self, service, tried):
        candidates = [
            upstream
            for upstream in self._fleet.usable(service)
            if upstream.id not in tried
        ]
        if not candidates and not tried:
            # All have failed lately; one that serves again is found only by trying.
            candidates = [u for u in self._fleet.members(service) if u.is_serving]
        if not candidates:
            return None

        def load(upstream):
            busy = self._in_progress.get(upstream.id, 0) / max(upstream.slots, 1)
            away = upstream.data_centre != self._data_centre
            return (round(busy, 2) + 0.3 * away, self._random.random())

        return min(candidates, key=load)

    def _attempt(self, call, route, upstream, is_last):
        self._in_progress[upstream.id] = self._in_progress.get(upstream.id, 0) + 1
        try:
            return self._exchange(call, route, upstream, is_last)
        finally:
            self._in_progress[upstream.id] -= 1

    def _exchange(self, call, route, upstream, is_last):
        now = time.monotonic()
        until = call.deadline
        if not is_last:
            until = now + (call.deadline - now) * _PATIENCE_PART
        extras = CallExtras(upstream.id, call.deadline - now, call.team)
        exchange = send_call(self._pool, upstream.address, call, extras)
        connection, reader = exchange
        try:
            while not reader.is_complete:
                left = until - time.monotonic()
                if left <= 0 or not connection.receive(left):
                    raise UpstreamFailed("no answer in time", True, silent=True)
            described = check_head(reader, call.description.request_id)
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(connection, reader.headers)
        return self._judge(call, upstream, reader, described)

    def _judge(self, call, upstream, reader, described):
        headers, body = end_to_end(reader.headers), b"".join(reader.body)
        if described.has_not_run or reader.status == 421:
            if reader.status == 421:
                self._fleet.avoid(upstream.id)
            log_event(
                Event.UPSTREAM_REFUSED,
                request=call.description.request_id.decode("latin-1"),
                upstream=upstream.id,
                status=reader.status,
            )
            return _NotRun()
        self._fleet.trust(upstream.id)
        if reader.status in (408, 421, 429, 503):
            # These statuses promise that the request has not run, which the upstream
            # did not say.
            return Answer(502, without_signature(headers), body)
        return Answer(reader.status, headers, body)

    def _note_failure(self, call, upstream, error):
        log_event(
            Event.UPSTREAM_ATTEMPT_FAILED,
            request=call.description.request_id.decode("latin-1"),
            upstream=upstream.id,
            service=upstream.service,
            reason=str(error),
            may_have_run=error.may_have_run,
        )
        if error.may_have_run:
            incarnation = (upstream.id, upstream.born)
            self._crashes.note_failure(call.fingerprint, (incarnation,))
        if error.silent or not error.may_have_run:
            self._fleet.avoid(upstream.id)
            self._pool.drop_address(upstream.address)


class _NotRun:
    """The upstream said that it has not run the request."""
