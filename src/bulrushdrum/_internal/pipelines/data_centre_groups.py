"""Which data centres hold a copy of a model's layers together.

A data centre that can hold a copy and still has room for requests keeps its paths to
itself. In a small or unevenly spread fleet a copy of its own would leave it no memory
for requests; then data centres share one, and their paths cross between them.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bulrushdrum._internal.world.engines import EngineModel, PoolUpstream

# A copy that leaves room for fewer usual requests than this is shared: the variation of
# a usual load alone would fill it.
_FEWEST_REQUESTS = 12
# Data centres whose pipe a usual request occupies for longer than this, in seconds, are
# not joined: ten requests a second would fill it.
_LONGEST_TRANSFER_SECONDS = 0.1


class DataCentreGroup(NamedTuple):
    """Data centres that hold copies of the layers together, and their engines."""

    data_centres: frozenset[str]
    engines: tuple[PoolUpstream, ...]

    @property
    def is_single(self) -> bool:
        return len(self.data_centres) == 1

    def join(self, other: "DataCentreGroup") -> "DataCentreGroup":
        return DataCentreGroup(
            self.data_centres | other.data_centres, self.engines + other.engines
        )


def group_members(groups: list[DataCentreGroup]) -> dict[str, frozenset[str]]:
    """Return, for each data centre, all that hold copies together with it."""
    return {name: group.data_centres for group in groups for name in group.data_centres}


def group_data_centres(
    model: EngineModel,
    engines: Iterable[PoolUpstream],
    token_capacity_of: Callable[[EngineModel, list[PoolUpstream]], float],
) -> list[DataCentreGroup]:
    """Return the groups of data centres, ordered by their names.

    `token_capacity_of(model, engines)` returns the request tokens beside one copy. The
    group with the least room joins the next one until all have enough, or one is left.
    """
    by_name: dict[str, list[PoolUpstream]] = {}
    for engine in engines:
        by_name.setdefault(engine.data_centre, []).append(engine)
    groups = [
        DataCentreGroup(frozenset((name,)), tuple(local))
        for name, local in sorted(by_name.items())
    ]
    if model.transfer_seconds(model.mean_request_tokens) > _LONGEST_TRANSFER_SECONDS:
        return groups
    enough = model.mean_request_tokens * _FEWEST_REQUESTS
    while len(groups) > 1:
        capacities = {
            group: token_capacity_of(model, list(group.engines)) for group in groups
        }
        groups.sort(key=lambda group: (capacities[group], sorted(group.data_centres)))
        if capacities[groups[0]] >= enough:
            break
        groups = [groups[0].join(groups[1]), *groups[2:]]
    return sorted(groups, key=lambda group: sorted(group.data_centres))
