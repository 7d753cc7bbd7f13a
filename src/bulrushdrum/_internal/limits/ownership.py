"""Assignment of permits to their owners by rendezvous hashing.

The owner of a permit depends only on the entry set, the customer, the customer's home
region and the number of the permit, so all entries compute the same owner:

>>> members = [EntryMember("a", "a1"), EntryMember("b", "b1")]
>>> Ownership(EntrySetVersion(1, tuple(members))).owner("warwick", 0, "")
'a1'
"""

from array import array
from hashlib import blake2b
from typing import NamedTuple

from bulrushdrum._internal.peering.shared_state_messages import EntryMember

_MASK = (1 << 64) - 1
# Odd number close to 2**64 / golden ratio. One multiplication for each pair of permit
# and member distributes permits evenly at a tenth of the cost of a cryptographic hash.
_MULTIPLIER = 0x9E3779B97F4A7C15


# Permits with higher numbers are assigned in groups. Without groups, computing the
# owners of 10,000 permits among 380 members blocks the entry for 0.9 s.
_UNGROUPED_PERMITS = 512
_GROUP_SIZE = 32


class EntrySetVersion(NamedTuple):
    """One version of the entry set, as stored in its row in the table."""

    version: int = 0
    members: tuple[EntryMember, ...] = ()


def hash64(text):
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


class Ownership:
    """Computes the owners of permits under one version of the entry set."""

    def __init__(self, entry_set: EntrySetVersion):
        self._entry_set = entry_set
        self._incarnations = frozenset(
            member.incarnation for member in entry_set.members
        )
        self._all_candidates = self._candidates(entry_set.members)
        self._candidates_by_region = {
            region: self._candidates(
                [member for member in entry_set.members if member.region == region]
            )
            for region in {member.region for member in entry_set.members}
        }

    @staticmethod
    def _candidates(members):
        incarnations = sorted(member.incarnation for member in members)
        return incarnations, [hash64(incarnation) for incarnation in incarnations]

    @property
    def entry_set(self) -> EntrySetVersion:
        return self._entry_set

    def includes(self, incarnation: str) -> bool:
        """Whether the incarnation of an entry is a member."""
        return incarnation in self._incarnations

    def owner(self, customer: str, number: int, home_region: str) -> str:
        """Return the owner's incarnation, or `""` if the set is empty.

        If any members are in `home_region`, only they own permits of the customer.
        """
        incarnations, hashes = (
            home_region and self._candidates_by_region.get(home_region)
        ) or self._all_candidates
        if not incarnations:
            return ""
        return incarnations[
            _best_index(hashes, hash64(f"{customer}/{_permit_group(number)}"))
        ]

    def owners(self, customer: str, concurrency: int, home_region: str):
        """Return incarnations and, for each permit, the index of its owner there."""
        incarnations, hashes = (
            home_region and self._candidates_by_region.get(home_region)
        ) or self._all_candidates
        owners = array("H")
        last = -1
        for number in range(concurrency if incarnations else 0):
            group = _permit_group(number)
            if group != last:
                last, best = group, _best_index(hashes, hash64(f"{customer}/{group}"))
            owners.append(best)
        return incarnations, owners


def _permit_group(number):
    if number < _UNGROUPED_PERMITS:
        return number
    return _UNGROUPED_PERMITS + (number - _UNGROUPED_PERMITS) // _GROUP_SIZE


def _best_index(hashes, key):
    scores = [((value ^ key) * _MULTIPLIER) & _MASK for value in hashes]
    return scores.index(max(scores))
