"""Claim rows: which sidecar incarnation may run an idempotency key.

Before a request is sent, the row `claim/<customer>/<key>` is inserted if absent. It
names the only incarnation that may run the key. `ClaimStore` writes, reads and updates
these rows:

>>> store = ClaimStore(table)  # doctest: +SKIP
>>> binding = store.bind("warwick", "k1", "f", proposal)  # doctest: +SKIP
>>> binding.generation  # doctest: +SKIP
0

Claims that arrive within `BATCH_DELAY_SECONDS` share a transaction. A write with an
unknown outcome is settled by reading the row and comparing its random `claim_id`. Every
failure of the table is raised as `ClaimsUnavailable`.
"""

import secrets
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult, Event

from bulrushdrum._internal.observability.events import Event as LogEvent
from bulrushdrum._internal.observability.events import log_event
from bulrushdrum._internal.peering.request_messages import CallResult
from bulrushdrum._internal.platform.errors import (
    PlatformError,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Condition, Write
from bulrushdrum._internal.routing.claim_rows import (
    EPOCH_KEY,
    Binding,
    BindingProposal,
    ClaimEpoch,
    claim_row_key,
    decode_binding,
    encode_binding,
    read_epoch,
    result_size_bytes,
)
from bulrushdrum._internal.routing.errors import ClaimsUnavailable, KeyReused

BATCH_DELAY_SECONDS = 0.02
MAX_RESULT_BYTES = 16 * 1024
# Results are queued in memory until they are written; 4 MB hold about 250 of the
# maximum size.
MAX_QUEUED_RESULT_BYTES = 4 * 1024 * 1024
RESULT_BATCH_INTERVAL_SECONDS = 1.0
_ROWS_PER_TRANSACTION = 50
# Each attempt settles at least one claim, reads a newer epoch, or has an unknown
# outcome.
_MAX_WRITE_ATTEMPTS = 8
_NO_PROPOSAL = BindingProposal("", "", 0)


class _Claim(NamedTuple):
    """A claim that is waiting for its transaction."""

    binding: Binding
    settled: AsyncResult


class ClaimStore:
    """Reads and writes the claim rows in `table`."""

    def __init__(self, table):
        self._table = table
        self._epoch: ClaimEpoch | None = None
        self._pending_claims: dict[str, _Claim] = {}
        self._queued_results: dict[str, Binding] = {}
        self._queued_result_bytes = 0
        self._dropped_result_count = 0
        self._results_queued = Event()

    def start(self):
        """Write queued results in the background until the process ends."""
        return gevent.spawn(self._write_results_forever)

    def find(self, customer: str, key: str) -> Binding | None:
        """Return the binding of a key, or None if no entry has claimed it."""
        try:
            row = self._table.read(claim_row_key(customer, key))
        except PlatformError as error:
            raise ClaimsUnavailable(f"cannot read the claim row: {error}") from error
        return None if row is None else decode_binding(customer, key, row)

    def bind(
        self,
        customer: str,
        key: str,
        fingerprint: str,
        proposal: BindingProposal | None,
    ) -> Binding:
        """Bind the key to `proposal` if it is new, and return the current binding.

        Without a proposal a new key is released at once, so that an entry that was
        paused before it wrote its claim cannot run it. Raises `KeyReused` if the key
        is bound to a request with another fingerprint.
        """
        row_key = claim_row_key(customer, key)
        claim = self._pending_claims.get(row_key)
        if claim is None:
            binding = Binding(
                customer,
                key,
                *(proposal or _NO_PROPOSAL),
                generation=0,
                fingerprint=fingerprint,
                claim_id=secrets.token_hex(16),
                released=proposal is None,
            )
            claim = _Claim(binding, AsyncResult())
            self._pending_claims[row_key] = claim
            if len(self._pending_claims) >= _ROWS_PER_TRANSACTION:
                gevent.spawn(self._write_claim_batch, self._take_pending_claims())
            elif len(self._pending_claims) == 1:
                gevent.spawn_later(
                    BATCH_DELAY_SECONDS,
                    lambda: self._write_claim_batch(self._take_pending_claims()),
                )
        bound = claim.settled.get()
        if bound.fingerprint != fingerprint:
            raise KeyReused(f"idempotency key {key!r} is bound to another request")
        return bound

    def rebind(self, binding: Binding, proposal: BindingProposal) -> Binding:
        """Bind the key again under the next generation and return the current binding.

        The old binding must be released, or cancelled by its sidecar, so that the old
        generation cannot run. If another entry has replaced it first, its binding is
        returned.
        """
        return self._write_next_generation(binding, proposal)

    def release(self, binding: Binding) -> Binding:
        """Release a cancelled binding, or release a released one again.

        Like `rebind`, it returns the current binding. The write invalidates every
        pending write that is conditional on the old row. Only after it may an entry
        report that the key did not run.
        """
        return self._write_next_generation(binding, None)

    def queue_result(self, binding: Binding, result: CallResult):
        """Queue `result` for the claim row, where it outlives the sidecar's windows.

        An issued key has no claim row until its result is written. Results over
        `MAX_RESULT_BYTES` are not stored, and neither are results that do not fit into
        the queue.
        """
        size = result_size_bytes(result)
        row_key = claim_row_key(binding.customer, binding.key)
        if (
            binding.stored_result is not None
            or size > MAX_RESULT_BYTES
            or row_key in self._queued_results
        ):
            return
        if self._queued_result_bytes + size > MAX_QUEUED_RESULT_BYTES:
            self._dropped_result_count += 1
            return
        self._queued_results[row_key] = binding._replace(stored_result=result)
        self._queued_result_bytes += size
        self._results_queued.set()

    def write_results(self):
        """Write the queued results.

        Raises `ClaimsUnavailable` if the table fails; unwritten results stay queued.
        """
        while self._queued_results:
            batch = dict(list(self._queued_results.items())[:_ROWS_PER_TRANSACTION])
            try:
                self._write_result_batch(batch)
            except (StoreUnavailable, WriteOutcomeUnknown) as error:
                # If the write took effect, the retry conflicts with it and removes the
                # results from the queue.
                raise ClaimsUnavailable(f"cannot write results: {error}") from error

    def drain(self):
        """Write the queued results before the process ends.

        Results that cannot be written are lost to this entry; the sidecars still hold
        them until their windows expire.
        """
        try:
            self.write_results()
        except ClaimsUnavailable as error:
            log_event(
                LogEvent.CLAIM_RESULTS_DELAYED,
                waiting=len(self._queued_results),
                dropped=self._dropped_result_count,
                reason=str(error),
            )

    def dump(self) -> dict:
        return {
            "claims_waiting": len(self._pending_claims),
            "results_waiting": len(self._queued_results),
            "result_bytes_waiting": self._queued_result_bytes,
            "results_dropped": self._dropped_result_count,
        }

    def _take_pending_claims(self):
        claims, self._pending_claims = self._pending_claims, {}
        return claims

    def _write_claim_batch(self, pending):
        try:
            for _ in range(_MAX_WRITE_ATTEMPTS):
                if not pending:
                    return
                self._try_write_claims(pending)
            raise ClaimsUnavailable(
                f"cannot write claims: gave up after {_MAX_WRITE_ATTEMPTS} attempts"
            )
        except PlatformError as error:
            failure = ClaimsUnavailable(f"cannot write claims: {error}")
        except Exception as error:  # raised to the waiting requests, whatever it is
            failure = error
        for claim in pending.values():
            claim.settled.set_exception(failure)

    def _try_write_claims(self, pending):
        """Try to write the claims in one transaction; removes the settled ones."""
        epoch = self._current_epoch()
        conditions = [Condition(EPOCH_KEY, epoch.version)]
        conditions += [Condition(row_key, 0) for row_key in pending]
        writes = [
            Write(row_key, encode_binding(claim.binding, epoch.number))
            for row_key, claim in pending.items()
        ]
        try:
            versions = self._table.transact(conditions, writes)
        except WriteConflict as conflict:
            self._update_epoch(conflict)
            for row in conflict.rows:
                if row.key != EPOCH_KEY and row.value is not None:
                    _settle(pending, row)
            return
        except WriteOutcomeUnknown:
            for row_key in list(pending):
                row = self._table.read(row_key)
                if row is not None:
                    _settle(pending, row)
            return
        for row_key, version in zip(list(pending), versions, strict=True):
            claim = pending.pop(row_key)
            claim.settled.set(claim.binding._replace(version=version, wrote_row=True))

    def _write_next_generation(
        self, old: Binding, proposal: BindingProposal | None
    ) -> Binding:
        row_key = claim_row_key(old.customer, old.key)
        new = Binding(
            old.customer,
            old.key,
            *(proposal or _NO_PROPOSAL),
            generation=old.generation + 1,
            fingerprint=old.fingerprint,
            claim_id=secrets.token_hex(16),
            released=proposal is None,
        )
        try:
            for _ in range(_MAX_WRITE_ATTEMPTS):
                epoch = self._current_epoch()
                # Versions restart at 1 when a row is created again after it expired.
                # The claim id identifies the row, and the condition on the epoch
                # ensures that the row has not expired since it was read.
                row = self._table.read(row_key)
                if row is None:
                    raise ClaimsUnavailable("the claim row has expired")
                current = decode_binding(old.customer, old.key, row)
                if current.claim_id != old.claim_id or row.version != old.version:
                    return current._replace(wrote_row=current.claim_id == new.claim_id)
                try:
                    (version,) = self._table.transact(
                        [
                            Condition(EPOCH_KEY, epoch.version),
                            Condition(row_key, old.version),
                        ],
                        [Write(row_key, encode_binding(new, epoch.number))],
                    )
                    return new._replace(version=version, wrote_row=True)
                except WriteConflict as conflict:
                    self._update_epoch(conflict)
                except WriteOutcomeUnknown:
                    pass  # the next attempt reads whether the write took effect
        except PlatformError as error:
            raise ClaimsUnavailable(f"cannot update the claim row: {error}") from error
        raise ClaimsUnavailable(
            f"cannot update the claim row: gave up after {_MAX_WRITE_ATTEMPTS} attempts"
        )

    def _update_epoch(self, conflict):
        for row in conflict.rows:
            if row.key == EPOCH_KEY:
                self._epoch = read_epoch(row)

    def _current_epoch(self) -> ClaimEpoch:
        if self._epoch is None:
            self._epoch = read_epoch(self._table.read(EPOCH_KEY))
        return self._epoch

    def _write_result_batch(self, batch):
        epoch = self._current_epoch()
        conditions = [Condition(EPOCH_KEY, epoch.version)]
        conditions += [
            Condition(row_key, binding.version) for row_key, binding in batch.items()
        ]
        writes = [
            Write(row_key, encode_binding(binding, epoch.number))
            for row_key, binding in batch.items()
        ]
        try:
            self._table.transact(conditions, writes)
        except WriteConflict as conflict:
            self._update_epoch(conflict)
            for row in conflict.rows:
                if row.key != EPOCH_KEY:
                    self._dequeue_result(row.key)
            return
        for row_key in batch:
            self._dequeue_result(row_key)

    def _dequeue_result(self, row_key):
        # The result may already be gone: `drain` can write the same batch concurrently.
        binding = self._queued_results.pop(row_key, None)
        if binding is not None:
            self._queued_result_bytes -= result_size_bytes(binding.stored_result)

    def _write_results_forever(self):
        while True:
            self._results_queued.wait()
            # Batches the results of one interval.
            gevent.sleep(RESULT_BATCH_INTERVAL_SECONDS)
            self._results_queued.clear()
            try:
                self.write_results()
            except ClaimsUnavailable as error:
                self._results_queued.set()
                log_event(
                    LogEvent.CLAIM_RESULTS_DELAYED,
                    waiting=len(self._queued_results),
                    dropped=self._dropped_result_count,
                    reason=str(error),
                )


def _settle(pending, row):
    claim = pending.pop(row.key)
    wanted = claim.binding
    binding = decode_binding(wanted.customer, wanted.key, row)
    claim.settled.set(binding._replace(wrote_row=binding.claim_id == wanted.claim_id))
