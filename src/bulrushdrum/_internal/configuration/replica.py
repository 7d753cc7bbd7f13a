"""In-memory replica of the configuration, kept up to date from the log.

Log entries are applied strictly in the order of their revisions. The entry that accepts
an edit pushes it to all others; gaps are filled from a peer or from the table. The head
of the log is polled every few seconds to detect lost pushes.
"""

import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.configuration.errors import LogPruned
from bulrushdrum._internal.configuration.log import load_store, read_head, read_log
from bulrushdrum._internal.configuration.peers import ConfigPeers
from bulrushdrum._internal.configuration.store import ConfigStore, decode_value
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.shared_state_messages import ConfigEntry
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.platform.table import Table
from bulrushdrum._internal.world.contracts import (
    Contract,
    hash_api_key,
    parse_contract,
)
from bulrushdrum._internal.world.errors import InvalidContract, InvalidUpstreamState
from bulrushdrum._internal.world.upstreams import DesiredState, parse_desired_state

POLL_INTERVAL_SECONDS = 2.0
PEER_TIMEOUT_SECONDS = 2.0
# Loading 37,000 contracts from the table takes up to 4.7 s on a busy machine.
PEER_FALLBACK_SECONDS = 10.0
_LOAD_RETRY_SECONDS = 0.1
# Pushes of different entries are often reordered by a few milliseconds.
_GAP_FILL_DELAY_SECONDS = 0.1
_MAX_RECENT_ENTRIES = 512
_MAX_PENDING_ENTRIES = 4096
_MAX_CACHED_CONTRACTS = 1024


