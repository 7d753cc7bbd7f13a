"""Groups of data centres that hold a copy of a model's layers together.

A data centre that can hold a copy and still has enough free memory for requests forms a
group of its own, so that its paths stay within it. In a small or unevenly distributed
fleet a separate copy would leave it no memory for requests; such data centres share a
copy, and their paths cross between them.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bulrushdrum._internal.world.engines import EngineModel, PoolUpstream

# Data centres share a copy if a separate one would leave memory for fewer mean-sized
# requests than this: the variation of a typical load alone would fill that memory.
_MIN_REQUEST_CAPACITY = 12
# Data centres are not grouped if a mean-sized request occupies the link between them
# for longer than this: ten requests a second would saturate it.
_MAX_TRANSFER_SECONDS = 0.1


class DataCentreGroup(NamedTuple):
    """Data centres that hold copies of the layers together, and their engines."""

    data_centres: frozenset[str]
    engines: tuple[PoolUpstream, ...]

    @property
    def is_single(self) -> bool:
        return len(self.data_centres) == 1

    def merged_with(self, other: "DataCentreGroup") -> "DataCentreGroup":
        return DataCentreGroup(
            self.data_centres | other.data_centres, self.engines + other.engines
        )


def group_members(groups: list[DataCentreGroup]) -> dict[str, frozenset[str]]:
    """Return, for each data centre, all data centres of its group."""
    return {name: group.data_centres for group in groups for name in group.data_centres}


def group_data_centres(
    model: EngineModel,
    engines: Iterable[PoolUpstream],
    token_capacity_of: Callable[[EngineModel, list[PoolUpstream]], float],
) -> list[DataCentreGroup]:
    """Return the groups of data centres, ordered by their names.

    `token_capacity_of(model, engines)` returns how many request tokens fit in memory
    next to one copy of the layers. The group with the least capacity is merged with the
    next one until all groups have enough, or one is left.
    """
    by_name: dict[str, list[PoolUpstream]] = {}
    for engine in engines:
        by_name.setdefault(engine.data_centre, []).append(engine)
    groups = [
        DataCentreGroup(frozenset((name,)), tuple(local))
        for name, local in sorted(by_name.items())
    ]
    if model.transfer_seconds(model.mean_request_tokens) > _MAX_TRANSFER_SECONDS:
        return groups
    required_tokens = model.mean_request_tokens * _MIN_REQUEST_CAPACITY
    while len(groups) > 1:
        capacities = {
            group: token_capacity_of(model, list(group.engines)) for group in groups
        }
        groups.sort(key=lambda group: (capacities[group], sorted(group.data_centres)))
        if capacities[groups[0]] >= required_tokens:
            break
        groups = [groups[0].merged_with(groups[1]), *groups[2:]]
    return sorted(groups, key=lambda group: sorted(group.data_centres))
