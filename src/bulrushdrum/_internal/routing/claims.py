"""Claim rows: which sidecar incarnation may run an idempotency key.

A row `claim/<customer>/<key>` is inserted if absent before the request is sent, and
says which incarnation is the only one that may run it. `ClaimStore` writes, reads and
moves these rows:

>>> store = ClaimStore(table)  # doctest: +SKIP
>>> binding = store.bind("warwick", "k1", "f", proposal)  # doctest: +SKIP
>>> binding.generation  # doctest: +SKIP
0

Claims that arrive within `GROUP_SECONDS` share a transaction. A write whose answer was
lost is settled by reading the row and comparing its random `claim_id`. Every failure of
the table is raised as `ClaimsUnavailable`.
"""

import secrets
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult, Event

from bulrushdrum._internal.observability.events import Event as LogEvent
from bulrushdrum._internal.observability.events import log_event
from bulrushdrum._internal.peering.messages import CallResult
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
    stored_bytes,
)
from bulrushdrum._internal.routing.errors import ClaimsUnavailable, KeyReused

GROUP_SECONDS = 0.02
MAX_RESULT_BYTES = 16 * 1024
# Results wait for the table in memory; 4 MB are about 250 of the largest.
MAX_QUEUED_RESULT_BYTES = 4 * 1024 * 1024
RESULT_INTERVAL_SECONDS = 1.0
_ROWS_PER_TRANSACTION = 50
# Each round ends at least one claim, learns the epoch or meets a lost answer.
_MAX_ROUNDS = 8
_NOWHERE = BindingProposal("", "", 0)


class _Claim(NamedTuple):
    """A claim that waits for its transaction."""

    binding: Binding
    settled: AsyncResult


