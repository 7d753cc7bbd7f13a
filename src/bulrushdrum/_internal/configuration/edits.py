"""Transactional edits of the configuration.

An edit writes its row, the head and the log entry in one transaction that is
conditional on the versions of the row and of the head. At most one transaction can
therefore create a given revision, and a transaction whose outcome is unknown can be
retried without applying the edit twice.
"""

import random
import re
import secrets
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import gevent
from gevent.lock import BoundedSemaphore

from bulrushdrum._internal.configuration.errors import (
    EditConflict,
    EditOutcomeUnknown,
    EditRefused,
    LogPruned,
)
from bulrushdrum._internal.configuration.log import (
    HEAD_KEY,
    edit_writes,
    encode_value,
    read_log,
    read_log_entry,
    row_key,
)
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.shared_state_messages import ConfigEntry
from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Condition, Table
from bulrushdrum._internal.world.contracts import CUSTOMER_PATTERN, parse_contract
from bulrushdrum._internal.world.errors import InvalidContract, InvalidUpstreamState
from bulrushdrum._internal.world.upstreams import parse_desired_state

CONFIRM_TIMEOUT_SECONDS = 2.0
# Edits of other customers advance the head; an edit retries for this long.
CONTENTION_TIMEOUT_SECONDS = 5.0
RESOLVE_TIMEOUT_SECONDS = 10.0
_INITIAL_BACKOFF_SECONDS = 0.02
_MAX_BACKOFF_SECONDS = 0.3
_RESOLVE_INTERVAL_SECONDS = 0.2
# An edit is resent within a minute, during which about ten edits are made.
_RETRY_LOG_ENTRIES = 500
_UPSTREAM_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,127}")


class AcceptedEdit(NamedTuple):
    """A durable edit and the entries that have and have not confirmed it in force."""

    revision: int
    confirmed: tuple[str, ...] = ()
    unconfirmed: tuple[str, ...] = ()


class _CurrentState(NamedTuple):
    """The row and the head as read before an edit."""

    value: Any
    revision: int
    edit_id: str
    row_version: int
    head: int
    head_version: int


