"""Applies the registrations of upstreams to the fleet as the store's rows change."""

import math
from collections.abc import Callable, Iterable

from bulrushdrum._internal.coordination.store_contact import StoreContact, served_others
from bulrushdrum._internal.coordination.table_follower import TableFollower
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS, Fleet
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.platform.router_config import decode_upstream
from bulrushdrum._internal.platform.rows import StoredRow


class UpstreamRegistrations:
    """The registrations that a router has read.

    `store_contacts()` returns the contacts of other routers with the store.
    """

    def __init__(
        self, fleet: Fleet, store_contacts: Callable[[], Iterable[StoreContact]]
    ):
        self._fleet = fleet
        self._store_contacts = store_contacts
        # Counted for the metrics.
        self.malformed = 0

    def apply_rows(
        self, rows: list[StoredRow], is_snapshot: bool, follower: TableFollower
    ):
        """Apply the rows that `follower` has read."""
        lapsed_until = follower.recovered_at + LAPSED_GRACE_SECONDS
        if self.store_served_peers(follower):
            lapsed_until = -math.inf
        upstreams, from_copy = [], []
        for row in rows:
            if row.value is None:
                self._fleet.remove(row.key, lapsed_until)
                continue
            try:
                upstream = decode_upstream(row.key, row.value)
            except MalformedRow as error:
                # It replaces what the row held before, as in a snapshot.
                self._fleet.remove(row.key)
                self._log_malformed_row(row, error)
                continue
            is_from_copy = follower.is_from_copy(row)
            (from_copy if is_from_copy else upstreams).append(upstream)
        if is_snapshot:
            self._fleet.replace_all(upstreams, lapsed_until, from_copy)
            return
        for upstream in upstreams:
            self._fleet.put(upstream)

    def store_served_peers(self, follower: TableFollower) -> bool:
        """Whether the last outage of the store was one of this router only."""
        outage = follower.last_outage
        return outage is not None and served_others(outage, self._store_contacts())

    def _log_malformed_row(self, row, error):
        self.malformed += 1
        log_event(
            Event.VM_ROW_INVALID, row=ascii(row.key)[1:-1], reason=str(error)[:300]
        )
