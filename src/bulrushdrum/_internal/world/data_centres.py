"""Data centres and the network delays between them."""

from typing import NamedTuple


class DataCentre(NamedTuple):
    """A data centre and its region."""

    name: str
    region: str


class LinkDelays:
    """Symmetric one-way delays between data centres, in seconds.

    `local` applies within a data centre and `default` to pairs that are not listed.

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

    def delay(self, data_centre: str, other: str) -> float:
        if data_centre == other:
            return self._local
        return self._delays.get(frozenset((data_centre, other)), self._default)
