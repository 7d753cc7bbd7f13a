"""What routers know of each other's contact with the platform's store.

A registration that disappears around an outage may have lapsed because its upstream
could not reach the store either. A router that alone was cut off from the store can
tell: its peers reached the store all the while, so upstreams did too.

Times are seconds of the monotonic clock of this router.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Registrations lapse after a longer silence of the store than this.
_MAX_GAP_SECONDS = 2.0


class StoreContact(NamedTuple):
    """Since when calls to the store have not failed, and when one succeeded last."""

    since: float
    last: float


class StoreOutage(NamedTuple):
    """When the first call that failed was sent, and the first success after it."""

    began_at: float
    ended_at: float


def served_others(outage: StoreOutage, contacts: Iterable[StoreContact]) -> bool:
    """Whether the store served some other router throughout an outage.

    The last success may be that of a call which was answered before the end, as an
    unanswered one is noticed only later; the store may have been away since, but not
    for long enough.
    """
    return any(
        contact.since <= outage.began_at
        and contact.last >= outage.ended_at - _MAX_GAP_SECONDS
        for contact in contacts
    )
