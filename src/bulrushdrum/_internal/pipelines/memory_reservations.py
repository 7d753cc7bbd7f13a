"""Engine memory reserved by the requests of all routers.

A request reserves, on each upstream of its path, its tokens times the layers that the
upstream runs for it. Routers announce the sums of their reservations to each other.
Reports of engines lag and cost a call, whereas reservations are known before the engine
receives the request.
"""

from typing import NamedTuple

from bulrushdrum._internal.world.engines import PoolUpstream
from bulrushdrum._internal.world.upstreams import LayerRange


class Hop(NamedTuple):
    """One upstream of a path and the layers that it runs there."""

    upstream: PoolUpstream
    layers: LayerRange

    @property
    def address(self) -> str:
        return self.upstream.address


class EngineUsage(NamedTuple):
    """Memory and sequences that requests occupy at one upstream.

    `first_sequences` counts the requests whose path begins at the upstream.
    """

    token_layers: float = 0.0
    sequences: int = 0
    first_sequences: int = 0


class Reservation(NamedTuple):
    """Memory reserved for one request on each hop of its path."""

    hops: tuple[Hop, ...]
    tokens: float


class MemoryReservations:
    """Reserved memory by upstream id, of this router and of its peers."""

    def __init__(self):
        self._own: dict[str, EngineUsage] = {}
        self._peers: dict[str, dict[str, EngineUsage]] = {}
        self._total: dict[str, EngineUsage] = {}
        self._release_count = 0

    @property
    def release_count(self) -> int:
        """How many reservations this router has released."""
        return self._release_count

    def reserve(self, hops: tuple[Hop, ...], tokens: float) -> Reservation:
        self._adjust(hops, tokens, 1)
        return Reservation(hops, tokens)

    def release(self, reservation: Reservation):
        self._adjust(reservation.hops, -reservation.tokens, -1)
        self._release_count += 1

    def _adjust(self, hops, tokens, count):
        for index, hop in enumerate(hops):
            token_layers = tokens * (hop.layers.end - hop.layers.first)
            first = count if index == 0 else 0
            for usages in (self._own, self._total):
                usage = usages.get(hop.upstream.id, EngineUsage())
                usage = EngineUsage(
                    max(usage.token_layers + token_layers, 0.0),
                    max(usage.sequences + count, 0),
                    max(usage.first_sequences + first, 0),
                )
                if usage.sequences:
                    usages[hop.upstream.id] = usage
                else:
                    usages.pop(hop.upstream.id, None)

    def set_peer_usage(self, peer: str, usages: dict[str, EngineUsage]):
        """Replace the reservations that another router announced."""
        self._peers[peer] = usages
        self._recompute_total()

    def remove_peer(self, peer: str):
        if self._peers.pop(peer, None) is not None:
            self._recompute_total()

    def _recompute_total(self):
        total = dict(self._own)
        for usages in self._peers.values():
            for upstream_id, usage in usages.items():
                known = total.get(upstream_id, EngineUsage())
                total[upstream_id] = EngineUsage(
                    *map(sum, zip(known, usage, strict=True))
                )
        self._total = total

    def usage(self, upstream_id: str) -> EngineUsage:
        """Return what the requests of all routers occupy at an upstream."""
        return self._total.get(upstream_id, _NO_USAGE)

    def own_usage(self) -> dict[str, EngineUsage]:
        """Return what the requests of this router occupy, by upstream id."""
        return self._own

    def dump(self) -> dict:
        return {name: usage._asdict() for name, usage in self._total.items()}


_NO_USAGE = EngineUsage()
