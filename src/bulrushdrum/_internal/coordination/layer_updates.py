"""Layers that engines have reported to the leader ahead of their registrations.

A registration follows a heartbeat later, or not while the store is away. Until then the
leader announces the layers, and the other routers use them.
"""

import time
from collections import deque
from typing import NamedTuple

from bulrushdrum._internal.pipelines.fleet import LAYER_OVERRIDE_SECONDS, Fleet
from bulrushdrum._internal.world.upstreams import LayerRange

# Only the latest updates are announced, so that a datagram stays small.
_MAX_ANNOUNCED = 80
# Incarnations of which the number of the last applied update is kept.
_MAX_UPDATE_NUMBERS = 1024


class LayerUpdate(NamedTuple):
    """The layers that an engine holds; an `end` of 0 means none.

    Receivers skip updates whose `number` they have already applied.
    """

    number: int
    upstream_id: str
    born: int
    first: int
    end: int


class _OwnUpdate(NamedTuple):
    """An update, and the layers that the engine had registered when it was made."""

    update: LayerUpdate
    registered: LayerRange | None
    made_at: float


def decode_layer_updates(raw) -> list[LayerUpdate]:
    """Decode the updates of an announcement; raises `DECODING_ERRORS`."""
    return [
        LayerUpdate(int(number), str(upstream_id), int(born), int(first), int(end))
        for number, upstream_id, born, first, end in raw
    ]


class LayerUpdates:
    """The updates of this router, and what it has applied of those of its peers."""

    def __init__(self, fleet: Fleet, clock=time.monotonic):
        self._fleet = fleet
        self._clock = clock
        self._own: deque[_OwnUpdate] = deque(maxlen=_MAX_ANNOUNCED)
        self._last_number = 0
        # By name and incarnation of a router.
        self._applied_numbers: dict[tuple[str, str], int] = {}

    @property
    def senders(self) -> int:
        """Of how many incarnations the number of an applied update is kept."""
        return len(self._applied_numbers)

    def add(self, upstream_id: str, born: int, layers: LayerRange | None):
        """Announce the layers of an engine until it registers them."""
        self._last_number += 1
        first, end = layers or (0, 0)
        update = LayerUpdate(self._last_number, upstream_id, born, first, end)
        registered = self._fleet.registered_layers(upstream_id)
        self._own.append(_OwnUpdate(update, registered, self._clock()))

    def announcement(self) -> list[list]:
        """Return the updates of engines that have registered nothing since.

        A router that starts takes what is announced for newer than the registrations.
        """
        oldest = self._clock() - LAYER_OVERRIDE_SECONDS
        for entry in list(self._own):
            registered = self._fleet.registered_layers(entry.update.upstream_id)
            if entry.made_at < oldest or registered != entry.registered:
                self._own.remove(entry)
        return [list(entry.update) for entry in self._own]

    def apply(self, name: str, incarnation: str, updates: list[LayerUpdate]):
        """Use the layers that another router announces, each update once."""
        key = (name, incarnation)
        for update in updates:
            if update.number <= self._applied_numbers.get(key, 0):
                continue
            # The latest to apply updates is last, and the first is forgotten.
            self._applied_numbers.pop(key, None)
            self._applied_numbers[key] = update.number
            if len(self._applied_numbers) > _MAX_UPDATE_NUMBERS:
                del self._applied_numbers[next(iter(self._applied_numbers))]
            layers = LayerRange(update.first, update.end)
            self._fleet.override_layers(
                update.upstream_id,
                update.born,
                layers if layers.end else None,
                LAYER_OVERRIDE_SECONDS,
            )
