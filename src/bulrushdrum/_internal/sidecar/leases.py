"""The fencing number of this sidecar incarnation, and its order leases.

Fencing numbers only increase. To grant a lease, an entry confirms from the table that
no later incarnation holds a higher number. A lease is renewed while an order is in
progress, because an engine may take longer to load a model than a lease is valid.
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
from bulrushdrum._internal.peering.shared_state_messages import (
    OrderLease,
    OrderLeaseRequest,
)
from bulrushdrum._internal.settings.sidecar import SidecarSettings

# A renewal may fail twice before the lease ends.
_RENEWALS_PER_LEASE = 3


class GrantedLease(NamedTuple):
    """A granted lease; `until` is a time of this process's monotonic clock."""

    epoch: int
    until: float
    desired_revision: int
    desired: str


class LeaseHolder:
    """Requests order leases from the connected entries, one entry at a time."""

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
        self._pending_responses: dict[str, AsyncResult] = {}
        hub.register(OrderLease, self._handle_lease)

    @property
    def epoch(self) -> int:
        """The fencing number of this incarnation, 0 if it has none yet."""
        return self._epoch

    @property
    def superseded(self) -> bool:
        """Whether a later incarnation holds a fencing number for this upstream."""
        return self._superseded

    def discard_epoch(self):
        """Discard the fencing number, so that the next lease comes with a new one.

        Called when the engine has seen a higher number.
        """
        self._epoch = 0

    def acquire(self) -> GrantedLease | None:
        """Return a lease, or None if no entry grants one. Blocks."""
        for connection in self._hub.connections("entry"):
            if self._superseded:
                return None
            requested_at = self._clock()
            answer = self._request_lease(connection)
            if answer is None:
                continue
            if answer.granted:
                self._epoch = answer.epoch
                # The lease starts at the request, because the answer may be delayed.
                return GrantedLease(
                    answer.epoch,
                    requested_at + self._settings.order_lease,
                    answer.desired_revision,
                    answer.desired,
                )
            self._superseded = answer.epoch > self._epoch > 0
        return None

    def is_valid(self, lease: GrantedLease) -> bool:
        return not self._superseded and self._clock() < lease.until

    def renew(self, lease: GrantedLease) -> "LeaseRenewal":
        """Start to renew a lease; the caller must stop or confirm the renewal."""
        interval = self._settings.order_lease / _RENEWALS_PER_LEASE
        return LeaseRenewal(self, lease, interval)

    def _request_lease(self, connection):
        token = secrets.token_hex(8)
        answer = self._pending_responses[token] = AsyncResult()
        upstream = self._settings.upstream_id
        try:
            connection.send(OrderLeaseRequest(token, upstream, self._epoch))
            return answer.get(timeout=self._settings.order_lease)
        except (ConnectionLost, gevent.Timeout):
            return None
        finally:
            del self._pending_responses[token]

    def _handle_lease(self, connection: PeerConnection, message: OrderLease):
        answer = self._pending_responses.get(message.token)
        if answer is not None:
            answer.set(message)


class LeaseRenewal:
    """Renews a lease until `confirm`, to tell whether it held throughout an order.

    It did not hold if it ended before a renewal was granted, for example because this
    process was paused, even if an entry grants another one afterwards.
    """

    def __init__(self, holder: LeaseHolder, lease: GrantedLease, interval: float):
        self._holder = holder
        self._lease = lease
        self._interval = interval
        self._lapsed = False
        self._greenlet = gevent.spawn(self._renew_regularly)

    def stop(self):
        """Stop renewing the lease."""
        self._greenlet.kill()

    def confirm(self) -> GrantedLease | None:
        """Renew the lease once more and return it, or None if it did not hold.

        Blocks.
        """
        self.stop()
        return self._lease if self._renew() else None

    def _renew_regularly(self):
        while not self._lapsed:
            gevent.sleep(self._interval)
            self._renew()

    def _renew(self):
        """Return whether a renewal was granted while the lease was valid."""
        renewed = self._holder.acquire()
        if not self._holder.is_valid(self._lease):
            self._lapsed = True
        if self._lapsed or renewed is None or renewed.epoch != self._lease.epoch:
            return False
        self._lease = renewed
        return True
