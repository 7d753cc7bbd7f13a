"""Follows one table of the platform's store.

Reads a snapshot of the table and then its changes, and a new snapshot when the store
has dropped the history or was restored from a copy. During an outage the state that was
read last stays in force.

A restored store gives versions out again, so the versions that were read before say
nothing about it: it may have passed them long ago with other changes.

Every router follows every change, so calls grow with routers times changes. Changes
come in bursts: the first one is read at once, and those that follow it within the
spacing are read together.
"""

import math
import time

import gevent

from bulrushdrum._internal.coordination.store_contact import (
    StoreContact,
    StoreOutage,
)
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.platform.errors import HistoryLost, StoreUnavailable
from bulrushdrum._internal.platform.rows import RowStore, StoredRow

_MIN_RETRY_SECONDS = 0.15
_MAX_RETRY_SECONDS = 0.6


class TableFollower:
    """Calls `on_rows(rows, is_snapshot)` with each snapshot or change of `table`.

    `on_rows` must not block. Rows that are missing from a snapshot no longer exist.
    After changes were read, the next call is made `spacing` seconds later. It waits
    that much less, so that an unresponsive connection is noticed as early as without
    spacing.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        on_rows,
        spacing: float = 0.0,
        clock=time.monotonic,
    ):
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._spacing = spacing
        self._clock = clock
        self._version: int | None = None
        self._has_snapshot = False
        self._available = False
        self._failed_at: float | None = None
        self._recovered_at = float("-inf")
        self._call_sent_at = self._first_failure_sent_at = float("-inf")
        self._contact: StoreContact | None = None
        self._outage: StoreOutage | None = None
        # The era of the rows that were read last, and the last one that was logged.
        self._era: int | None = None
        self._seen_era: int | None = None
        # The version at which the table was first read after a restoration.
        self._restored_version: int | None = None
        # Counted for the metrics.
        self.restorations = 0

    @property
    def has_snapshot(self) -> bool:
        """Whether the table was ever read; what was read stays in force since."""
        return self._has_snapshot

    @property
    def era(self) -> int | None:
        """How often the store was restored from a copy, as it says itself."""
        return self._era

    @property
    def is_available(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._available

    def is_from_copy(self, row: StoredRow) -> bool:
        """Whether a row may come from the copy from which the store was restored.

        It was there when the table was first read after that.
        """
        restored = self._restored_version
        return restored is not None and row.version <= restored

    @property
    def recovered_at(self) -> float:
        """When the store was first reached after its last outage, on `clock`.

        Minus infinity if there was none.
        """
        return self._recovered_at

    @property
    def contact(self) -> StoreContact | None:
        """The contact with the store, or None while it is unavailable."""
        return self._contact

    @property
    def last_outage(self) -> StoreOutage | None:
        """The last outage that has ended, unless the store was restored since."""
        return self._outage

    def seconds_since_outage(self) -> float:
        """Return the time since the store recovered; 0 while it is unavailable."""
        if not self._available:
            return 0.0
        return self._clock() - self._recovered_at

    def run(self):
        retry_seconds, spaced = _MIN_RETRY_SECONDS, 0.0
        while True:
            try:
                has_changes = self._poll(spaced)
                retry_seconds = _MIN_RETRY_SECONDS
                spaced = self._spacing if has_changes else 0.0
                if spaced:
                    gevent.sleep(spaced)
            except HistoryLost as error:
                log_event(
                    Event.STORE_HISTORY_LOST, table=self._table, reason=str(error)
                )
                self._version = None
            except StoreUnavailable as error:
                self._record_failure(error)
                gevent.sleep(retry_seconds)
                retry_seconds = min(retry_seconds * 2, _MAX_RETRY_SECONDS)

    def _poll(self, spaced):
        """Make a call `spaced` seconds after the last; return whether it had rows."""
        is_snapshot = self._version is None
        self._call_sent_at = self._clock()
        if is_snapshot:
            state = self._store.read_table(self._table)
        else:
            # A store that was away may have been restored, which its answer tells. The
            # versions of a restored store can be too low for it to answer with changes.
            shorten_wait = spaced if self._available else math.inf
            state = self._store.read_changes(self._table, self._version, shorten_wait)
        self._record_success()
        if self._is_restored(state):
            self._record_restoration(state)
            if not is_snapshot:
                self._version = None
                return False
            self._restored_version = state.version
        if state.era is not None:
            self._era = state.era
        if is_snapshot or state.rows:
            self._on_rows(state.rows, is_snapshot)
        self._has_snapshot = True
        if self._version is None or state.version > self._version:
            self._version = state.version
        return bool(state.rows)

    def _is_restored(self, state):
        """Whether the store was restored between this state and the one before."""
        return self._era is not None and state.era not in (None, self._era)

    def _record_restoration(self, state):
        if self._seen_era == state.era:
            return
        self._seen_era = state.era
        self.restorations += 1
        self._recovered_at = self._clock()
        # What other routers reached may have been the store before.
        self._outage = None
        log_event(
            Event.STORE_RESTORED,
            table=self._table,
            era=state.era,
            previous=self._era,
            version=state.version,
            version_before=self._version,
        )

    def _record_failure(self, error):
        if self._available or self._failed_at is None:
            self._failed_at = self._clock()
            self._first_failure_sent_at = self._call_sent_at
            log_event(Event.STORE_UNAVAILABLE, table=self._table, reason=str(error))
        self._available = False
        self._contact = None

    def _record_success(self):
        now = self._clock()
        self._contact = StoreContact(self._contact.since if self._contact else now, now)
        if not self._available:
            if self._failed_at is not None:
                self._recovered_at = now
                self._outage = StoreOutage(self._first_failure_sent_at, now)
            outage_seconds = 0.0 if self._failed_at is None else now - self._failed_at
            log_event(
                Event.STORE_AVAILABLE, table=self._table, seconds_away=outage_seconds
            )
        self._available = True