class ClaimStore:
    """The claim rows in `table`."""

    def __init__(self, table):
        self._table = table
        self._epoch: ClaimEpoch | None = None
        self._claims: dict[str, _Claim] = {}
        self._results: dict[str, Binding] = {}
        self._result_bytes = 0
        self._dropped_results = 0
        self._results_waiting = Event()

    def start(self):
        """Write results in the background until the process ends."""
        return gevent.spawn(self._write_results_forever)

    def find(self, customer: str, key: str) -> Binding | None:
        """Return the binding of a key, or None if no entry has claimed it."""
        try:
            row = self._table.read(claim_row_key(customer, key))
        except PlatformError as error:
            raise ClaimsUnavailable(f"claim cannot be read: {error}") from error
        return None if row is None else decode_binding(customer, key, row)

    def bind(
        self,
        customer: str,
        key: str,
        fingerprint: str,
        proposal: BindingProposal | None,
    ) -> Binding:
        """Bind the key to `proposal` if it is new; return the binding in force.

        Without a proposal a new key is released at once, so that no entry that was
        paused before it wrote its claim can run it. Raises `KeyReused` if the key was
        bound for another fingerprint.
        """
        row_key = claim_row_key(customer, key)
        claim = self._claims.get(row_key)
        if claim is None:
            binding = Binding(
                customer,
                key,
                *(proposal or _NOWHERE),
                generation=0,
                fingerprint=fingerprint,
                claim_id=secrets.token_hex(16),
                released=proposal is None,
            )
            claim = _Claim(binding, AsyncResult())
            self._claims[row_key] = claim
            if len(self._claims) >= _ROWS_PER_TRANSACTION:
                gevent.spawn(self._write_group, self._take_claims())
            elif len(self._claims) == 1:
                gevent.spawn_later(
                    GROUP_SECONDS, lambda: self._write_group(self._take_claims())
                )
        bound = claim.settled.get()
        if bound.fingerprint != fingerprint:
            raise KeyReused(f"idempotency key {key!r} belongs to another request")
        return bound

    def rebind(self, binding: Binding, proposal: BindingProposal) -> Binding:
        """Move a binding to the next generation and return the binding in force.

        Only for a binding that its sidecar has cancelled, or a released one: the old
        generation must be known not to run. Another entry may have moved it first.
        """
        return self._replace(binding, proposal)

    def release(self, binding: Binding) -> Binding:
        """Release a cancelled binding, or a released one again, as `rebind` does.

        The write makes every other write that was prepared with the old row fail. So
        after it, and only then, an entry may say that the key did not run.
        """
        return self._replace(binding, None)

    def mark_done(self, binding: Binding, result: CallResult):
        """Queue `result` for the row, so that it outlives the sidecar's windows.

        The binding of an issued key gets a row only now. Results over
        `MAX_RESULT_BYTES` are not written, and none while the queue is full.
        """
        size = stored_bytes(result)
        row_key = claim_row_key(binding.customer, binding.key)
        if (
            binding.done is not None
            or size > MAX_RESULT_BYTES
            or row_key in self._results
        ):
            return
        if self._result_bytes + size > MAX_QUEUED_RESULT_BYTES:
            self._dropped_results += 1
            return
        self._results[row_key] = binding._replace(done=result)
        self._result_bytes += size
        self._results_waiting.set()

    def write_results(self):
        """Write the queued results; raises `ClaimsUnavailable` and keeps the rest."""
        while self._results:
            batch = dict(list(self._results.items())[:_ROWS_PER_TRANSACTION])
            try:
                self._write_batch(batch)
            except (StoreUnavailable, WriteOutcomeUnknown) as error:
                # A retry meets its own write as a conflict and drops the result.
                raise ClaimsUnavailable(f"results not written: {error}") from error

    def drain(self):
        """Write the queued results before the process ends.

        Those that cannot be written now are lost here; their sidecars keep them for
        their windows.
        """
        try:
            self.write_results()
        except ClaimsUnavailable as error:
            log_event(
                LogEvent.CLAIM_RESULTS_DELAYED,
                waiting=len(self._results),
                dropped=self._dropped_results,
                reason=str(error),
            )

    def dump(self) -> dict:
        return {
            "claims_waiting": len(self._claims),
            "results_waiting": len(self._results),
            "result_bytes_waiting": self._result_bytes,
            "results_dropped": self._dropped_results,
        }

    def _take_claims(self):
        claims, self._claims = self._claims, {}
        return claims

    def _write_group(self, unsettled):
        try:
            for _ in range(_MAX_ROUNDS):
                if not unsettled:
                    return
                self._write_claims(unsettled)
            raise ClaimsUnavailable(f"claims not settled in {_MAX_ROUNDS} rounds")
        except PlatformError as error:
            failure = ClaimsUnavailable(f"claims not settled: {error}")
        except Exception as error:  # the waiting requests must hear of any failure
            failure = error
        for claim in unsettled.values():
            claim.settled.set_exception(failure)

    def _write_claims(self, unsettled):
        """Write the claims in one transaction and remove those that are settled."""
        epoch = self._current_epoch()
        conditions = [Condition(EPOCH_KEY, epoch.version)]
        conditions += [Condition(row_key, 0) for row_key in unsettled]
        writes = [
            Write(row_key, encode_binding(claim.binding, epoch.number))
            for row_key, claim in unsettled.items()
        ]
        try:
            versions = self._table.transact(conditions, writes)
        except WriteConflict as conflict:
            self._learn_epoch(conflict)
            for row in conflict.rows:
                if row.key != EPOCH_KEY and row.value is not None:
                    _settle(unsettled, row)
            return
        except WriteOutcomeUnknown:
            for row_key in list(unsettled):
                row = self._table.read(row_key)
                if row is not None:
                    _settle(unsettled, row)
            return
        for row_key, version in zip(list(unsettled), versions, strict=True):
            claim = unsettled.pop(row_key)
            claim.settled.set(claim.binding._replace(version=version, own=True))

    def _replace(self, old: Binding, proposal: BindingProposal | None) -> Binding:
        row_key = claim_row_key(old.customer, old.key)
        new = Binding(
            old.customer,
            old.key,
            *(proposal or _NOWHERE),
            generation=old.generation + 1,
            fingerprint=old.fingerprint,
            claim_id=secrets.token_hex(16),
            released=proposal is None,
        )
        try:
            for _ in range(_MAX_ROUNDS):
                epoch = self._current_epoch()
                # Versions start again at 1 when an expired row is written anew. The
                # claim id shows that it is the old row, and the condition on the
                # epoch that it did not expire after it was read.
                row = self._table.read(row_key)
                if row is None:
                    raise ClaimsUnavailable("the claim has expired")
                current = decode_binding(old.customer, old.key, row)
                if current.claim_id != old.claim_id or row.version != old.version:
                    return current._replace(own=current.claim_id == new.claim_id)
                try:
                    (version,) = self._table.transact(
                        [
                            Condition(EPOCH_KEY, epoch.version),
                            Condition(row_key, old.version),
                        ],
                        [Write(row_key, encode_binding(new, epoch.number))],
                    )
                    return new._replace(version=version, own=True)
                except WriteConflict as conflict:
                    self._learn_epoch(conflict)
                except WriteOutcomeUnknown:
                    pass  # the next round reads whether the write took effect
        except PlatformError as error:
            raise ClaimsUnavailable(f"claim not moved: {error}") from error
        raise ClaimsUnavailable(f"claim not moved in {_MAX_ROUNDS} rounds")

    def _learn_epoch(self, conflict):
        for row in conflict.rows:
            if row.key == EPOCH_KEY:
                self._epoch = read_epoch(row)

    def _current_epoch(self) -> ClaimEpoch:
        if self._epoch is None:
            self._epoch = read_epoch(self._table.read(EPOCH_KEY))
        return self._epoch

    def _write_batch(self, batch):
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
            self._learn_epoch(conflict)
            for row in conflict.rows:
                if row.key != EPOCH_KEY:
                    self._drop_result(row.key)
            return
        for row_key in batch:
            self._drop_result(row_key)

    def _drop_result(self, row_key):
        # `drain` may have written the same batch meanwhile.
        binding = self._results.pop(row_key, None)
        if binding is not None:
            self._result_bytes -= stored_bytes(binding.done)

    def _write_results_forever(self):
        while True:
            self._results_waiting.wait()
            # Results of one interval share transactions.
            gevent.sleep(RESULT_INTERVAL_SECONDS)
            self._results_waiting.clear()
            try:
                self.write_results()
            except ClaimsUnavailable as error:
                self._results_waiting.set()
                log_event(
                    LogEvent.CLAIM_RESULTS_DELAYED,
                    waiting=len(self._results),
                    dropped=self._dropped_results,
                    reason=str(error),
                )


def _settle(unsettled, row):
    claim = unsettled.pop(row.key)
    wanted = claim.binding
    binding = decode_binding(wanted.customer, wanted.key, row)
    claim.settled.set(binding._replace(own=binding.claim_id == wanted.claim_id))
