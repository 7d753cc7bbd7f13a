"""The configuration that a router applies, and which rows of the store may replace it.

A newer version replaces an older one at once. The copy of a restored store does not: a
change that was confirmed stays in force. If the operator goes on from the copy, it
writes versions below the one in force after the restoration. They are applied when the
operator has had time to write again what was lost.

A router that has just started knows no earlier version. It applies none that is older
than what its peers apply, which have seen more of the store.
"""

import time
from collections.abc import Callable

from bulrushdrum._internal.coordination.table_follower import TableFollower
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.platform.router_config import decode_configuration
from bulrushdrum._internal.platform.rows import CONFIGURATION_KEY, StoredRow
from bulrushdrum._internal.world.routes import RouterConfiguration

# A router that has just started waits this long for the first announcement of a peer.
# Peers answer at once, so that only routers that are gone are waited for.
_MAX_PEER_WAIT_SECONDS = 0.1


class ConfigurationInForce:
    """The configuration of one router.

    `newest_peer_version()` returns the newest version that a live peer applies, and
    `hears_peers()` whether another router has been heard, or none is registered.
    """

    def __init__(
        self,
        newest_peer_version: Callable[[], int],
        hears_peers: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ):
        self._newest_peer_version = newest_peer_version
        self._hears_peers = hears_peers
        self._clock = clock
        self._started_at = clock()
        self._latest: RouterConfiguration | None = None
        # A configuration with a lower version that was written after a restoration.
        self._lower: RouterConfiguration | None = None
        self._is_confirmed = False

    @property
    def value(self) -> RouterConfiguration | None:
        """The configuration in force; None if none is known that is new enough."""
        return self._latest if self._confirm() else None

    @property
    def version(self) -> int:
        """The version in force, or 0."""
        return self._latest.version if self._confirm() else 0

    def _confirm(self):
        if self._is_confirmed or self._latest is None:
            return self._is_confirmed
        waited = self._clock() - self._started_at
        if not self._hears_peers() and waited < _MAX_PEER_WAIT_SECONDS:
            return False
        self._is_confirmed = self._latest.version >= self._newest_peer_version()
        return self._is_confirmed

    def apply_rows(self, rows: list[StoredRow], follower: TableFollower):
        """Apply the rows that `follower` has read."""
        for row in rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            try:
                configuration = decode_configuration(row.value)
            except MalformedRow as error:
                log_event(Event.CONFIGURATION_INVALID, reason=str(error))
                continue
            self._lower = None
            if self._latest is None or configuration.version > self._latest.version:
                self._apply(configuration)
            elif configuration.version < self._latest.version:
                is_from_copy = follower.is_from_copy(row)
                log_event(
                    Event.CONFIGURATION_OLDER,
                    revision=configuration.version,
                    in_force=self._latest.version,
                    from_copy=is_from_copy,
                    restorations=follower.restorations,
                )
                if follower.restorations and not is_from_copy:
                    self._lower = configuration
        self.apply_due(follower)

    def apply_due(self, follower: TableFollower):
        """Apply a lower version if the store still holds it after a while."""
        if (
            self._lower is not None
            and follower.seconds_since_outage() >= LAPSED_GRACE_SECONDS
        ):
            self._apply(self._lower)
            self._lower = None

    def _apply(self, configuration):
        self._latest = configuration
        log_event(Event.CONFIGURATION_APPLIED, revision=configuration.version)