class ConfigurationEditor:
    """Commits the edits that operators request at this entry.

    `entry_names` returns the names of entries that are expected to confirm an edit, in
    addition to the connected ones.
    """

    def __init__(
        self,
        hub: PeerHub,
        table: Table,
        replica: ConfigurationReplica,
        *,
        entry_names: Callable[[], Iterable[str]] | None = None,
        confirm_timeout: float = CONFIRM_TIMEOUT_SECONDS,
        resolve_timeout: float = RESOLVE_TIMEOUT_SECONDS,
    ):
        self._hub = hub
        self._table = table
        self._replica = replica
        self._entry_names = entry_names or (lambda: ())
        self._confirm_timeout = confirm_timeout
        self._resolve_timeout = resolve_timeout
        # Concurrent edits of one entry would make each other's transactions fail.
        self._edit_lock = BoundedSemaphore()
        self._random = random.Random(hub.local_identity.incarnation)

    def edit(
        self,
        kind: str,
        key: str,
        value: Any,
        expected_revision: int,
        edit_id: str = "",
    ) -> AcceptedEdit:
        """Set the value of `kind` (contract or upstream) and `key`.

        `expected_revision` is the revision of the value that the operator has read, 0
        for a new value. If `edit_id` belongs to an edit that was already committed,
        returns the result of that edit. Raises `EditConflict`, `EditRefused` (nothing
        was changed) or `EditOutcomeUnknown`.
        """
        value = _validate_value(kind, key, value)
        edit_id = edit_id or secrets.token_hex(16)
        if not self._edit_lock.acquire(timeout=CONTENTION_TIMEOUT_SECONDS):
            raise EditRefused("busy", "earlier edits are still waiting for the store")
        try:
            entry = self._commit_edit(kind, key, value, expected_revision, edit_id)
        finally:
            self._edit_lock.release()
        self._replica.publish(entry)
        return self._await_confirmations(entry.revision)

    def _commit_edit(self, kind, key, value, expected_revision, edit_id):
        deadline = time.monotonic() + CONTENTION_TIMEOUT_SECONDS
        backoff = _INITIAL_BACKOFF_SECONDS
        while True:
            current = self._read_current(kind, key)
            if current.revision != expected_revision:
                committed = self._find_committed(kind, key, edit_id, current)
                if committed is not None:
                    return committed
                raise EditConflict(key, current.value, current.revision)
            if kind == "contract":
                _check_home_region(value, current.value)
                self._check_api_keys(value, current.head)
            entry = ConfigEntry(
                current.head + 1, kind, key, encode_value(value), edit_id
            )
            if self._transact(entry, value, current):
                return entry
            # Another edit created this revision. Retry from the new head, unless that
            # edit changed the same row.
            if time.monotonic() >= deadline:
                raise EditRefused("busy", "other edits kept coming first")
            # Immediate retries of several entries would exhaust the table's write rate.
            gevent.sleep(self._random.uniform(0, backoff))
            backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)

    def _read_current(self, kind, key):
        in_force = self._replica.revision
        try:
            head = self._table.read(HEAD_KEY)
            row = self._table.read(row_key(kind, key))
        except StoreUnavailable as error:
            raise EditRefused("store_unavailable", str(error)) from error
        stored = row.value if row else {}
        current = _CurrentState(
            stored.get("value"),
            stored.get("revision", 0),
            stored.get("edit_id", ""),
            row.version if row else 0,
            head.value["revision"] if head else 0,
            head.version if head else 0,
        )
        if current.head < in_force:
            # Entries would ignore the new revision, having already applied that number.
            raise EditRefused(
                "store_behind",
                f"the table is at revision {current.head}, and {in_force} is in force: "
                "it was set back to an older state",
            )
        return current

    def _find_committed(self, kind, key, edit_id, current):
        """Return the log entry of this edit if an earlier attempt committed it.

        The row stores the id of its last edit. If a later edit has replaced it, the
        last `_RETRY_LOG_ENTRIES` entries of the log are searched.
        """
        if current.edit_id == edit_id:
            text = encode_value(current.value)
            return ConfigEntry(current.revision, kind, key, text, edit_id)
        try:
            logged = read_log(self._table, max(0, current.head - _RETRY_LOG_ENTRIES))
        except LogPruned:
            return None  # older than any edit that may be resent
        except StoreUnavailable as error:
            raise EditRefused("store_unavailable", str(error)) from error
        return next((entry for entry in logged if entry.edit_id == edit_id), None)

    def _check_api_keys(self, value, head):
        """Refuse an API key that belongs to another customer.

        The result remains valid until the transaction, which is conditional on the
        version of the head.
        """
        if not self._replica.wait_for(head, CONTENTION_TIMEOUT_SECONDS):
            raise EditRefused("busy", f"this entry has not yet applied revision {head}")
        for digest in value["api_key_hashes"]:
            for other in self._replica.store.customers_by_hash(digest):
                contract = self._replica.contract(other)
                if other == value["customer"] or contract is None:
                    continue
                if digest in contract.api_key_hashes:
                    raise EditRefused(
                        "invalid", f"API key hash {digest} belongs to {other!r}"
                    )

    def _transact(self, entry, value, current):
        """Run the transaction; return false if another edit created this revision."""
        conditions = [
            Condition(row_key(entry.kind, entry.key), current.row_version),
            Condition(HEAD_KEY, current.head_version),
        ]
        writes = edit_writes(entry, value)
        try:
            self._table.transact(conditions, writes)
            return True
        except WriteConflict:
            return False
        except StoreUnavailable as error:
            raise EditRefused("store_unavailable", str(error)) from error
        except WriteOutcomeUnknown as error:
            return self._resolve_outcome(entry, conditions, writes, str(error))

    def _resolve_outcome(self, entry, conditions, writes, reason):
        """Determine whether a transaction with an unknown outcome was committed.

        A read is not sufficient, because the request may still be in transit. The same
        transaction is retried: it either commits, or fails because the revision exists.
        In that case the log entry shows which edit created the revision.
        """
        deadline = time.monotonic() + self._resolve_timeout
        while time.monotonic() < deadline:
            try:
                self._table.transact(conditions, writes)
                return True
            except WriteConflict:
                pass
            except (StoreUnavailable, WriteOutcomeUnknown) as error:
                reason = str(error)
                gevent.sleep(_RESOLVE_INTERVAL_SECONDS)
                continue
            try:
                logged = read_log_entry(self._table, entry.revision)
            except StoreUnavailable as error:
                reason = str(error)
                gevent.sleep(_RESOLVE_INTERVAL_SECONDS)
                continue
            return logged is not None and logged.edit_id == entry.edit_id
        raise EditOutcomeUnknown(entry.edit_id, f"the edit is not settled: {reason}")

    def _await_confirmations(self, revision):
        local_name = self._hub.local_identity.node
        deadline = time.monotonic() + self._confirm_timeout
        while True:
            expected = {local_name, *self._entry_names(), *self._connected_names()}
            confirmed = self._replica.confirmed_by(revision)
            if self._replica.ready and self._replica.revision >= revision:
                confirmed.add(local_name)
            missing = sorted(expected - confirmed)
            if not missing or time.monotonic() >= deadline:
                break
            gevent.sleep(0.01)
        if missing:
            log_event(
                Event.CONFIGURATION_UNCONFIRMED, revision=revision, entries=missing
            )
        return AcceptedEdit(revision, tuple(sorted(confirmed)), tuple(missing))

    def _connected_names(self):
        return [connection.peer.node for connection in self._hub.connections("entry")]


def _check_home_region(value, current):
    """Refuse to change the home region, which determines who owns the permits."""
    if current is None:
        return
    home = current.get("home_region", "")
    if value["home_region"] != home:
        raise EditRefused(
            "invalid",
            f"home_region: {value['home_region']!r} is not {home!r}; it is fixed when "
            "the contract is made",
        )


def _validate_value(kind, key, value):
    """Return the value with all fields; raises `EditRefused` if it is invalid."""
    pattern = CUSTOMER_PATTERN if kind == "contract" else _UPSTREAM_PATTERN
    if not isinstance(key, str) or not pattern.fullmatch(key):
        raise EditRefused("invalid", f"{key!r} is not a name like 'warwick-market'")
    try:
        match kind:
            case "contract":
                contract = parse_contract(value)
                if contract.customer != key:
                    raise EditRefused(
                        "invalid",
                        f"the contract is of {contract.customer!r}, not {key!r}",
                    )
                return contract._asdict()
            case "upstream":
                return parse_desired_state(value)._asdict()
    except (InvalidContract, InvalidUpstreamState) as error:
        raise EditRefused("invalid", str(error)) from error
    raise EditRefused("invalid", f"{kind!r} is not contract or upstream")
