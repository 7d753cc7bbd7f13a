"""The fencing number of this sidecar incarnation and leases to give orders under it.

Numbers only grow. An entry confirms from the table that no later incarnation has taken
a higher one, so a confirmation after an order also covers the time before it.
"""

import secrets
import time
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult

from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import OrderLease, OrderLeaseRequest
from bulrushdrum._internal.settings.sidecar import SidecarSettings


class HeldLease(NamedTuple):
    """A confirmed lease; `until` is on this process's monotonic clock."""

    epoch: int
    until: float
    desired_revision: int
    desired: str


class LeaseHolder:
    """Asks connected entries for leases, one after the other."""

    def __init__(
        self,
        hub: PeerHub,
        settings: SidecarSettings,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._hub = hub
        self._settings = settings
        self._clock = clock
        self._epoch = 0
        self._superseded = False
        self._answers: dict[str, AsyncResult] = {}
        hub.register(OrderLease, self._on_lease)

    @property
    def epoch(self) -> int:
        """The fencing number of this incarnation, 0 if it has none yet."""
        return self._epoch

    @property
    def superseded(self) -> bool:
        """Whether a later incarnation has taken a number for this upstream."""
        return self._superseded

    def forget_epoch(self):
        """Take a new number next time; the engine has seen a higher one."""
        self._epoch = 0

    def acquire(self) -> HeldLease | None:
        """Return a lease, or None if no entry grants one now; blocks."""
        for connection in self._hub.connections("entry"):
            if self._superseded:
                return None
            asked_at = self._clock()
            answer = self._ask(connection)
            if answer is None:
                continue
            if answer.granted:
                self._epoch = answer.epoch
                # The lease counts from the question: the answer may have been late.
                return HeldLease(
                    answer.epoch,
                    asked_at + self._settings.order_lease,
                    answer.desired_revision,
                    answer.desired,
                )
            self._superseded = answer.epoch > self._epoch > 0
        return None

    def is_valid(self, lease: HeldLease) -> bool:
        return not self._superseded and self._clock() < lease.until

    def _ask(self, connection):
        token = secrets.token_hex(8)
        answer = self._answers[token] = AsyncResult()
        upstream = self._settings.upstream_id
        try:
            connection.send(OrderLeaseRequest(token, upstream, self._epoch))
            return answer.get(timeout=self._settings.order_lease)
        except (ConnectionLost, gevent.Timeout):
            return None
        finally:
            del self._answers[token]

    def _on_lease(self, connection: PeerConnection, message: OrderLease):
        answer = self._answers.get(message.token)
        if answer is not None:
            answer.set(message)
