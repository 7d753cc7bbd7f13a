"""Exchanges liveness, reservations and layer updates between routers.

Each router sends a datagram to all registered routers a few times a second. A lost
datagram is superseded by the next one, and correctness does not depend on delivery. One
router, the leader, places layers: by default the first by name. If two routers consider
themselves the leader, the engines' order counts decide which orders take effect.
"""

import json
import time
from collections.abc import Callable
from typing import NamedTuple

from gevent import socket
from gevent.event import Event as Signal

from bulrushdrum._internal.coordination.layer_updates import (
    LayerUpdates,
    decode_layer_updates,
)
from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.coordination.router_registry import RouterRegistry
from bulrushdrum._internal.coordination.store_contact import StoreContact
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.event_loop import run_other_tasks_if_due
from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import (
    EngineUsage,
    MemoryReservations,
)
from bulrushdrum._internal.pipelines.part_quarantine import PartQuarantine
from bulrushdrum._internal.settings.router import RouterSettings

# The interval grows with the number of routers, so that the rate of announcements that
# each of them receives stays about constant.
_MIN_INTERVAL_SECONDS = 0.2
_INTERVAL_SECONDS_PER_ROUTER = 0.02
# A peer times out after this many intervals without an announcement.
_PEER_TIMEOUT_INTERVALS = 6
_MAX_DATAGRAM_BYTES = 65000
# More than any deployment has; what each one announces is kept until it times out.
_MAX_PEERS = 256
# A router waits for announcements this long after its start before it becomes leader.
_ELECTION_DELAY_SECONDS = 1.5
# How long an upstream is remembered as reported unresponsive by a peer.
_PEER_REPORT_SECONDS = 4.0
# A registered router that has been silent for this long is taken as gone, unless this
# router may be the one that is partitioned.
_SILENT_ROUTER_SECONDS = 15.0


class _Peer(NamedTuple):
    address: tuple[str, int]
    incarnation: str
    first_received_at: float
    received_at: float
    is_serving: bool
    is_leader: bool
    accepts_work: bool
    ready_at: float
    configuration_version: int
    store_contact: StoreContact | None


def _decode_store_contact(raw, now) -> StoreContact | None:
    """Decode the ages of a peer's contact; releases without it announce none."""
    if raw is None:
        return None
    since_age, last_age = map(float, raw)
    if not 0.0 <= last_age <= since_age:
        raise ValueError(f"store_contact: {raw!r} are no ages")
    return StoreContact(now - since_age, now - last_age)


def _ignore(*_):
    pass


# The default for announcements of releases that do not count crashes.
_NO_FAILURES = {"crashes": {}, "served": []}
# The default for announcements of releases that do not know prompt parts.
_NO_CRASHES = {"crashes": [], "written": {}}


