"""Divides a rate among routers that do not coordinate, by what each has announced.

>>> fair_share(12.0, own_demand=10.0, peer_demands=[1.0, 10.0], silent_peers=0)
5.5
>>> fair_share(12.0, own_demand=2.0, peer_demands=[1.0], silent_peers=0)
6.5
>>> fair_share(12.0, own_demand=10.0, peer_demands=[10.0], silent_peers=1)
4.0
"""

from collections.abc import Sequence

# A router without demand keeps this fraction of an equal share, so that its first
# requests need not wait until the other routers have heard of them.
_MIN_DEMAND_FRACTION = 0.1


def fair_share(
    rate: float,
    own_demand: float,
    peer_demands: Sequence[float],
    silent_peers: int,
) -> float:
    """Return this router's max-min fair share of `rate`; all in requests a second.

    No router gets more than it demands as long as another one gets less than that; what
    nobody demands is divided equally. Peers that may be running without being heard
    keep an equal share each, because they cannot know what the others use.

    All routers come to shares whose sum is `rate` if they know the same demands.
    """
    heard = 1 + len(peer_demands)
    equal_share = rate / (heard + silent_peers)
    least = equal_share * _MIN_DEMAND_FRACTION
    own = max(own_demand, least)
    remaining = equal_share * heard
    demands = sorted([own, *(max(demand, least) for demand in peer_demands)])
    for index, demand in enumerate(demands):
        level = remaining / (heard - index)
        if demand >= level:
            return min(own, level)
        remaining -= demand
    return own + remaining / heard
