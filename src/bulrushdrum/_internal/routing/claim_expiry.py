"""Removes claim rows after their retention.

Time is counted in epochs, so that no clocks are compared between VMs. The row
`claim-epoch` holds the current number. Every entry watches it; one that has seen the
same number for `EPOCH_SECONDS` of its own monotonic clock writes the next one by
compare-and-set. The entry whose write took effect removes the rows that are
`KEPT_EPOCHS` old. If it dies meanwhile, the winner of the next epoch removes them.

Each claim is written on the condition that the epoch it names is current, so a row
stays for at least `KEPT_EPOCHS` epochs, even if its entry was paused.
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
# Callers resend within a day; a sidecar's windows need minutes only.
KEPT_EPOCHS = 24
CHECK_SECONDS = 60.0
_ROWS_PER_PAGE = 500
# A day of claims at full size is 27 million rows; at 10 pages a second the removal of
# one epoch's share reads them within the epoch and takes 10 of 2,000 reads/s.
_PAGE_PAUSE_SECONDS = 0.1


class ClaimExpiry:
    """Advances the epoch and removes old claim rows from `table`.

    `clock` returns monotonic seconds; `pause(seconds)` separates pages of rows.
    """

    def __init__(self, table, clock=time.monotonic, pause=gevent.sleep):
        self._table = table
        self._clock = clock
        self._pause = pause
        self._seen: ClaimEpoch | None = None
        self._seen_since = 0.0

    def start(self):
        return gevent.spawn(self._check_forever)

    def check(self) -> int:
        """Advance the epoch if it is due and return how many rows were removed.

        Raises `PlatformError` if the table fails; a later check continues.
        """
        epoch = read_epoch(self._table.read(EPOCH_KEY))
        if epoch != self._seen:
            self._seen, self._seen_since = epoch, self._clock()
            return 0
        if self._clock() - self._seen_since < EPOCH_SECONDS:
            return 0
        try:
            self._table.transact(
                [Condition(EPOCH_KEY, epoch.version)],
                [Write(EPOCH_KEY, {"epoch": epoch.number + 1})],
            )
        except (WriteConflict, WriteOutcomeUnknown):
            return 0  # whoever advanced it, this entry sees the new epoch next time
        removed = self._remove_before(epoch.number + 1 - KEPT_EPOCHS)
        log_event(Event.CLAIMS_EXPIRED, epoch=epoch.number + 1, removed=removed)
        return removed

    def _remove_before(self, oldest_kept):
        removed, after = 0, ""
        while rows := self._table.scan(CLAIM_PREFIX, after, _ROWS_PER_PAGE):
            old = [row for row in rows if row.value["epoch"] < oldest_kept]
            while old:
                try:
                    self._table.transact(
                        [Condition(row.key, row.version) for row in old],
                        [Write(row.key, None) for row in old],
                    )
                    removed += len(old)
                    break
                except WriteConflict as conflict:
                    # Rows written since the scan stay for the next epoch.
                    changed = {row.key for row in conflict.rows}
                    old = [row for row in old if row.key not in changed]
            after = rows[-1].key
            self._pause(_PAGE_PAUSE_SECONDS)
        return removed

    def _check_forever(self):
        while True:
            gevent.sleep(CHECK_SECONDS)
            try:
                self.check()
            except PlatformError:
                pass  # the table's client reports outages; the next check continues
