"""The routers that are registered in the platform's store, and this one's own row.

A row has the address at which a router receives announcements.
"""

import json
import time
from collections.abc import Callable, Collection

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.platform.errors import (
    PlatformError,
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.rows import RowStore, StoredRow
from bulrushdrum._internal.settings.router import RouterSettings
from bulrushdrum._internal.world.addresses import parse_ipv4_address

ROUTERS_TABLE = "routers"
_REGISTER_RETRY_SECONDS = 0.5
_REGISTRATION_CHECK_SECONDS = 1.0


class RouterRegistry:
    """Follows the rows of all routers and keeps the one of this router.

    `on_first_read` is called when the table was read for the first time.
    """

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: str,
        store: RowStore,
        on_first_read: Callable[[], None],
    ):
        self._node = settings.node
        self._own_address = (settings.ip, settings.peer_port)
        self._incarnation = incarnation
        self._store = store
        self._on_first_read = on_first_read
        self._addresses: dict[str, tuple[str, int]] = {}
        # When each router was last heard, or first seen in the table.
        self._last_known_at: dict[str, float] = {}
        # Names of routers whose rows were removed.
        self._unregistered: set[str] = set()
        self._registration_lost = Signal()
        self._is_unregistered = False
        self._has_read_table = False

    @property
    def has_read_table(self) -> bool:
        return self._has_read_table

    @property
    def addresses(self) -> dict[str, tuple[str, int]]:
        """The addresses of the registered routers by name."""
        return self._addresses

    def other_names(self) -> set[str]:
        """Return the names of the registered routers without this one."""
        return set(self._addresses) - {self._node}

    def record_heard(self, name: str):
        """Record that an announcement of a router arrived now."""
        self._last_known_at[name] = time.monotonic()

    def last_known_at(self, name: str) -> float:
        """Return when a registered router was last heard, or first seen here."""
        return self._last_known_at[name]

    def on_rows(
        self,
        rows: list[StoredRow],
        is_snapshot: bool,
        from_copy: Collection[str] = frozenset(),
    ):
        """Apply a snapshot or changes of the routers' table.

        Rows with the keys `from_copy` may be older than what is known, because the
        store was restored. This router registers again if its row is lost.
        """
        if is_snapshot:
            is_first_read = not self._has_read_table
            self._has_read_table = True
            self._addresses.clear()
            if is_first_read:
                self._on_first_read()
        for row in rows:
            if row.value is None:
                self._addresses.pop(row.key, None)
                self._unregistered.add(row.key)
            elif row.key not in from_copy or row.key not in self._unregistered:
                self._apply_row(row)
        own_address = self._addresses.get(self._node)
        is_outdated = self._node in from_copy and own_address != self._own_address
        if is_outdated:
            self._addresses.pop(self._node, None)
        if own_address is None or is_outdated:
            self._registration_lost.set()

    def _apply_row(self, row):
        self._unregistered.discard(row.key)
        try:
            raw = json.loads(row.value)
            self._addresses[row.key] = parse_ipv4_address(f"{raw['ip']}:{raw['port']}")
            self._last_known_at.setdefault(row.key, time.monotonic())
        except DECODING_ERRORS as error:
            log_event(Event.VM_ROW_INVALID, row=row.key, reason=repr(error))

    def register_forever(self):
        """Write this router's row, and again whenever it is lost, until it stops."""
        self._register()
        while not self._is_unregistered:
            self._registration_lost.wait()
            # The row that was just written may not have been read yet.
            gevent.sleep(_REGISTRATION_CHECK_SECONDS)
            self._registration_lost.clear()
            if self._node not in self._addresses:
                self._register()

    def _register(self):
        """Write this router's row, retrying until the store accepts it."""
        ip, port = self._own_address
        value = {"ip": ip, "port": port, "incarnation": self._incarnation}
        while not self._is_unregistered:
            try:
                self._store.write(ROUTERS_TABLE, self._node, json.dumps(value).encode())
                return
            except (StoreUnavailable, WriteOutcomeUnknown) as error:
                # The write is idempotent, so it is safe to repeat.
                log_event(Event.ROUTER_NOT_REGISTERED, reason=str(error))
                gevent.sleep(_REGISTER_RETRY_SECONDS)

    def unregister(self):
        """Remove this router's row; logs the failure if the store is unavailable."""
        self._is_unregistered = True
        try:
            self._store.write(ROUTERS_TABLE, self._node, None)
        except PlatformError as error:
            log_event(Event.ROUTER_NOT_REGISTERED, reason=str(error))
