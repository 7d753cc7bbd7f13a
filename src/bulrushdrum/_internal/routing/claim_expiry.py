"""Removes claim rows after their retention period.

Time is counted in epochs, so that no clocks are compared between VMs. The row
`claim-epoch` holds the current epoch number. Every entry polls it; an entry that has
read the same number for `EPOCH_SECONDS` of its own monotonic clock writes the next one
by compare-and-set. The entry whose write succeeds removes the rows that are
`RETENTION_EPOCHS` old. If it stops before it has removed them, the entry that advances
the next epoch does so.

Each claim is written on the condition that its epoch is current, so a row is retained
for at least `RETENTION_EPOCHS` epochs, even if its entry was paused.
"""

import time

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.platform.errors import (
    PlatformError,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Condition, Write
from bulrushdrum._internal.routing.claim_rows import (
    CLAIM_PREFIX,
    EPOCH_KEY,
    ClaimEpoch,
    read_epoch,
)

EPOCH_SECONDS = 3600.0
# Callers repeat a request within a day; a sidecar's windows span only minutes.
RETENTION_EPOCHS = 24
CHECK_INTERVAL_SECONDS = 60.0
_ROWS_PER_PAGE = 500
# At the largest supported scale a day of claims is 27 million rows. 10 pages a second
# scan them within one epoch and use 10 of the table's 2,000 reads/s.
_PAGE_PAUSE_SECONDS = 0.1


class ClaimExpiry:
    """Advances the epoch and removes old claim rows from `table`.

    `clock` returns monotonic seconds; `pause(seconds)` is called after each page.
    """

    def __init__(self, table, clock=time.monotonic, pause=gevent.sleep):
        self._table = table
        self._clock = clock
        self._pause = pause
        self._observed_epoch: ClaimEpoch | None = None
        self._observed_since = 0.0

    def start(self):
        return gevent.spawn(self._check_forever)

    def check(self) -> int:
        """Advance the epoch if it is due and return the number of removed rows.

        Raises `PlatformError` if the table fails; a later check retries.
        """
        epoch = read_epoch(self._table.read(EPOCH_KEY))
        if epoch != self._observed_epoch:
            self._observed_epoch, self._observed_since = epoch, self._clock()
            return 0
        if self._clock() - self._observed_since < EPOCH_SECONDS:
            return 0
        try:
            self._table.transact(
                [Condition(EPOCH_KEY, epoch.version)],
                [Write(EPOCH_KEY, {"epoch": epoch.number + 1})],
            )
        except (WriteConflict, WriteOutcomeUnknown):
            return 0  # the next check reads the current epoch, whoever advanced it
        removed = self._remove_before(epoch.number + 1 - RETENTION_EPOCHS)
        log_event(Event.CLAIMS_EXPIRED, epoch=epoch.number + 1, removed=removed)
        return removed

    def _remove_before(self, oldest_retained):
        removed, after = 0, ""
        while rows := self._table.scan(CLAIM_PREFIX, after, _ROWS_PER_PAGE):
            old = [row for row in rows if row.value["epoch"] < oldest_retained]
            while old:
                try:
                    self._table.transact(
                        [Condition(row.key, row.version) for row in old],
                        [Write(row.key, None) for row in old],
                    )
                    removed += len(old)
                    break
                except WriteConflict as conflict:
                    # Rows written since the scan are left to the next epoch.
                    changed = {row.key for row in conflict.rows}
                    old = [row for row in old if row.key not in changed]
            after = rows[-1].key
            self._pause(_PAGE_PAUSE_SECONDS)
        return removed

    def _check_forever(self):
        while True:
            gevent.sleep(CHECK_INTERVAL_SECONDS)
            try:
                self.check()
            except PlatformError:
                pass  # the table client logs outages; the next check retries
