"""Order leases and desired states for sidecars.

A sidecar may give orders to its engine only while an entry has confirmed, from the
table and not from the entry's own copy, that no later incarnation has taken a fencing
number for the same upstream. The row `upstream-epoch/<id>` holds the highest number
taken.
"""

import json

import gevent

from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import (
    Describe,
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

_MAX_TRIES = 5


class OrderLeases:
    """Answers the sidecars' requests and tells them what operators want."""

    def __init__(self, hub: PeerHub, table: Table, replica: ConfigurationReplica):
        self._hub = hub
        self._table = table
        self._replica = replica
        self._upstreams: dict[str, str] = {}  # sidecar incarnation by upstream
        hub.register(OrderLeaseRequest, self._handle_request)
        replica.subscribe(self._handle_change)

    def observe_describe(self, connection, description: Describe):
        """Tell a sidecar that has just connected what is wanted of its upstream."""
        upstream = description.upstream
        known = self._upstreams.get(upstream) == connection.peer.incarnation
        self._upstreams[upstream] = connection.peer.incarnation
        if not known:
            self._send_desired(upstream)

    def _handle_change(self, entry):
        if entry.kind == "upstream":
            self._send_desired(entry.key)

    def _send_desired(self, upstream):
        wanted = self._replica.desired(upstream)
        incarnation = self._upstreams.get(upstream)
        if wanted is None or incarnation is None:
            return
        revision, desired = wanted
        value = json.dumps(desired._asdict())
        try:
            self._hub.send(incarnation, Desired(upstream, revision, value))
        except ConnectionLost:
            self._upstreams.pop(upstream, None)  # told again when it connects

    def _handle_request(self, connection, request):
        # The table may be slow; the reader greenlet must go on meanwhile.
        gevent.spawn(self._answer, connection, request)

    def _answer(self, connection, request):
        try:
            answer = self._decide(request)
        except PlatformError as error:
            answer = OrderLease(request.token, False, reason=str(error))
        try:
            connection.send(answer)
        except ConnectionLost:
            pass  # the sidecar asks another entry

    def _decide(self, request):
        if request.epoch == 0:
            epoch = self._take_epoch(request.upstream)
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
        """Return the highest number taken and the version of its row."""
        row = self._table.read(f"upstream-epoch/{upstream}")
        return (0, 0) if row is None else (row.value["epoch"], row.version)

    def _take_epoch(self, upstream):
        """Take the next fencing number.

        After a lost answer another number is taken: a number that nobody uses does no
        harm, while one used by two would.
        """
        key = f"upstream-epoch/{upstream}"
        for _ in range(_MAX_TRIES):
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
