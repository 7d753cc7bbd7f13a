"""Data centres and the links between them."""

from typing import NamedTuple


class DataCentre(NamedTuple):
    """A data centre and the region it lies in."""

    name: str
    region: str


class LinkDelays:
    """One-way delays in seconds between data centres, symmetric.

    >>> link_delays = LinkDelays({"a|b": 0.02}, local=0.0002, default=0.001)
    >>> link_delays.delay("b", "a")
    0.02
    """

    def __init__(self, delays: dict[str, float], local: float, default: float):
        self._local = local
        self._default = default
        self._delays = {
            frozenset(pair.split("|")): delay for pair, delay in delays.items()
        }

    def delay(self, one: str, other: str) -> float:
        if one == other:
            return self._local
        return self._delays.get(frozenset((one, other)), self._default)
