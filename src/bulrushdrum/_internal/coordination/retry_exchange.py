"""Borrows retries from other routers, and lends them those that this one leaves unused.

A request asks one or two peers; their answers say how many retries they have left, so
that the next request goes to a peer that has some. The rules are in
`limits/retry_loans.py`; nothing here decides whether the limit is kept.
"""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.limits.retry_window import RetryWindow, WaitingRetry
from bulrushdrum._internal.observability.events import Event, log_event

RETRIES_KIND = "retries"
# How long a request waits for a loan, which takes the time of two datagrams.
_WAIT_SECONDS = 0.03
# Requests of one service are sent at this interval on average. A few may be sent at
# once, so that a loan that a request waits for need not wait for the interval.
_REQUEST_INTERVAL_SECONDS = 0.05
_BURST = 5
# A peer that had nothing left, or that did not answer, is not asked for this time.
_HINT_SECONDS = 1.0
_MAX_ANNOUNCED = 64
# Bounds what one request takes from a lender.
_MAX_AMOUNT = 16


class _Hint(NamedTuple):
    """How many retries a peer has left, as far as this router knows."""

    left: int
    known_at: float


class RetryExchange:
    """Exchanges loans for `window`; `count_routers()` are those that share its limit.

    `may_lend()` is false for a router that is about to stop: the others take over its
    share when it is gone.
    """

    def __init__(
        self,
        window: RetryWindow,
        messages: PeerMessages,
        count_routers: Callable[[], int],
        may_lend: Callable[[], bool],
        clock=time.monotonic,
        seed=None,
    ):
        self._window = window
        self._messages = messages
        self._count_routers = count_routers
        self._may_lend = may_lend
        self._clock = clock
        self._random = random.Random(seed)
        # By service and name of the peer.
        self._hints: dict[tuple[str, str], _Hint] = {}
        # Services whose next request is scheduled.
        self._due: set[str] = set()
        # Up to when the interval between requests is used up, by service.
        self._paced_until: dict[str, float] = {}
        window.on_shortage = self._request_soon
        window.wait_for_loan = self._wait
        messages.register(RETRIES_KIND, self._on_message)

    def announcement(self) -> dict[str, int]:
        """Return how many retries this router may lend, by service."""
        if not self._may_lend():
            return {}
        routers = self._count_routers()
        return {
            service: self._window.lendable(service, routers)
            for service in self._window.services[:_MAX_ANNOUNCED]
        }

    def apply_announcement(self, name: str, raw):
        """Record how many retries a peer may lend; raises `DECODING_ERRORS`."""
        now = self._clock()
        for service, left in raw.items():
            self._hints[service, name] = _Hint(int(left), now)

    def _wait(self, service, has_delivered, arrived_at):
        """Wait for a retry, and return whether it was counted."""
        if not self._messages.peers:
            return False
        counted = Signal()
        waiting = WaitingRetry(service, has_delivered, arrived_at, counted.set)
        self._window.join(waiting)
        try:
            if not counted.wait(_WAIT_SECONDS):
                self._window.serve_waiting(service, self._count_routers())
            return waiting.is_counted
        finally:
            self._window.leave(waiting)

    def _request_soon(self, service):
        """Ask for loans when the current task yields, for all that lack retries."""
        if service in self._due or not self._messages.peers:
            return
        self._due.add(service)
        burst = (_BURST - 1) * _REQUEST_INTERVAL_SECONDS
        due_at = self._paced_until.get(service, 0.0) - burst
        gevent.spawn_later(max(due_at - self._clock(), 0.0), self._request, service)

    def _request(self, service):
        self._due.discard(service)
        shortage = self._window.shortage(service)
        amount = shortage - self._window.borrowed.expected(service)
        if amount <= 0:
            return
        lenders = self._choose_lenders(service, amount)
        for name in lenders:
            # Until it answers, a peer is taken to have nothing.
            self._hints[service, name] = _Hint(0, self._clock())
            part = min(-(-amount // len(lenders)), _MAX_AMOUNT)
            number = self._window.borrowed.request(name, service, part)
            body = {
                "number": number,
                "service": service,
                "amount": part,
                "delivered": min(self._window.waiting_delivered(service), part),
            }
            self._messages.send(name, RETRIES_KIND, body)
            paced_until = max(self._paced_until.get(service, 0.0), self._clock())
            self._paced_until[service] = paced_until + _REQUEST_INTERVAL_SECONDS

    def _choose_lenders(self, service, amount):
        """Return a peer that has enough, or two if none is known to."""
        peers = self._messages.peers
        # A random order keeps the borrowers from all asking the same peer.
        self._random.shuffle(peers)
        oldest = self._clock() - _HINT_SECONDS
        some, unknown = [], []
        for name in peers:
            hint = self._hints.get((service, name))
            if hint is None or hint.known_at < oldest:
                unknown.append(name)
            elif hint.left >= amount:
                return [name]
            elif hint.left > 0:
                some.append(name)
        lenders = [*some, *unknown]
        if not lenders and self._window.waiting_delivered(service):
            # Peers that have nothing left for others may have some for these.
            lenders = peers
        return lenders[:2]

    def _on_message(self, name, incarnation, body):
        if "lent" in body:
            self._on_answer(name, body)
        else:
            self._on_request(name, incarnation, body)

    def _on_request(self, name, incarnation, body):
        number, amount = int(body["number"]), int(body["amount"])
        service, delivered = body["service"], int(body["delivered"])
        if not isinstance(service, str) or amount < 1:
            raise ValueError(f"{body!r} asks for no retries")
        if not self._window.lent.is_first_request(incarnation, number):
            return
        routers, lent, left = self._count_routers(), 0, 0
        if self._may_lend():
            amount = min(amount, _MAX_AMOUNT)
            lent = self._window.lend(service, routers, amount, delivered)
            left = self._window.lendable(service, routers)
        # A peer that borrows has nothing to lend.
        self._hints[service, name] = _Hint(0, self._clock())
        answer = {"number": number, "borrower": incarnation, "lent": lent, "left": left}
        self._messages.send(name, RETRIES_KIND, answer)
        if lent:
            log_event(
                Event.RETRIES_LENT,
                borrower=name,
                service=service,
                amount=lent,
                asked=amount,
                left=left,
            )

    def _on_answer(self, name, body):
        number, lent, left = (int(body[key]) for key in ("number", "lent", "left"))
        if lent < 0:
            raise ValueError(f"{body!r} lends less than nothing")
        if body["borrower"] != self._messages.incarnation:
            return
        service = self._window.borrowed.receive(name, number, lent)
        if service is None:
            return
        self._hints[service, name] = _Hint(left, self._clock())
        if lent:
            log_event(Event.RETRIES_BORROWED, lender=name, service=service, amount=lent)
            self._window.serve_waiting(service, self._count_routers())
        if self._window.urgent_need(service):
            self._request_soon(service)
