"""Edits of the configuration: one transaction each, settled even if answers are lost.

An edit writes its row, the head and the log entry in one transaction that compares the
versions of the row and of the head. At most one transaction can therefore make a given
revision, and sending the same one again can never make the edit twice.
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
from bulrushdrum._internal.peering.messages import ConfigEntry
from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Condition, Table
from bulrushdrum._internal.world.contracts import CUSTOMER_PATTERN, parse_contract
from bulrushdrum._internal.world.errors import InvalidContract, InvalidUpstreamState
from bulrushdrum._internal.world.upstreams import parse_desired_state

CONFIRM_WAIT_SECONDS = 2.0
# Edits of other customers move the head; an edit gives way to them for this long.
RACE_SECONDS = 5.0
SETTLE_SECONDS = 10.0
_RACE_PAUSE_SECONDS = 0.02
_RACE_MAX_PAUSE_SECONDS = 0.3
_SETTLE_INTERVAL_SECONDS = 0.2
# An edit is sent again within a minute, in which there are about ten edits.
_RESENT_ENTRIES = 500
_UPSTREAM_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,127}")


class AcceptedEdit(NamedTuple):
    """An edit that is durable, and which entries are known to have it in force."""

    revision: int
    confirmed: tuple[str, ...] = ()
    unconfirmed: tuple[str, ...] = ()


class _Current(NamedTuple):
    """A row of the table and the head, read before an edit."""

    value: Any
    revision: int
    edit_id: str
    row_version: int
    head: int
    head_version: int


class ConfigurationEditor:
    """Makes edits that operators ask for at this entry.

    `entry_names` returns the names of entries that should confirm an edit, in addition
    to those that are connected.
    """

    def __init__(
        self,
        hub: PeerHub,
        table: Table,
        replica: ConfigurationReplica,
        *,
        entry_names: Callable[[], Iterable[str]] | None = None,
        confirm_wait: float = CONFIRM_WAIT_SECONDS,
        settle_seconds: float = SETTLE_SECONDS,
    ):
        self._hub = hub
        self._table = table
        self._replica = replica
        self._entry_names = entry_names or (lambda: ())
        self._confirm_wait = confirm_wait
        self._settle_seconds = settle_seconds
        # Edits of one entry would only make each other's transactions fail.
        self._turn = BoundedSemaphore()
        self._random = random.Random(hub.local_identity.incarnation)

    def edit(
        self,
        kind: str,
        key: str,
        value: Any,
        expected_revision: int,
        edit_id: str = "",
    ) -> AcceptedEdit:
        """Set the value of `kind` (contract, upstream) and `key`.

        `expected_revision` is the value's revision that the operator has seen, 0 for a
        new one. An `edit_id` that was used before is answered as it was then. Raises
        `EditConflict`, `EditRefused` (nothing was changed) or `EditOutcomeUnknown`.
        """
        value = _checked(kind, key, value)
        edit_id = edit_id or secrets.token_hex(16)
        if not self._turn.acquire(timeout=RACE_SECONDS):
            raise EditRefused("busy", "earlier edits are still waiting for the store")
        try:
            entry = self._make(kind, key, value, expected_revision, edit_id)
        finally:
            self._turn.release()
        self._replica.publish(entry)
        return self._await_confirmations(entry.revision)

    def _make(self, kind, key, value, expected_revision, edit_id):
        deadline = time.monotonic() + RACE_SECONDS
        pause = _RACE_PAUSE_SECONDS
        while True:
            current = self._read(kind, key)
            if current.revision != expected_revision:
                made = self._made_before(kind, key, edit_id, current)
                if made is not None:
                    return made
                raise EditConflict(key, current.value, current.revision)
            if kind == "contract":
                _check_home(value, current.value)
                self._check_api_keys(value, current.head)
            entry = ConfigEntry(
                current.head + 1, kind, key, encode_value(value), edit_id
            )
            if self._write(entry, value, current):
                return entry
            # Another edit made this revision. If it was of another customer, this
            # edit goes on from the new head.
            if time.monotonic() >= deadline:
                raise EditRefused("busy", "other edits kept coming first")
            # Entries that try again at once would use up the table's write rate.
            gevent.sleep(self._random.uniform(0, pause))
            pause = min(pause * 2, _RACE_MAX_PAUSE_SECONDS)

    def _read(self, kind, key):
        in_force = self._replica.revision
        try:
            head = self._table.read(HEAD_KEY)
            row = self._table.read(row_key(kind, key))
        except StoreUnavailable as error:
            raise EditRefused("store_unavailable", str(error)) from error
        held = row.value if row else {}
        current = _Current(
            held.get("value"),
            held.get("revision", 0),
            held.get("edit_id", ""),
            row.version if row else 0,
            head.value["revision"] if head else 0,
            head.version if head else 0,
        )
        if current.head < in_force:
            # Entries would take the new revision for one that they have applied.
            raise EditRefused(
                "store_behind",
                f"the table is at revision {current.head}, and {in_force} is in force: "
                "it was set back to an older state",
            )
        return current

    def _made_before(self, kind, key, edit_id, current):
        """Return the entry that this edit made when it was sent an earlier time.

        The row names its last edit. If another one has come since, the log is read,
        as far back as an edit may be sent again.
        """
        if current.edit_id == edit_id:
            text = encode_value(current.value)
            return ConfigEntry(current.revision, kind, key, text, edit_id)
        try:
            logged = read_log(self._table, max(0, current.head - _RESENT_ENTRIES))
        except LogPruned:
            return None  # too old for an edit that is sent again
        except StoreUnavailable as error:
            raise EditRefused("store_unavailable", str(error)) from error
        return next((entry for entry in logged if entry.edit_id == edit_id), None)

    def _check_api_keys(self, value, head):
        """Refuse an API key of another customer.

        The answer holds until the transaction, because it compares the head.
        """
        if not self._replica.wait_for(head, RACE_SECONDS):
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

    def _write(self, entry, value, current):
        """Run the transaction; false if another edit made this revision."""
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
            return self._settle(entry, conditions, writes, str(error))

    def _settle(self, entry, conditions, writes, reason):
        """Find out whether a write took effect whose answer was lost.

        A read alone cannot tell, because the write may still be on its way. The same
        transaction is sent again: it either makes the edit, or fails because the
        revision exists, and then the log says whose it is.
        """
        deadline = time.monotonic() + self._settle_seconds
        while time.monotonic() < deadline:
            try:
                self._table.transact(conditions, writes)
                return True
            except WriteConflict:
                pass
            except (StoreUnavailable, WriteOutcomeUnknown) as error:
                reason = str(error)
                gevent.sleep(_SETTLE_INTERVAL_SECONDS)
                continue
            try:
                logged = read_log_entry(self._table, entry.revision)
            except StoreUnavailable as error:
                reason = str(error)
                gevent.sleep(_SETTLE_INTERVAL_SECONDS)
                continue
            return logged is not None and logged.edit_id == entry.edit_id
        raise EditOutcomeUnknown(entry.edit_id, f"the edit is not settled: {reason}")

    def _await_confirmations(self, revision):
        own = self._hub.local_identity.node
        deadline = time.monotonic() + self._confirm_wait
        while True:
            expected = {own, *self._entry_names(), *self._connected_names()}
            confirmed = self._replica.confirmed_by(revision)
            if self._replica.ready and self._replica.revision >= revision:
                confirmed.add(own)
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


def _check_home(value, current):
    """Refuse another home region: it decides which entries own the permits."""
    if current is None:
        return
    home = current.get("home_region", "")
    if value["home_region"] != home:
        raise EditRefused(
            "invalid",
            f"home_region: {value['home_region']!r} is not {home!r}; it is fixed when "
            "the contract is made",
        )


def _checked(kind, key, value):
    """Return the value in its complete form, or raise `EditRefused`."""
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
