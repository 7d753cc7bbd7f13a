"""Acknowledgements of entry-set versions, and the rights that follow from them.

A permit moves to a new owner when the entry set changes. The new owner may use it only
when every other member, and every guest, has acknowledged exactly the same version, and
none of them lists the permit as busy. An owner that had the right before, under an
unbroken chain of versions, keeps it: nobody else can have gained it without this
entry's acknowledgement.

A guest is an entry that is not a member, for example because it started while the table
was down. It may hold loans, so its acknowledgement is needed like a member's. It
borrows only once every member has confirmed that it knows the guest.
"""

from collections import deque

from bulrushdrum._internal.limits.ownership import Ownership
from bulrushdrum._internal.peering.messages import EntryMember, EntrySetAck

# Versions through which a kept right is traced back. Forgetting older ones costs a wait
# for acknowledgements and is always safe.
_MAX_HISTORY = 16


class Acknowledgements:
    """What the peers have acknowledged, as seen by one entry."""

    def __init__(self, entry_set):
        self._entry_set = entry_set
        self._acks: dict[str, EntrySetAck] = {}
        self._guests: dict[str, EntryMember] = {}
        self._identities: dict[str, EntryMember] = {}
        self._outstanding: set[str] = set()
        self._all_acknowledged = False
        self._history: deque[tuple[Ownership, bool]] = deque(maxlen=_MAX_HISTORY)
        self._busy: dict[str, set[int]] = {}
        self._generation = 0

    @property
    def guests(self) -> tuple[EntryMember, ...]:
        return tuple(self._guests.values())

    @property
    def generation(self) -> int:
        """Grows whenever the rights that follow may have changed."""
        return self._generation

    def busy(self, customer: str) -> set[int]:
        """Return the permits that peers list as busy."""
        return self._busy.get(customer, set())

    def missing(self) -> list[str]:
        """Return the nodes that have not acknowledged the version in force."""
        required = self._required()
        return sorted(required[name].node for name in self._outstanding)

    def adopted(self, previous: Ownership):
        """Note that the entry set has changed from `previous`."""
        self._history.append((previous, self._all_acknowledged))
        self._all_acknowledged = False
        for incarnation, ack in self._acks.items():
            self._note_guests(incarnation, ack)
        self._update_rights()

    def receive(self, identity: EntryMember, ack: EntrySetAck) -> bool:
        """Note an acknowledgement; return whether its sender is a new guest."""
        incarnation = identity.incarnation
        earlier = self._acks.get(incarnation)
        if earlier is not None and earlier.sequence >= ack.sequence:
            return False
        self._acks[incarnation] = ack
        self._identities[incarnation] = identity
        guests = len(self._guests)
        was_guest = incarnation in self._guests
        self._note_guests(incarnation, ack)
        if len(self._guests) == guests and self._is_one_of_many(
            incarnation, earlier, ack
        ):
            return False
        self._update_rights()
        return incarnation in self._guests and not was_guest

    def _is_one_of_many(self, incarnation, earlier, ack):
        """Whether nothing follows from an acknowledgement, as others are missing.

        Spares going through all members for each of the hundreds that arrive after a
        change of the entry set.
        """
        if ack.busy or ack.version != self._entry_set.version:
            return False
        if earlier is not None and earlier.busy:
            return False
        self._outstanding.discard(incarnation)
        return bool(self._outstanding)

    @property
    def all_acknowledged(self) -> bool:
        """Whether all peers have left every earlier owner behind."""
        return self._all_acknowledged

    def was_owner(self, customer, number, home) -> bool:
        """Whether this right has lasted since a version that all acknowledged."""
        local = self._entry_set.local.incarnation
        for ownership, all_acknowledged in reversed(self._history):
            if ownership.owner(customer, number, home) != local:
                return False
            if all_acknowledged:
                return True
        return False

    def confirms_guest(self) -> bool:
        """Whether every live member knows this entry as a guest of this version.

        A dead member needs no knowledge of guests: it will not use a permit again.
        """
        alive = [
            member.incarnation
            for member in self._entry_set.members
            if not self._entry_set.has_died(member)
        ]
        return bool(alive) and all(map(self._is_confirmed_by, alive))

    def _is_confirmed_by(self, member):
        ack = self._acks.get(member)
        local = self._entry_set.local.incarnation
        return (
            ack is not None
            and ack.version == self._entry_set.version
            and any(guest.incarnation == local for guest in ack.guests)
        )

    def forget_dead(self):
        """Stop waiting for guests that are known dead."""
        dead = [
            incarnation
            for incarnation, guest in self._guests.items()
            if self._entry_set.is_known_dead(guest)
        ]
        for incarnation in dead:
            del self._guests[incarnation]
        if dead:
            self._update_rights()

    def _required(self):
        required = {member.incarnation: member for member in self._entry_set.members}
        required.update(self._guests)
        required.pop(self._entry_set.local.incarnation, None)
        return required

    def _note_guests(self, incarnation, ack):
        version = self._entry_set.version
        listed = list(ack.guests)
        # An older version of the sender does not tell whether it is a guest of ours: a
        # member that has left may have sent it before.
        if ack.version == version:
            listed.append(self._identities[incarnation])
        for guest in listed:
            if guest.incarnation != self._entry_set.local.incarnation:
                if not self._entry_set.is_known_dead(guest):
                    self._guests.setdefault(guest.incarnation, guest)
        for guest in [*self._guests]:
            if self._entry_set.ownership.includes(guest):
                del self._guests[guest]

    def _update_rights(self):
        self._generation += 1
        version = self._entry_set.version
        required = self._required()
        self._outstanding = {
            incarnation
            for incarnation in required
            if incarnation not in self._acks
            or self._acks[incarnation].version != version
        }
        if version and not self._outstanding:
            # The right outlasts an acknowledgement of a later version by a peer: it
            # ends only when this entry itself adopts that version.
            self._all_acknowledged = True
        if self._all_acknowledged:
            # A former member's list counts until here: what it had lent is from now on
            # listed by the borrowers.
            for incarnation in self._acks.keys() - required.keys():
                if self._acks[incarnation].version <= version:
                    del self._acks[incarnation]
                    del self._identities[incarnation]
        self._busy = {}
        for ack in self._acks.values():
            for permit in ack.busy:
                self._busy.setdefault(permit.customer, set()).add(permit.number)
