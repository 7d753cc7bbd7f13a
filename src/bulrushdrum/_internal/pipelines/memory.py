"""The ledger of engine memory: what requests of all routers have reserved.

A request reserves, on each upstream of its path, its tokens times the layers that the
upstream runs for it. Other routers announce the sums of theirs. Reports of engines lag
and cost a call, while reservations are known before the engine sees the request.
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


class Use(NamedTuple):
    """What requests occupy at one upstream."""

    token_layers: float = 0.0
    sequences: int = 0
    first_sequences: int = 0


class Reservation(NamedTuple):
    """Memory reserved for one request on each hop of its path."""

    hops: tuple[Hop, ...]
    tokens: float


class MemoryLedger:
    """Reservations by upstream id."""

    def __init__(self):
        self._own: dict[str, Use] = {}
        self._peers: dict[str, dict[str, Use]] = {}
        self._total: dict[str, Use] = {}

    def reserve(self, hops: tuple[Hop, ...], tokens: float) -> Reservation:
        self._add(hops, tokens, 1)
        return Reservation(hops, tokens)

    def release(self, reservation: Reservation):
        self._add(reservation.hops, -reservation.tokens, -1)

    def _add(self, hops, tokens, count):
        for index, hop in enumerate(hops):
            amount = tokens * (hop.layers.end - hop.layers.first)
            first = count if index == 0 else 0
            for uses in (self._own, self._total):
                use = uses.get(hop.upstream.id, Use())
                use = Use(
                    max(use.token_layers + amount, 0.0),
                    max(use.sequences + count, 0),
                    max(use.first_sequences + first, 0),
                )
                if use.sequences:
                    uses[hop.upstream.id] = use
                else:
                    uses.pop(hop.upstream.id, None)

    def set_peer(self, peer: str, uses: dict[str, Use]):
        """Take over what another router says that it has reserved."""
        self._peers[peer] = uses
        self._sum()

    def forget_peer(self, peer: str):
        if self._peers.pop(peer, None) is not None:
            self._sum()

    def _sum(self):
        total = dict(self._own)
        for uses in self._peers.values():
            for upstream_id, use in uses.items():
                known = total.get(upstream_id, Use())
                total[upstream_id] = Use(*map(sum, zip(known, use, strict=True)))
        self._total = total

    def use(self, upstream_id: str) -> Use:
        """Return what all routers occupy at an upstream."""
        return self._total.get(upstream_id, _NOTHING)

    def own_uses(self) -> dict[str, Use]:
        return self._own

    def dump(self) -> dict:
        return {name: use._asdict() for name, use in self._total.items()}


_NOTHING = Use()