class RouterAnnouncements:
    """Announces the state of this router and receives that of its peers."""

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: str,
        registry: RouterRegistry,
        reservations: MemoryReservations,
        fleet: Fleet,
        reaches_store: Callable[[], bool],
        quarantine: CrashQuarantine,
        part_quarantine: PartQuarantine,
        limits: UpstreamLimits,
        configuration_version: Callable[[], int],
        store_contact: Callable[[], StoreContact | None] = lambda: None,
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._registry = registry
        self._reservations = reservations
        self._fleet = fleet
        self._reaches_store = reaches_store
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine
        self._limits = limits
        self._configuration_version = configuration_version
        self._store_contact = store_contact
        # Set by the exchange of conditions, which needs the messages of this object.
        self.announced_conditions: Callable[[], list] = list
        self.apply_conditions: Callable[[str, str, object], None] = _ignore
        # Set by the exchange of loans of retries.
        self.announced_retries: Callable[[], dict[str, int]] = dict
        self.apply_retries: Callable[[str, object], None] = _ignore
        # Set by the placement of layers.
        self.announced_orders: Callable[[], list] = list
        self.apply_orders: Callable[[list, bool], None] = _ignore
        self._peers: dict[str, _Peer] = {}
        self._is_serving = False
        self._accepts_work = True
        self._ready_in = 0.0
        self._is_leader = False
        self._started_at = time.monotonic()
        self._own_unresponsive: list[str] = []
        self.layer_updates = LayerUpdates(fleet)
        self._peer_reported_unresponsive: dict[str, float] = {}
        self._announcement_due = Signal()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((settings.ip, settings.peer_port))
        self.messages = PeerMessages(
            settings.node,
            incarnation,
            self._send_datagram,
            lambda: {name: peer.address for name, peer in self._live_peers().items()},
        )

    @property
    def interval(self) -> float:
        return max(
            _MIN_INTERVAL_SECONDS,
            _INTERVAL_SECONDS_PER_ROUTER * len(self._registry.addresses),
        )

    def set_serving(self, serving: bool):
        self._is_serving = serving

    def set_accepts_work(self, accepts_work: bool, ready_in: float = 0.0):
        """Set whether this router can complete new requests, even if it is not ready.

        A draining router accepts work while enough time is left to complete it; it
        expects to accept all work again in `ready_in` seconds.
        """
        self._accepts_work = accepts_work
        self._ready_in = ready_in

    def serving_routers(self) -> list[str]:
        """Return the sorted names of the serving routers and of this one."""
        names = [name for name, peer in self._live_peers().items() if peer.is_serving]
        return sorted({*names, self._settings.node})

    def all_peers_accept_work(self) -> bool:
        """Whether there are live peers and all of them accept work."""
        live_peers = self._live_peers()
        return bool(live_peers) and all(
            peer.accepts_work for peer in live_peers.values()
        )

    def has_live_peers(self) -> bool:
        return bool(self._live_peers())

    def peers_ready_in(self) -> float:
        """Return the time until all live peers accept work again, as they expect."""
        ready_at = [peer.ready_at for peer in self._live_peers().values()]
        return max([0.0, *(at - time.monotonic() for at in ready_at)])

    def newest_peer_version(self) -> int:
        """Return the newest version of the configuration at a live peer, or 0."""
        versions = [p.configuration_version for p in self._live_peers().values()]
        return max(versions, default=0)

    def store_contacts(self) -> list[StoreContact]:
        """Return the contact that live peers have with the store."""
        contacts = [peer.store_contact for peer in self._live_peers().values()]
        return [contact for contact in contacts if contact is not None]

    def hears_routers(self) -> bool:
        """Whether another router was heard, or the table names no other one."""
        is_alone = self._registry.has_read_table and not self._registry.other_names()
        return bool(self._peers) or is_alone

    def router_count(self) -> int:
        """Return the number of routers that share a common limit.

        Registered routers count even if they have timed out: they may be partitioned
        from this one and still use their share.
        """
        return len(self._registry.other_names()) + 1

    def silent_router_count(self) -> int:
        """Return how many other routers may be running without being heard.

        They use what they believe to be their share of common limits.
        """
        oldest = time.monotonic() - _SILENT_ROUTER_SECONDS
        if not self._reaches_store():
            oldest = float("-inf")
        silent = self._registry.other_names() - set(self._peers)
        return sum(self._registry.last_known_at(name) >= oldest for name in silent)

    def is_leader(self) -> bool:
        """Whether this router is the leader, which sends orders to engines.

        A leader keeps its role until it times out or stops; then the first serving
        router by name succeeds it. While all routers stop, the last leader goes on, so
        that lost layers are placed. A router that can reach neither the store nor a
        peer is partitioned and does not lead.
        """
        live_peers = self._live_peers()
        # Of several leaders, one that serves goes first, then the first by name.
        leaders = [
            (not peer.is_serving, name)
            for name, peer in live_peers.items()
            if peer.is_leader
        ]
        if not live_peers and not self._reaches_store():
            self._is_leader = False
        elif self._is_leader:
            hands_over = not self._is_serving and self._has_successor(live_peers)
            rank = (not self._is_serving, self._settings.node)
            self._is_leader = not hands_over and all(rank < other for other in leaders)
        else:
            waited = time.monotonic() - self._started_at > _ELECTION_DELAY_SECONDS
            is_first = self.serving_routers()[0] == self._settings.node
            self._is_leader = not leaders and is_first and waited and self._is_serving
        return self._is_leader

    def _has_successor(self, live_peers):
        """Whether another router serves and has waited long enough to lead."""
        oldest = time.monotonic() - _ELECTION_DELAY_SECONDS
        return any(
            peer.is_serving and peer.first_received_at <= oldest
            for peer in live_peers.values()
        )

    def announce_forever(self):
        while True:
            self._announcement_due.clear()
            self._announce()
            self._remove_timed_out_peers()
            self._announcement_due.wait(self.interval)

    def announce_soon(self):
        """Announce at once what the peers should not learn an interval later."""
        self._announcement_due.set()

    def _announce(self):
        # Reports of peers are not forwarded, so that they end when the peer stops
        # sending them.
        self._own_unresponsive = [
            upstream_id
            for upstream_id in self._fleet.unresponsive_ids()
            if upstream_id not in self._peer_reported_unresponsive
        ]
        oldest = time.monotonic() - _PEER_REPORT_SECONDS
        self._peer_reported_unresponsive = {
            name: reported_at
            for name, reported_at in self._peer_reported_unresponsive.items()
            if reported_at > oldest
        }
        message = json.dumps(
            {
                "node": self._settings.node,
                "incarnation": self._incarnation,
                "port": self._settings.peer_port,
                "serving": self._is_serving,
                "leading": self._is_leader,
                "takes_work": self._accepts_work,
                "ready_in": round(self._ready_in, 2),
                "failures": self._quarantine.announcement(),
                "prompt_parts": self._part_quarantine.announcement(),
                "limits": self._limits.announcement(),
                "configuration": self._configuration_version(),
                "store_contact": self._announced_store_contact(),
                "silent": self._own_unresponsive,
                "conditions": self.announced_conditions(),
                "lendable_retries": self.announced_retries(),
                "leaving": list(self._fleet.leaving().items()),
                "layers": self.layer_updates.announcement(),
                "orders": self.announced_orders(),
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
        ).encode()[:_MAX_DATAGRAM_BYTES]
        # Includes live peers that are no longer registered: a draining router still
        # needs announcements.
        targets = {name: peer.address for name, peer in self._live_peers().items()}
        targets.update(self._registry.addresses)
        for name, address in targets.items():
            if name == self._settings.node:
                continue
            self._send_datagram(name, address, message)

    def _send_datagram(self, name, address, data):
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            log_event(Event.PEER_UNREACHABLE, peer=name, reason=str(error))

    def _announced_store_contact(self):
        contact, now = self._store_contact(), time.monotonic()
        return None if contact is None else [round(now - at, 3) for at in contact]

    def listen_forever(self):
        while True:
            # Reading returns at once while datagrams are waiting.
            run_other_tasks_if_due(is_connection=True)
            data, address = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            try:
                raw = json.loads(data)
                if "kind" in raw:
                    self.messages.receive(raw)
                    self.messages.record_heard()
                    continue
                usages = {
                    str(upstream_id): EngineUsage(
                        float(usage[0]), int(usage[1]), int(usage[2])
                    )
                    for upstream_id, usage in raw["uses"].items()
                }
                name, serving = str(raw["node"]), bool(raw["serving"])
                if name not in self._peers and len(self._peers) >= _MAX_PEERS:
                    raise ValueError(f"more than {_MAX_PEERS} peers")
                is_leader = bool(raw["leading"])
                # Releases without this field accept work whenever they serve.
                accepts_work = bool(raw.get("takes_work", serving))
                ready_in = max(float(raw.get("ready_in", 0.0)), 0.0)
                configuration_version = int(raw.get("configuration", 0))
                store_contact = _decode_store_contact(
                    raw.get("store_contact"), time.monotonic()
                )
                unresponsive = [str(upstream_id) for upstream_id in raw["silent"]]
                leaving = [(str(i), int(born)) for i, born in raw.get("leaving", [])]
                updates = decode_layer_updates(raw["layers"])
                incarnation = str(raw["incarnation"])
                self._quarantine.apply_announcement(
                    name, incarnation, raw.get("failures", _NO_FAILURES)
                )
                self._part_quarantine.apply_announcement(
                    raw.get("prompt_parts", _NO_CRASHES)
                )
                # Releases without this field know no limits of upstreams.
                self._limits.apply_announcement(name, raw.get("limits", []))
                # Releases without this field share no conditions.
                self.apply_conditions(name, incarnation, raw.get("conditions", []))
                self.apply_retries(name, raw.get("lendable_retries", {}))
                # Releases without this field announce no orders.
                self.apply_orders(raw.get("orders", []), is_leader)
            except DECODING_ERRORS as error:
                log_event(Event.PEER_REFUSED, peer=str(address), reason=repr(error))
                continue
            known = self._peers.get(name)
            is_new = known is None or known.incarnation != incarnation
            if is_new:
                # A router that has just started waits for what its peers know.
                self.announce_soon()
            if known is None:
                log_event(Event.PEER_CONNECTED, peer=name, serving=serving)
            self._registry.record_heard(name)
            self.messages.record_heard()
            now = time.monotonic()
            self._peers[name] = _Peer(
                address,
                incarnation,
                now if is_new else known.first_received_at,
                now,
                serving,
                is_leader,
                accepts_work,
                now + ready_in,
                configuration_version,
                store_contact,
            )
            self._reservations.set_peer_usage(name, usages)
            self.layer_updates.apply(name, incarnation, updates)
            for upstream_id, born in leaving:
                self._fleet.mark_leaving(upstream_id, born)
            for upstream_id in unresponsive:
                if not self._fleet.is_unresponsive(upstream_id):
                    self._fleet.mark_unresponsive(upstream_id)
                    self._peer_reported_unresponsive[upstream_id] = time.monotonic()

    def _live_peers(self):
        oldest = time.monotonic() - self.interval * _PEER_TIMEOUT_INTERVALS
        return {
            name: peer
            for name, peer in self._peers.items()
            if peer.received_at >= oldest
        }

    def _remove_timed_out_peers(self):
        live_peers = self._live_peers()
        for name in set(self._peers) - set(live_peers):
            elapsed = time.monotonic() - self._peers.pop(name).received_at
            self._reservations.remove_peer(name)
            self._limits.remove_peer(name)
            log_event(Event.PEER_SILENT, peer=name, seconds=round(elapsed, 3))

    def dump(self) -> dict:
        return {
            "registered": sorted(self._registry.addresses),
            "heard": sorted(self._live_peers()),
            "is_leading": self._is_leader,
        }
