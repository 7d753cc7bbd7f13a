"""What routers tell each other: that they live, and what they have reserved.

Each router keeps a row with its address in the store, and sends a datagram to all the
others a few times a second. A lost datagram is made good by the next one, and nothing
that must hold rests on them: one router places layers, by default
the first by name, and if two believe that they do, the engines' order counts decide.
"""

import json
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent import socket

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import LAYER_OVERRIDE_SECONDS, Fleet
from bulrushdrum._internal.pipelines.memory_reservations import (
    EngineUsage,
    MemoryReservations,
)
from bulrushdrum._internal.platform.errors import (
    PlatformError,
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.rows import RowStore, StoredRow
from bulrushdrum._internal.settings.router import RouterSettings
from bulrushdrum._internal.world.upstreams import LayerRange

ROUTERS_TABLE = "routers"
# Announcements go out this often, and less often among many routers, so that the work
# that they cause at each stays about the same.
_INTERVAL_SECONDS = 0.2
_INTERVAL_SECONDS_PER_ROUTER = 0.02
# A router that was not heard for this many intervals counts as gone.
_SILENT_INTERVALS = 6
_LARGEST_DATAGRAM = 65000
_MOST_NEWS = 80
# A router that has just started listens for this long before it leads, in seconds.
_LISTEN_SECONDS = 1.5
# How long what another router said of a silent upstream is remembered as its word.
_TOLD_SECONDS = 4.0
_REGISTER_RETRY_SECONDS = 0.5


class _Peer(NamedTuple):
    address: tuple[str, int]
    incarnation: str
    heard_at: float
    is_serving: bool
    is_leader: bool
    accepts_work: bool


class _LayerNews(NamedTuple):
    """What one engine holds; `number` tells news from what was heard before.

    An `end` of 0 stands for no layers.
    """

    number: int
    upstream_id: str
    born: int
    first: int
    end: int


def _decode_news(raw):
    number, upstream_id, born, first, end = raw
    return _LayerNews(int(number), str(upstream_id), int(born), int(first), int(end))


# Announced by releases that count no crashes.
_NO_FAILURES = {"crashes": {}, "served": []}


class RouterAnnouncements:
    """Registers this router, announces it, and listens to the others."""

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: str,
        reservations: MemoryReservations,
        fleet: Fleet,
        store: RowStore,
        reaches_store: Callable[[], bool],
        quarantine: CrashQuarantine,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._reservations = reservations
        self._fleet = fleet
        self._store = store
        self._reaches_store = reaches_store
        self._quarantine = quarantine
        self._peers: dict[str, _Peer] = {}
        self._registered: dict[str, tuple[str, int]] = {}
        self._serving = False
        self._accepts_work = True
        self._leading = False
        self._started_at = time.monotonic()
        self._own_unresponsive: list[str] = []
        # Only the latest news go out, so that a datagram stays small.
        self._layer_news: deque[_LayerNews] = deque(maxlen=_MOST_NEWS)
        self._news_number = 0
        self._news_heard: dict[tuple[str, str], int] = {}
        self._told_unresponsive: dict[str, float] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((settings.ip, settings.peer_port))

    @property
    def interval(self) -> float:
        return max(
            _INTERVAL_SECONDS, _INTERVAL_SECONDS_PER_ROUTER * len(self._registered)
        )

    def set_serving(self, serving: bool):
        self._serving = serving
        if not serving:
            self._leading = False

    def set_accepts_work(self, accepts_work: bool):
        """Say whether this router can end what it begins, though it may not be ready.

        A draining router takes work as long as it has time for it.
        """
        self._accepts_work = accepts_work

    def on_rows(self, rows: list[StoredRow], whole: bool):
        """Take over changed rows of the routers' table."""
        if whole:
            self._registered.clear()
        for row in rows:
            if row.value is None:
                self._registered.pop(row.key, None)
                continue
            try:
                raw = json.loads(row.value)
                self._registered[row.key] = (str(raw["ip"]), int(raw["port"]))
            except (KeyError, TypeError, ValueError) as error:
                log_event(Event.VM_ROW_INVALID, row=row.key, reason=repr(error))

    def register(self):
        """Write this router's row; tries again until the store has taken it."""
        value = {
            "ip": self._settings.ip,
            "port": self._settings.peer_port,
            "incarnation": self._incarnation,
        }
        while True:
            try:
                self._store.write(
                    ROUTERS_TABLE, self._settings.node, json.dumps(value).encode()
                )
                return
            except (StoreUnavailable, WriteOutcomeUnknown) as error:
                # Writing the same row twice changes nothing.
                log_event(Event.ROUTER_NOT_REGISTERED, reason=str(error))
                gevent.sleep(_REGISTER_RETRY_SECONDS)

    def unregister(self):
        """Remove this router's row, if the store can be reached."""
        try:
            self._store.write(ROUTERS_TABLE, self._settings.node, None)
        except PlatformError as error:
            log_event(Event.ROUTER_NOT_REGISTERED, reason=str(error))

    def serving_routers(self) -> list[str]:
        """Return the names of the routers that take requests, with this one."""
        names = [name for name, peer in self._heard().items() if peer.is_serving]
        return sorted({*names, self._settings.node})

    def all_peers_accept_work(self) -> bool:
        """Whether every other router that is heard says that it takes work."""
        heard = self._heard()
        return bool(heard) and all(peer.accepts_work for peer in heard.values())

    def router_count(self) -> int:
        """Return the number of routers among which a common bound is divided.

        Routers that are registered but not heard may only be cut off, and use their
        share all the same.
        """
        return max(len({*self._registered, self._settings.node}), 1)

    def is_leader(self) -> bool:
        """Whether this router is the one that gives orders.

        One that leads goes on until it is silent or stops; then the first by name
        follows. A router that hears neither the store nor another router is cut off,
        and does not lead.
        """
        heard = self._heard()
        leaders = [name for name, peer in heard.items() if peer.is_leader]
        if not heard and not self._reaches_store():
            self._leading = False
        elif self._leading:
            self._leading = all(self._settings.node < name for name in leaders)
        else:
            waited = time.monotonic() - self._started_at > _LISTEN_SECONDS
            first = self.serving_routers()[0] == self._settings.node
            self._leading = not leaders and first and waited and self._serving
        return self._leading

    def announce_forever(self):
        while True:
            self._announce()
            self._forget_silent()
            gevent.sleep(self.interval)

    def _announce(self):
        # What others said is not passed on, so that it ends when they end it.
        self._own_unresponsive = [
            upstream_id
            for upstream_id in self._fleet.unresponsive_ids()
            if upstream_id not in self._told_unresponsive
        ]
        oldest = time.monotonic() - _TOLD_SECONDS
        self._told_unresponsive = {
            name: told
            for name, told in self._told_unresponsive.items()
            if told > oldest
        }
        message = json.dumps(
            {
                "node": self._settings.node,
                "incarnation": self._incarnation,
                "port": self._settings.peer_port,
                "serving": self._serving,
                "leading": self._leading,
                "takes_work": self._accepts_work,
                "failures": self._quarantine.announcement(),
                "silent": self._own_unresponsive,
                "layers": [list(news) for news in self._layer_news],
                "uses": {
                    name: [
                        round(usage.token_layers),
                        usage.sequences,
                        usage.first_sequences,
                    ]
                    for name, usage in self._reservations.own_usage().items()
                },
            },
            separators=(",", ":"),
        ).encode()[:_LARGEST_DATAGRAM]
        # One that drains is no longer registered, and needs to hear of the others.
        targets = {name: peer.address for name, peer in self._heard().items()}
        targets.update(self._registered)
        for name, address in targets.items():
            if name == self._settings.node:
                continue
            try:
                self._socket.sendto(message, address)
            except OSError as error:
                log_event(Event.PEER_UNREACHABLE, peer=name, reason=str(error))

    def listen_forever(self):
        while True:
            data, address = self._socket.recvfrom(_LARGEST_DATAGRAM)
            try:
                raw = json.loads(data)
                usages = {
                    str(upstream_id): EngineUsage(
                        float(usage[0]), int(usage[1]), int(usage[2])
                    )
                    for upstream_id, usage in raw["uses"].items()
                }
                name, serving = str(raw["node"]), bool(raw["serving"])
                leading = bool(raw["leading"])
                # Releases before this field take work whenever they serve.
                accepts_work = bool(raw.get("takes_work", serving))
                unresponsive = [str(upstream_id) for upstream_id in raw["silent"]]
                news = [_decode_news(entry) for entry in raw["layers"]]
                incarnation = str(raw["incarnation"])
                self._quarantine.apply_announcement(
                    name, incarnation, raw.get("failures", _NO_FAILURES)
                )
            except (KeyError, TypeError, ValueError, IndexError) as error:
                log_event(Event.PEER_REFUSED, peer=str(address), reason=repr(error))
                continue
            if name not in self._peers:
                log_event(Event.PEER_CONNECTED, peer=name, serving=serving)
            self._peers[name] = _Peer(
                address, incarnation, time.monotonic(), serving, leading, accepts_work
            )
            self._reservations.set_peer_usage(name, usages)
            self._take_over_layers(name, incarnation, news)
            for upstream_id in unresponsive:
                if not self._fleet.is_unresponsive(upstream_id):
                    self._fleet.mark_unresponsive(upstream_id)
                    self._told_unresponsive[upstream_id] = time.monotonic()

    def announce_layers(self, upstream_id: str, born: int, layers: LayerRange | None):
        """Tell the others which layers an engine holds, ahead of its registration."""
        self._news_number += 1
        first, end = layers or (0, 0)
        self._layer_news.append(
            _LayerNews(self._news_number, upstream_id, born, first, end)
        )

    def _take_over_layers(self, name, incarnation, news):
        key = (name, incarnation)
        for entry in news:
            if entry.number <= self._news_heard.get(key, 0):
                continue
            self._news_heard[key] = entry.number
            layers = LayerRange(entry.first, entry.end)
            self._fleet.override_layers(
                entry.upstream_id,
                entry.born,
                layers if layers.end else None,
                LAYER_OVERRIDE_SECONDS,
            )

    def _heard(self):
        oldest = time.monotonic() - self.interval * _SILENT_INTERVALS
        return {
            name: peer for name, peer in self._peers.items() if peer.heard_at >= oldest
        }

    def _forget_silent(self):
        heard = self._heard()
        for name in set(self._peers) - set(heard):
            silent = time.monotonic() - self._peers.pop(name).heard_at
            self._reservations.remove_peer(name)
            log_event(Event.PEER_SILENT, peer=name, seconds=round(silent, 3))

    def dump(self) -> dict:
        return {
            "registered": sorted(self._registered),
            "heard": sorted(self._heard()),
            "is_leading": self._leading,
        }
