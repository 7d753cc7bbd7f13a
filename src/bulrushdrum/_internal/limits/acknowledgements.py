"""Acknowledgements of entry-set versions, and the permits they make usable.

A permit can change owner when the entry set changes. The new owner may use the permit
only after every other member and every guest has acknowledged exactly the same version,
and while none of them lists the permit as busy. An entry that has owned the permit in
every version since one that all peers acknowledged may keep using it: no other entry
may use it without this entry's acknowledgement.

A guest is an entry that is not a member, for example because it started while the table
was unavailable. It may hold loans, so its acknowledgement is required like a member's.
A guest may borrow only after every live member has listed it in an acknowledgement.
"""

from collections import deque

from bulrushdrum._internal.limits.ownership import Ownership
from bulrushdrum._internal.peering.shared_state_messages import EntryMember, EntrySetAck

# Number of earlier versions searched for continuous ownership of a permit. Discarding
# older ones is safe: the entry only waits for acknowledgements instead.
_MAX_HISTORY = 16


class Acknowledgements:
    """The acknowledgements that one entry has received from its peers."""

    def __init__(self, entry_set):
        self._entry_set = entry_set
        self._acknowledgements: dict[str, EntrySetAck] = {}
        self._guests: dict[str, EntryMember] = {}
        self._identities: dict[str, EntryMember] = {}
        self._outstanding: set[str] = set()
        self._all_acknowledged = False
        self._history: deque[tuple[Ownership, bool]] = deque(maxlen=_MAX_HISTORY)
        self._busy_numbers: dict[str, set[int]] = {}
        self._generation = 0

    @property
    def guests(self) -> tuple[EntryMember, ...]:
        return tuple(self._guests.values())

    @property
    def generation(self) -> int:
        """Increases whenever the set of usable permits may have changed."""
        return self._generation

    def busy_numbers(self, customer: str) -> set[int]:
        """Return the numbers of the permits that peers list as busy."""
        return self._busy_numbers.get(customer, set())

    def missing_nodes(self) -> list[str]:
        """Return the nodes that have not acknowledged the current version."""
        required = self._required_peers()
        return sorted(required[name].node for name in self._outstanding)

    def record_adoption(self, previous: Ownership):
        """Record that this entry has adopted a new version in place of `previous`."""
        self._history.append((previous, self._all_acknowledged))
        self._all_acknowledged = False
        for incarnation, ack in self._acknowledgements.items():
            self._record_guests(incarnation, ack)
        self._recompute()

    def receive(self, identity: EntryMember, ack: EntrySetAck) -> bool:
        """Process an acknowledgement; return whether its sender is a new guest."""
        incarnation = identity.incarnation
        earlier = self._acknowledgements.get(incarnation)
        if earlier is not None and earlier.sequence >= ack.sequence:
            return False
        self._acknowledgements[incarnation] = ack
        self._identities[incarnation] = identity
        guest_count = len(self._guests)
        was_guest = incarnation in self._guests
        self._record_guests(incarnation, ack)
        if len(self._guests) == guest_count and self._mark_acknowledged(
            incarnation, earlier, ack
        ):
            return False
        self._recompute()
        return incarnation in self._guests and not was_guest

    def _mark_acknowledged(self, incarnation, earlier, ack):
        """Mark the sender as acknowledged; return true if others are outstanding.

        In that case the usable permits stay the same, and `_recompute` is not needed.
        This avoids iterating over all members for each of the hundreds of
        acknowledgements that arrive after a change of the entry set. Returns false
        without marking the sender if `ack` is of another version, or if it or the
        earlier one lists busy permits.
        """
        if ack.busy or ack.version != self._entry_set.version:
            return False
        if earlier is not None and earlier.busy:
            return False
        self._outstanding.discard(incarnation)
        return bool(self._outstanding)

    @property
    def all_acknowledged(self) -> bool:
        """Whether all peers have acknowledged the current version at some time."""
        return self._all_acknowledged

    def has_owned_continuously(self, customer, number, home_region) -> bool:
        """Whether this entry has owned a permit since a fully acknowledged version."""
        local = self._entry_set.local.incarnation
        for ownership, all_acknowledged in reversed(self._history):
            if ownership.owner(customer, number, home_region) != local:
                return False
            if all_acknowledged:
                return True
        return False

    def is_confirmed_guest(self) -> bool:
        """Whether every live member lists this entry as a guest of this version.

        Dead members are ignored, because they can no longer use a permit.
        """
        alive = [
            member.incarnation
            for member in self._entry_set.members
            if not self._entry_set.has_died(member)
        ]
        return bool(alive) and all(map(self._is_confirmed_by, alive))

    def _is_confirmed_by(self, member):
        ack = self._acknowledgements.get(member)
        local = self._entry_set.local.incarnation
        return (
            ack is not None
            and ack.version == self._entry_set.version
            and any(guest.incarnation == local for guest in ack.guests)
        )

    def remove_dead_guests(self):
        """Remove guests that are known dead; their acknowledgement is not required."""
        dead = [
            incarnation
            for incarnation, guest in self._guests.items()
            if self._entry_set.is_known_dead(guest)
        ]
        for incarnation in dead:
            del self._guests[incarnation]
        if dead:
            self._recompute()

    def _required_peers(self):
        required = {member.incarnation: member for member in self._entry_set.members}
        required.update(self._guests)
        required.pop(self._entry_set.local.incarnation, None)
        return required

    def _record_guests(self, incarnation, ack):
        version = self._entry_set.version
        listed = list(ack.guests)
        # An acknowledgement of an older version does not show that its sender is a
        # guest: a former member may have sent it before it left.
        if ack.version == version:
            listed.append(self._identities[incarnation])
        for guest in listed:
            if guest.incarnation != self._entry_set.local.incarnation:
                if not self._entry_set.is_known_dead(guest):
                    self._guests.setdefault(guest.incarnation, guest)
        for guest in [*self._guests]:
            if self._entry_set.ownership.includes(guest):
                del self._guests[guest]

    def _recompute(self):
        """Update the outstanding peers and the busy permits."""
        self._generation += 1
        version = self._entry_set.version
        required = self._required_peers()
        self._outstanding = {
            incarnation
            for incarnation in required
            if incarnation not in self._acknowledgements
            or self._acknowledgements[incarnation].version != version
        }
        if version and not self._outstanding:
            # Stays true when a peer acknowledges a later version, until this entry
            # adopts that version itself.
            self._all_acknowledged = True
        if self._all_acknowledged:
            # The busy permits of former members are no longer needed: the borrowers
            # list what those members had lent.
            for incarnation in self._acknowledgements.keys() - required.keys():
                if self._acknowledgements[incarnation].version <= version:
                    del self._acknowledgements[incarnation]
                    del self._identities[incarnation]
        self._busy_numbers = {}
        for ack in self._acknowledgements.values():
            for permit in ack.busy:
                self._busy_numbers.setdefault(permit.customer, set()).add(permit.number)