class ConfigurationReplica:
    """The configuration in force at this entry.

    `start` loads it in the background; `ready` is true once it is loaded. All reads are
    from memory. `settings.seed` seeds the jitter of the polls.
    """

    def __init__(
        self,
        hub: PeerHub,
        table: Table,
        settings,
        *,
        poll_interval: float = POLL_INTERVAL_SECONDS,
        peer_timeout: float = PEER_TIMEOUT_SECONDS,
        peer_fallback_seconds: float = PEER_FALLBACK_SECONDS,
    ):
        self._table = table
        self._poll_interval = poll_interval
        self._peer_fallback_seconds = peer_fallback_seconds
        self._random = random.Random(settings.seed or None)
        self._store = ConfigStore()
        self._ready = False
        self._pending: dict[int, ConfigEntry] = {}
        self._recent: deque[ConfigEntry] = deque(maxlen=_MAX_RECENT_ENTRIES)
        self._contract_cache: OrderedDict[str, Contract | None] = OrderedDict()
        self._subscribers: list[Callable[[ConfigEntry], None]] = []
        self._known_head = 0
        self._confirmed_at = float("-inf")
        self._store_available = True
        self._table_behind = False
        self._wake = Signal()
        self._gap_filler = None
        self._greenlets = []
        self._peers = ConfigPeers(hub, self, peer_timeout, self._random)

    # Reads.

    @property
    def revision(self) -> int:
        return self._store.revision

    @property
    def ready(self) -> bool:
        return self._ready

    @property
    def store(self) -> ConfigStore:
        return self._store

    @property
    def recent(self) -> tuple[ConfigEntry, ...]:
        """The most recently applied log entries, oldest first and without gaps."""
        return tuple(self._recent)

    def contract(self, customer: str) -> Contract | None:
        """Return the customer's contract, or `None` if there is none."""
        if customer in self._contract_cache:
            self._contract_cache.move_to_end(customer)
            return self._contract_cache[customer]
        row = self._store.get("contract", customer)
        if row is None:
            return None
        contract = self._decode("contract", customer, row[1], _decode_contract)
        self._contract_cache[customer] = contract
        if len(self._contract_cache) > _MAX_CACHED_CONTRACTS:
            self._contract_cache.popitem(last=False)
        return contract

    def customer_of_api_key(self, api_key: str) -> str | None:
        """Return the customer whose contract lists the hash of `api_key`."""
        try:
            digest = hash_api_key(api_key)
        except UnicodeEncodeError:
            return None
        for customer in self._store.customers_by_hash(digest):
            contract = self.contract(customer)
            if contract is not None and digest in contract.api_key_hashes:
                return customer
        return None

    def customers(self) -> list[str]:
        return self._store.keys("contract")

    def desired(self, upstream: str) -> tuple[int, DesiredState] | None:
        """Return the revision and the desired state of an upstream, or `None`."""
        row = self._store.get("upstream", upstream)
        if row is None:
            return None
        state = self._decode("upstream", upstream, row[1], _decode_desired)
        return None if state is None else (row[0], state)

    def _decode(self, kind, key, text, decode):
        try:
            return decode(decode_value(text))
        except (*DECODING_ERRORS, InvalidContract, InvalidUpstreamState) as error:
            log_event(
                Event.CONFIGURATION_INVALID, kind=kind, key=key, reason=str(error)
            )
            return None

    # Freshness.

    def confirmed_seconds_ago(self) -> float:
        """Return the age of the last confirmation that no newer revision was known.

        Measured from the time at which the query to the store or a peer was sent.
        Infinite before the first confirmation.
        """
        return time.monotonic() - self._confirmed_at

    def confirm(self, timeout_seconds: float) -> bool:
        """Query the store and some peers; return whether one confirmed in time."""
        sent_at = time.monotonic()
        self._wake.set()
        gevent.spawn(self._peers.query_some_heads)
        while self._confirmed_at < sent_at:
            if time.monotonic() - sent_at >= timeout_seconds:
                return False
            gevent.sleep(0.01)
        return True

    def record_confirmation(self, sent_at: float, head: int):
        """Record that a source queried at `sent_at` knows no revision above `head`."""
        if self._ready and self.revision >= head:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def observe_revision(self, incarnation: str, revision: int):
        """Record the revision in a peer's heartbeat and fetch it if it is newer."""
        self._peers.record_revision(incarnation, revision)
        self.observe_head(revision)

    def observe_head(self, revision: int):
        """Record that `revision` exists and fetch the missing log entries."""
        self._known_head = max(self._known_head, revision)
        if self._ready and self._known_head > self.revision and not self._gap_filler:
            self._gap_filler = gevent.spawn(self._fill_gap)

    def confirmed_by(self, revision: int) -> set[str]:
        """Return the names of connected entries that have `revision` in force."""
        return self._peers.confirmed_by(revision)

    def wait_for(self, revision: int, timeout_seconds: float) -> bool:
        """Wait until `revision` is in force here; return false on timeout."""
        deadline = time.monotonic() + timeout_seconds
        self.observe_head(revision)
        while not self._ready or self.revision < revision:
            if time.monotonic() >= deadline:
                return False
            gevent.sleep(0.01)
        return True

    # Changes.

    def subscribe(self, callback: Callable[[ConfigEntry], None]):
        """Call `callback` with each log entry after it has been applied."""
        self._subscribers.append(callback)

    def publish(self, entry: ConfigEntry):
        """Apply a newly committed log entry and push it to all peers."""
        self.offer([entry])
        self._peers.push(entry)

    def offer(self, entries):
        """Apply the log entries that are next in order.

        Later ones are kept pending until the gap is filled.
        """
        for entry in entries:
            if entry.revision > self.revision:
                self._pending.setdefault(entry.revision, entry)
        if len(self._pending) > _MAX_PENDING_ENTRIES:
            for revision in sorted(self._pending)[_MAX_PENDING_ENTRIES:]:
                del self._pending[revision]
        while (entry := self._pending.pop(self.revision + 1, None)) is not None:
            self._store.apply(entry)
            self._recent.append(entry)
            self._notify_subscribers(entry)
            log_event(
                Event.CONFIGURATION_APPLIED,
                revision=entry.revision,
                kind=entry.kind,
                key=entry.key,
            )
        if self._pending:
            self.observe_head(max(self._pending))

    def install(self, store: ConfigStore, source: str) -> bool:
        """Replace the store by a newer one; return false if it is not newer."""
        if store.revision < self.revision or (
            self._ready and store.revision == self.revision
        ):
            return False
        before, self._store = self._store, store
        self._recent.clear()
        for revision in [key for key in self._pending if key <= store.revision]:
            del self._pending[revision]
        self._ready = True
        log_event(Event.CONFIGURATION_LOADED, revision=store.revision, source=source)
        for entry in _diff_stores(before, store):
            self._notify_subscribers(entry)
        self.offer(())
        return True

    def _notify_subscribers(self, entry):
        self._contract_cache.pop(entry.key, None)
        for callback in self._subscribers:
            try:
                callback(entry)
            except Exception as error:  # must not affect the other subscribers
                log_event(Event.INTERNAL_ERROR, where="subscriber", reason=repr(error))

    # Synchronization.

    def start(self):
        if not self._greenlets:
            self._greenlets.append(gevent.spawn(self._poll))
            self._greenlets.append(gevent.spawn(self._load_from_peers))

    def stop(self):
        gevent.killall([*self._greenlets, *filter(None, [self._gap_filler])])
        self._greenlets.clear()

    def _poll(self):
        while True:
            self._wake.clear()
            try:
                self._poll_table()
                self._update_store_available(True)
            except StoreUnavailable as error:
                self._update_store_available(False, str(error))
                if self._ready:
                    self._peers.query_some_heads()
            except Exception as error:  # one failure must not end the loop
                log_event(Event.INTERNAL_ERROR, where="poll", reason=repr(error))
            self._wake.wait(self._poll_interval * self._random.uniform(0.75, 1.25))

    def _poll_table(self):
        sent_at = time.monotonic()
        if not self._ready:
            self._load_from_table()
        in_force = self.revision
        head = read_head(self._table)
        self._update_table_behind(head < in_force, head)
        self._apply_log(head)
        self.record_confirmation(sent_at, head)

    def _apply_log(self, head):
        """Apply the log from the table up to `head`; reload everything if pruned."""
        try:
            while self.revision < head:
                before = self.revision
                self.offer(read_log(self._table, before))
                if self.revision == before:
                    raise LogPruned(f"the log ends at {before}, the head is {head}")
        except LogPruned:
            if self.revision < head:
                self._load_from_table()

    def _load_from_table(self):
        try:
            self.install(load_store(self._table), "table")
        except LogPruned as error:
            raise StoreUnavailable(f"table: {error}") from error

    def _load_from_peers(self):
        """Load a snapshot from a peer if the table is unavailable or slow."""
        started_at = time.monotonic()
        # Allow time to connect to the other entries.
        gevent.sleep(self._peers.response_timeout)
        while not self._ready:
            slow = time.monotonic() - started_at > self._peer_fallback_seconds
            if slow or not self._store_available:
                self._peers.load_newest_snapshot()
            gevent.sleep(_LOAD_RETRY_SECONDS)

    def _fill_gap(self):
        try:
            gevent.sleep(_GAP_FILL_DELAY_SECONDS)
            if self.revision < self._known_head:
                self._peers.fetch_missing(self.revision)
            if self.revision < self._known_head:
                # No peer had the missing entries; poll the table now.
                self._known_head = self.revision
                self._wake.set()
        finally:
            self._gap_filler = None

    def _update_table_behind(self, behind, head):
        if behind and not self._table_behind:
            log_event(Event.TABLE_BEHIND, head=head, in_force=self.revision)
        self._table_behind = behind

    def _update_store_available(self, available, reason=""):
        if available != self._store_available:
            event = Event.STORE_AVAILABLE if available else Event.STORE_UNAVAILABLE
            log_event(event, service="table", reason=reason)
        self._store_available = available

    def dump(self) -> dict:
        """Return the state for a state dump."""
        return {
            "revision": self.revision,
            "ready": self._ready,
            "known_head": self._known_head,
            "confirmed_seconds_ago": (
                round(self.confirmed_seconds_ago(), 3)
                if self._confirmed_at > float("-inf")
                else None
            ),
            "store_available": self._store_available,
            "contracts": self._store.count("contract"),
            "upstreams": self._store.count("upstream"),
            "pending": len(self._pending),
            "peers": self._peers.dump(),
        }


def _diff_stores(before, after):
    """Yield a log entry for each value that differs between two stores."""
    for kind in {*before.kinds(), *after.kinds()}:
        for key in before.keys(kind):
            if not after.revision_of(kind, key):
                yield ConfigEntry(after.revision, kind, key, "")
        for key in after.keys(kind):
            revision, value = after.get(kind, key)
            if before.revision_of(kind, key) != revision:
                yield ConfigEntry(revision, kind, key, value)


def _decode_contract(raw):
    # Ignore unknown fields, which a newer release may have added.
    if isinstance(raw, dict):
        raw = {name: raw[name] for name in raw if name in Contract._fields}
    return parse_contract(raw)


def _decode_desired(raw):
    if isinstance(raw, dict):
        raw = {name: raw[name] for name in raw if name in DesiredState._fields}
    return parse_desired_state(raw)
