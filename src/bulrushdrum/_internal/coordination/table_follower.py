"""Follows one table of the platform's store.

Reads the table whole, then waits for changes; reads it again whole when the store has
dropped the history. While the store is away, what was read last stays in force.
"""

import time

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.platform.errors import HistoryLost, StoreUnavailable
from bulrushdrum._internal.platform.rows import RowStore

_RETRY_SECONDS = 0.15
_LONGEST_RETRY_SECONDS = 0.6


class TableFollower:
    """Calls `on_rows(rows, whole)` with each state or change of `table`.

    `on_rows` must not block. `whole` says that rows which are not listed are gone.
    """

    def __init__(self, store: RowStore, table: str, on_rows, clock=time.monotonic):
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._clock = clock
        self._version: int | None = None
        self._available = False
        self._failed_at: float | None = None
        self._returned_at = float("-inf")

    @property
    def has_read(self) -> bool:
        return self._version is not None

    @property
    def is_available(self) -> bool:
        """Whether the store answered the last call."""
        return self._available

    def seconds_since_outage(self) -> float:
        """Return the time since the store came back; 0 while it is away."""
        if not self._available:
            return 0.0
        return self._clock() - self._returned_at

    def run(self):
        retry = _RETRY_SECONDS
        while True:
            try:
                self._step()
                retry = _RETRY_SECONDS
            except HistoryLost as error:
                log_event(
                    Event.STORE_HISTORY_LOST, table=self._table, reason=str(error)
                )
                self._version = None
            except StoreUnavailable as error:
                self._note_failure(error)
                gevent.sleep(retry)
                retry = min(retry * 2, _LONGEST_RETRY_SECONDS)

    def _step(self):
        whole = self._version is None
        if whole:
            state = self._store.read_table(self._table)
        else:
            state = self._store.read_changes(self._table, self._version)
        self._note_success()
        if whole or state.rows:
            self._on_rows(state.rows, whole)
        if self._version is None or state.version > self._version:
            self._version = state.version

    def _note_failure(self, error):
        if self._available or self._failed_at is None:
            self._failed_at = self._clock()
            log_event(Event.STORE_UNAVAILABLE, table=self._table, reason=str(error))
        self._available = False

    def _note_success(self):
        if not self._available:
            if self._failed_at is not None:
                self._returned_at = self._clock()
            away = 0.0 if self._failed_at is None else self._clock() - self._failed_at
            log_event(Event.STORE_AVAILABLE, table=self._table, seconds_away=away)
        self._available = True
