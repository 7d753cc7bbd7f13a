"""The entry set: the entries among which the permits are divided.

The entry set is a row in the table that is changed by compare-and-set. An entry adopts
only versions newer than its own. It learns of them from acknowledgements and heartbeats
of its peers (`observe_version`) and by polling a small row that holds only the version.
While the table is unavailable, it fetches the newest version from a peer.
"""

import random
import time
from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.limits.errors import EntrySetInvalid
from bulrushdrum._internal.limits.ownership import EntrySetVersion, Ownership, hash64
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.shared_state_messages import (
    EntryMember,
    EntrySetQuery,
    EntrySetValue,
)
from bulrushdrum._internal.platform.errors import (
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.table import Condition, Write

ENTRY_SET_KEY = "entry-set"
# A separate row, because 380 entries that read the whole set every few seconds would
# use most of their 14 KB/s for it.
VERSION_KEY = "entry-set-version"
# Polls after which any member removes a dead one, if the member chosen to remove it has
# not done so.
_FALLBACK_REMOVAL_POLLS = 3
_MAX_WRITE_ATTEMPTS = 20


def parse_entry_set(value) -> EntrySetVersion:
    """Parse the value of the entry-set row; raises `EntrySetInvalid`."""
    try:
        members = tuple(EntryMember(**member) for member in value["members"])
        version = value["version"]
    except (TypeError, KeyError) as error:
        raise EntrySetInvalid(f"row {ENTRY_SET_KEY!r} is malformed: {error}") from error
    all_strings = all(isinstance(part, str) for member in members for part in member)
    if not isinstance(version, int) or version < 1 or not all_strings:
        raise EntrySetInvalid(f"row {ENTRY_SET_KEY!r} has fields of the wrong type")
    return EntrySetVersion(version, members)


class EntrySet:
    """This entry's view of the entry set, and its membership in it.

    `is_known_dead(member)` returns whether an `EntryMember` is known dead and all its
    requests have ended; it must never conclude this from elapsed time alone.
    `has_died(member)` does not consider whether its requests have ended.
    """

    def __init__(
        self,
        hub,
        table,
        settings: LimitSettings,
        is_known_dead: Callable[[EntryMember], bool],
        has_died: Callable[[EntryMember], bool] | None = None,
    ):
        self._hub = hub
        self._table = table
        self._settings = settings
        self._is_known_dead = is_known_dead
        self._has_died = has_died or is_known_dead
        identity = hub.local_identity
        self._local = EntryMember(
            identity.node,
            identity.incarnation,
            identity.address,
            identity.data_centre,
            settings.region,
        )
        self._ownership = Ownership(EntrySetVersion())
        self._newest_seen = 0
        self._callbacks = []
        self._polls_while_dead: dict[str, int] = {}
        self._leaving = False
        self._count_in_use = lambda: 0
        self._wake = Signal()
        self._loop = None
        self._random = random.Random(identity.incarnation)
        hub.register(EntrySetQuery, self._on_query)
        hub.register(EntrySetValue, self._on_value)

    @property
    def local(self) -> EntryMember:
        return self._local

    @property
    def ownership(self) -> Ownership:
        return self._ownership

    @property
    def version(self) -> int:
        return self._ownership.entry_set.version

    @property
    def members(self) -> tuple[EntryMember, ...]:
        return self._ownership.entry_set.members

    @property
    def is_member(self) -> bool:
        return self._ownership.includes(self._local.incarnation)

    @property
    def leaving(self) -> bool:
        return self._leaving

    def set_in_use_counter(self, count_in_use: Callable[[], int]):
        """Set the count of permits in use; `leave` requires it to be zero."""
        self._count_in_use = count_in_use

    def is_known_dead(self, member: EntryMember) -> bool:
        return self._is_known_dead(member)

    def has_died(self, member: EntryMember) -> bool:
        """Whether the process has ended; its requests may still be running."""
        return self._has_died(member)

    def subscribe(self, callback: Callable[[Ownership, Ownership], None]):
        """Call `callback(previous, current)` after a new version is adopted."""
        self._callbacks.append(callback)

    def observe_version(self, version: int):
        """Record the version of a peer; a newer one is fetched immediately."""
        if version > max(self._newest_seen, self.version):
            self._newest_seen = version
            self._wake.set()

    def start(self):
        """Join the set and keep this view up to date in a greenlet."""
        self._loop = gevent.spawn(self._run)

    def stop(self):
        if self._loop is not None:
            self._loop.kill()

    def leave(self) -> bool:
        """Leave the set; return false if this entry is still a member.

        It remains a member while a permit is in use here, and, if the table is
        unavailable, until its peers know that it is dead.
        """
        self._leaving = True
        if self._count_in_use():
            return False
        return self._propose(
            lambda members: [
                member
                for member in members
                if member.incarnation != self._local.incarnation
            ]
        )

    def poll(self):
        """Adopt the newest version, join if necessary, and remove dead members."""
        try:
            self._read_newest()
        except StoreUnavailable:
            self._query_peers()
            return
        except EntrySetInvalid as error:
            log_event(Event.ENTRY_SET_INVALID, error=str(error))
            return
        if not self._leaving and not self.is_member:
            self._propose(self._with_local)
        dead = self._members_to_remove()
        if dead and not self._leaving:
            self._propose(
                lambda members: [
                    member for member in members if member.incarnation not in dead
                ]
            )

    def dump(self) -> dict:
        return {
            "version": self.version,
            "newest_seen": self._newest_seen,
            "member": self.is_member,
            "members": [member.node for member in self.members],
        }

    def _run(self):
        while True:
            self._wake.clear()
            try:
                self.poll()
            except Exception as error:  # a failed poll must not end the loop
                log_event(Event.INTERNAL_ERROR, error=repr(error))
            delay = self._settings.entry_set_poll * self._random.uniform(0.8, 1.2)
            deadline = time.monotonic() + delay
            if self._wake.wait(delay):
                # Prevents a busy loop if peers announce a newer version while the
                # table is unavailable.
                gevent.sleep(min(0.05, max(0.0, deadline - time.monotonic())))

    def _read_newest(self):
        row = self._table.read(VERSION_KEY)
        if row is not None and row.value == self.version:
            return
        row = self._table.read(ENTRY_SET_KEY)
        if row is not None:
            self._adopt(parse_entry_set(row.value))

    def _query_peers(self):
        if self.version and self._newest_seen <= self.version:
            return
        connections = self._hub.connections("entry")
        for connection in self._random.sample(connections, min(3, len(connections))):
            try:
                connection.send(EntrySetQuery(self.version))
            except ConnectionLost:
                pass  # the next poll asks another peer

    def _with_local(self, members):
        # This process holds the port, so an earlier incarnation at the same address has
        # ended.
        kept = [member for member in members if member.address != self._local.address]
        return [*kept, self._local]

    def _members_to_remove(self):
        dead = {
            member.incarnation
            for member in self.members
            if member != self._local and self.is_known_dead(member)
        }
        self._polls_while_dead = {
            incarnation: self._polls_while_dead.get(incarnation, 0) + 1
            for incarnation in dead
        }
        return {
            incarnation
            for incarnation, polls in self._polls_while_dead.items()
            if polls > _FALLBACK_REMOVAL_POLLS
            or self._is_chosen_to_remove(incarnation, dead)
        }

    def _is_chosen_to_remove(self, incarnation, dead):
        """Whether this entry is the one live member chosen to remove a dead member."""
        alive = [
            member.incarnation
            for member in self.members
            if member.incarnation not in dead
        ]
        chosen = min(alive, key=lambda other: hash64(incarnation + other), default="")
        return chosen == self._local.incarnation

    def _propose(self, change) -> bool:
        """Write a version with `change` applied; return whether it is in effect."""
        for _ in range(_MAX_WRITE_ATTEMPTS):
            try:
                row = self._table.read(ENTRY_SET_KEY)
                current = parse_entry_set(row.value) if row else EntrySetVersion()
                self._adopt(current)
                members = tuple(change(list(current.members)))
                if members == current.members:
                    return True
                proposed = EntrySetVersion(current.version + 1, members)
                self._write(row.version if row else 0, proposed)
            except WriteConflict:
                gevent.sleep(self._random.uniform(0.0, 0.05))
            except (StoreUnavailable, WriteOutcomeUnknown, EntrySetInvalid):
                # The next poll reads the outcome.
                return False
            else:
                self._adopt(proposed)
                return True
        return False

    def _write(self, row_version, proposed):
        value = {
            "version": proposed.version,
            "members": [member._asdict() for member in proposed.members],
        }
        self._table.transact(
            [Condition(ENTRY_SET_KEY, row_version)],
            [Write(ENTRY_SET_KEY, value), Write(VERSION_KEY, proposed.version)],
        )

    def _adopt(self, entry_set: EntrySetVersion):
        if entry_set.version <= self.version:
            return
        previous, self._ownership = self._ownership, Ownership(entry_set)
        log_event(
            Event.ENTRY_SET_ADOPTED,
            version=entry_set.version,
            members=len(entry_set.members),
        )
        was_member = previous.includes(self._local.incarnation)
        if was_member and not self.is_member and not self._leaving:
            log_event(Event.ENTRY_SET_REMOVED, version=entry_set.version)
        for callback in self._callbacks:
            callback(previous, self._ownership)

    def _on_query(self, connection, query):
        if self.version > query.version:
            connection.send(EntrySetValue(self.version, self.members))

    def _on_value(self, connection, value):
        if connection.peer.kind == "entry":
            self._adopt(EntrySetVersion(value.version, value.members))
