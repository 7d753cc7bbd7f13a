"""Order leases and desired states for sidecars.

A sidecar may send orders to its engine only while it holds a lease. An entry grants one
after checking, in the table and not in its own replica, that no later incarnation has
acquired a fencing number for the same upstream. The row `upstream-epoch/<id>` holds the
highest fencing number allocated.
"""

import json

import gevent

from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.process_messages import Describe
from bulrushdrum._internal.peering.shared_state_messages import (
    Desired,
    OrderLease,
    OrderLeaseRequest,
)
from bulrushdrum._internal.platform.errors import (
    PlatformError,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Condition, Table, Write

_MAX_ATTEMPTS = 5


class OrderLeases:
    """Grants order leases to sidecars and sends them the desired states."""

    def __init__(self, hub: PeerHub, table: Table, replica: ConfigurationReplica):
        self._hub = hub
        self._table = table
        self._replica = replica
        self._sidecars: dict[str, str] = {}  # sidecar incarnation by upstream
        hub.register(OrderLeaseRequest, self._handle_request)
        replica.subscribe(self._handle_change)

    def observe_describe(self, connection, description: Describe):
        """Send a newly connected sidecar the desired state of its upstream."""
        upstream = description.upstream
        known = self._sidecars.get(upstream) == connection.peer.incarnation
        self._sidecars[upstream] = connection.peer.incarnation
        if not known:
            self._send_desired(upstream)

    def _handle_change(self, entry):
        if entry.kind == "upstream":
            self._send_desired(entry.key)

    def _send_desired(self, upstream):
        current = self._replica.desired(upstream)
        incarnation = self._sidecars.get(upstream)
        if current is None or incarnation is None:
            return
        revision, desired = current
        value = json.dumps(desired._asdict())
        try:
            self._hub.send(incarnation, Desired(upstream, revision, value))
        except ConnectionLost:
            self._sidecars.pop(upstream, None)  # sent again when it reconnects

    def _handle_request(self, connection, request):
        # The table may be slow; do not block the connection's reader greenlet.
        gevent.spawn(self._respond, connection, request)

    def _respond(self, connection, request):
        try:
            response = self._evaluate(request)
        except PlatformError as error:
            response = OrderLease(request.token, False, reason=str(error))
        try:
            connection.send(response)
        except ConnectionLost:
            pass  # the sidecar retries at another entry

    def _evaluate(self, request):
        if request.epoch == 0:
            epoch = self._allocate_epoch(request.upstream)
            if epoch is None:
                return OrderLease(request.token, False, reason="many sidecars compete")
        else:
            epoch = self._highest_epoch(request.upstream)[0]
            if epoch != request.epoch:
                reason = f"fencing number {request.epoch} is replaced by {epoch}"
                return OrderLease(request.token, False, epoch, reason=reason)
        row = self._table.read(f"upstream/{request.upstream}")
        desired, revision = "", 0
        if row is not None:
            desired = json.dumps(row.value["value"])
            revision = row.value["revision"]
        return OrderLease(request.token, True, epoch, revision, desired)

    def _highest_epoch(self, upstream):
        """Return the highest fencing number and the version of its row."""
        row = self._table.read(f"upstream-epoch/{upstream}")
        return (0, 0) if row is None else (row.value["epoch"], row.version)

    def _allocate_epoch(self, upstream):
        """Allocate the next fencing number, or return `None` under contention.

        If the outcome of a write is unknown, the next number is allocated: skipping a
        number is harmless, but two incarnations must never share one.
        """
        key = f"upstream-epoch/{upstream}"
        for _ in range(_MAX_ATTEMPTS):
            highest, version = self._highest_epoch(upstream)
            epoch = highest + 1
            try:
                self._table.transact(
                    [Condition(key, version)], [Write(key, {"epoch": epoch})]
                )
            except (WriteConflict, WriteOutcomeUnknown):
                continue
            return epoch
        return None
