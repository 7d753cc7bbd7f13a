"""Membership: the entries and upstreams that exist and are reachable.

The platform's VM list determines which VMs to dial. It lags, so whether a peer is
usable depends only on its connection and its heartbeats, and a sidecar's description of
its upstream takes precedence over the list. One greenlet for each VM maintains the
connection to it.
"""

import random
import time

import gevent

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import dial
from bulrushdrum._internal.peering.errors import ConnectionLost, PeeringError
from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.process_messages import Beat, Describe
from bulrushdrum._internal.peering.shared_state_messages import EntryMember
from bulrushdrum._internal.platform.errors import PlatformError
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState
from bulrushdrum._internal.world.vms import Vm, VmState

MISSED_HEARTBEATS = 3
CLOCK_GAP_SECONDS = 2.0
_MAX_REDIAL_SECONDS = 5.0


class Upstream:
    """This entry's view of one upstream, as reported by its sidecar."""

    def __init__(self, connection, description: Describe):
        self._connection = connection
        self._description = description
        self._reported_tokens = 0
        self._reported_running = 0
        self._assigned_tokens = 0
        self._assigned_requests = 0
        self._solo_fingerprints: set[str] = set()
        self._listed_leaving = False

    @property
    def id(self) -> str:
        return self._description.upstream

    @property
    def description(self) -> Describe:
        return self._description

    @property
    def incarnation(self) -> str:
        return self._connection.peer.incarnation

    @property
    def address(self) -> str:
        return self._connection.peer.address

    @property
    def data_centre(self) -> str:
        return self._connection.peer.data_centre

    @property
    def connection(self):
        return self._connection

    @property
    def layers(self) -> LayerRange:
        return LayerRange(self._description.first_layer, self._description.end_layer)

    @property
    def window(self) -> int:
        return self._description.window

    @property
    def serving(self) -> bool:
        return (
            self._description.state == UpstreamState.SERVING
            and not self._listed_leaving
            and not self._connection.closed
        )

    @property
    def assigned_tokens(self) -> int:
        """Tokens of this entry's requests that the upstream has not run yet."""
        return self._assigned_tokens

    @property
    def assigned_requests(self) -> int:
        return self._assigned_requests

    @property
    def reported_tokens(self) -> int:
        return self._reported_tokens

    @property
    def reported_running(self) -> int:
        return self._reported_running

    @property
    def solo_fingerprints(self) -> set[str]:
        """Suspects that this entry runs on it; see `routing.crash_quarantine`."""
        return self._solo_fingerprints

    def assign(self, tokens: int):
        self._assigned_tokens += tokens
        self._assigned_requests += 1

    def progress(self, tokens: int):
        self._assigned_tokens -= tokens

    def unassign(self, tokens: int):
        self._assigned_tokens -= tokens
        self._assigned_requests -= 1

    def update_description(self, description: Describe):
        self._description = description

    def update_load(self, beat: Beat):
        self._reported_tokens = beat.queued_tokens
        self._reported_running = beat.running
        self._description = self._description._replace(
            state=beat.state, window=beat.window
        )

    def set_listed_leaving(self, leaving: bool):
        self._listed_leaving = leaving

    def dump(self) -> dict:
        return {
            "incarnation": self.incarnation,
            "data_centre": self.data_centre,
            "state": self._description.state,
            "listed_leaving": self._listed_leaving,
            "service": self._description.service,
            "model": self._description.model,
            "model_version": self._description.model_version,
            "layers": list(self.layers),
            "assigned_requests": self._assigned_requests,
            "assigned_tokens": self._assigned_tokens,
            "reported_running": self._reported_running,
            "reported_tokens": self._reported_tokens,
            "window": self.window,
        }


class Membership:
    """Dials peers, exchanges heartbeats and tracks the connected upstreams.

    `heartbeat_fields()` returns the configuration revision and the entry-set version
    for outgoing heartbeats. `on_entry_heartbeat(connection, beat)` is called for each
    heartbeat from another entry, `on_describe(connection, description)` for each
    description of an upstream, and `on_clock_gap(seconds)` after this process was
    paused.
    """

    def __init__(
        self, hub: PeerHub, settings: EntrySettings, keys: PeeringKeys, vm_list
    ):
        self._hub = hub
        self._settings = settings
        self._keys = keys
        self._vm_list = vm_list
        self._random = random.Random(settings.seed or None)
        self._listed: dict[str, Vm] = {}
        self._last_listed: dict[str, float] = {}
        self._list_read_at = 0.0
        self._started_at = self._clock_checked_at = time.monotonic()
        self._dialers: dict[str, gevent.Greenlet] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._last_heard: dict[str, float] = {}
        self._incarnation_by_address: dict[str, str] = {}
        self._dead_since: dict[str, float] = {}
        self._upstream_lost_callbacks = []
        self._change_callbacks = []
        self.heartbeat_fields = lambda: (0, 0)
        self.on_entry_heartbeat = lambda connection, beat: None
        self.on_clock_gap = lambda seconds: None
        self.on_describe = lambda connection, description: None
        self.state = UpstreamState.SERVING
        hub.register(Describe, self._handle_describe)
        hub.register(Beat, self._handle_heartbeat)
        hub.on_connected(self._handle_connected)
        hub.on_lost(self._handle_lost)

    @property
    def hub(self) -> PeerHub:
        return self._hub

    def start(self):
        gevent.spawn(self._read_vm_list)
        gevent.spawn(self._send_heartbeats)

    def listed_entries(self) -> list[str]:
        """Return the names of the entries in the VM list."""
        return [vm.name for vm in self._listed.values() if vm.role == "entry"]

    def upstreams(self) -> list[Upstream]:
        return list(self._upstreams.values())

    def upstream_by_incarnation(self, incarnation: str) -> Upstream | None:
        return self._upstreams.get(incarnation)

    def on_upstream_lost(self, callback):
        """Call `callback(upstream)` when the connection to an upstream is lost."""
        self._upstream_lost_callbacks.append(callback)

    def on_change(self, callback):
        """Call `callback()` when upstreams appear, change state or disappear."""
        self._change_callbacks.append(callback)

    def is_known_dead(self, member: EntryMember) -> bool:
        """Return whether the entry has stopped and its requests have ended too.

        Sidecars continue the requests of a stopped entry until they detect that it is
        lost and cancel them, so its permits stay in use for `orphan_grace` afterwards.
        """
        if not self.has_died(member):
            self._dead_since.pop(member.incarnation, None)
            return False
        now = time.monotonic()
        since = self._dead_since.setdefault(member.incarnation, now)
        return now - since >= self._settings.orphan_grace

    def has_died(self, member: EntryMember) -> bool:
        """Return whether the entry incarnation has certainly stopped.

        It has if another incarnation answered at its address, or if the platform no
        longer lists its VM. A lost connection alone is no proof: the process may be
        paused or partitioned.
        """
        if self._hub.connection_to(member.incarnation) is not None:
            return False
        local = self._hub.local_identity
        if member.address == local.address:
            return member.incarnation != local.incarnation
        successor = self._incarnation_by_address.get(member.address)
        if successor not in (None, member.incarnation):
            return True
        if not self._list_read_at:
            return False
        listed = self._listed.get(member.node)
        if listed is not None:
            return listed.address != member.address
        if member.node in self._last_listed:
            return True
        # Not listed since this process started: the VM may be too new for the list.
        return time.monotonic() - self._started_at > self._settings.vm_list_max_lag

    def dump(self) -> dict:
        now = time.monotonic()
        return {
            "listed_vms": len(self._listed),
            "list_age_seconds": round(now - self._list_read_at, 1)
            if self._list_read_at
            else None,
            "entries": [
                {
                    "node": connection.peer.node,
                    "incarnation": connection.peer.incarnation,
                }
                for connection in self._hub.connections("entry")
            ],
            "upstreams": self.dump_upstreams(),
        }

    def dump_upstreams(self) -> dict:
        return {upstream.id: upstream.dump() for upstream in self._upstreams.values()}

    # VM list and dialling.

    def _read_vm_list(self):
        while True:
            try:
                listed = self._vm_list.fetch()
            except PlatformError:
                pass  # use the last list; connections determine who is reachable
            else:
                self._apply_vm_list(listed)
            pause = self._settings.vm_list_interval
            gevent.sleep(pause * self._random.uniform(0.8, 1.2))

    def _apply_vm_list(self, listed):
        now = time.monotonic()
        self._list_read_at = now
        self._listed = {vm.name: vm for vm in listed}
        for vm in listed:
            self._last_listed[vm.name] = now
            if self._should_dial(vm) and vm.address not in self._dialers:
                self._dialers[vm.address] = gevent.spawn(self._maintain_connection, vm)
        for upstream in self._upstreams.values():
            vm = self._listed.get(upstream.connection.peer.node)
            leaving = vm is not None and vm.state == VmState.LEAVING
            upstream.set_listed_leaving(leaving)

    def _should_dial(self, vm):
        if vm.name == self._settings.node:
            return False
        if vm.role == "entry":
            # Only one side of each pair dials, so that both use the same connection.
            return self._settings.node < vm.name
        watched = self._settings.watched_data_centres
        if watched:
            return vm.data_centre in watched
        return vm.region == self._settings.region

    def _maintain_connection(self, vm):
        pause = self._settings.heartbeat_interval / 2
        while self._listed.get(vm.name, vm).address == vm.address:
            try:
                connection = dial(
                    vm.address,
                    self._hub.local_identity,
                    self._keys,
                    self._settings.address_map,
                )
            except PeeringError:
                if vm.name not in self._listed:
                    break
                gevent.sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(pause * 2, _MAX_REDIAL_SECONDS)
                continue
            pause = self._settings.heartbeat_interval / 2
            self._hub.serve(connection)
            gevent.sleep(pause * self._random.uniform(0.5, 1.0))
        self._dialers.pop(vm.address, None)

    # Heartbeats.

    def _send_heartbeats(self):
        interval = self._settings.heartbeat_interval
        self._clock_checked_at = time.monotonic()
        while True:
            gevent.sleep(interval)
            self.check_clock()
            self._heartbeat_round(time.monotonic(), interval)

    def check_clock(self):
        """Detect whether this process was paused.

        Called by the heartbeat loop and at each admission, because after a pause a
        request may be read before the loop runs again.
        """
        now = time.monotonic()
        gap = now - self._clock_checked_at - self._settings.heartbeat_interval
        self._clock_checked_at = now
        if gap > CLOCK_GAP_SECONDS:
            log_event(Event.CLOCK_GAP, seconds=round(gap, 3))
            # Messages that arrived during the pause are still unread, so peers must
            # not count as silent yet.
            self._last_heard = dict.fromkeys(self._last_heard, now)
            self.on_clock_gap(gap)

    def _heartbeat_round(self, now, interval):
        """Close silent connections and send a heartbeat on the others.

        A peer that receives nothing from this process closes the connection too, so a
        link that fails in one direction is detected as soon as one that fails in both.
        """
        revision, version = self.heartbeat_fields()
        beat = Beat(
            state=self.state, config_revision=revision, entry_set_version=version
        )
        for connection in self._hub.connections():
            heard = self._last_heard.setdefault(connection.peer.incarnation, now)
            if now - max(heard, connection.received_at) > MISSED_HEARTBEATS * interval:
                connection.close()
                continue
            try:
                connection.send(beat)
            except ConnectionLost:
                pass  # the reader greenlet reports the loss

    def _handle_connected(self, connection):
        peer = connection.peer
        self._last_heard[peer.incarnation] = time.monotonic()
        self._incarnation_by_address[peer.address] = peer.incarnation

    def _handle_heartbeat(self, connection, beat):
        self._last_heard[connection.peer.incarnation] = time.monotonic()
        if connection.peer.kind == "entry":
            self.on_entry_heartbeat(connection, beat)
            return
        upstream = self._upstreams.get(connection.peer.incarnation)
        if upstream is not None:
            before = upstream.serving
            upstream.update_load(beat)
            if upstream.serving != before:
                self._notify_change()

    def _handle_describe(self, connection, description):
        upstream = self._upstreams.get(connection.peer.incarnation)
        if upstream is None or upstream.connection is not connection:
            upstream = Upstream(connection, description)
            self._upstreams[connection.peer.incarnation] = upstream
        else:
            upstream.update_description(description)
        self.on_describe(connection, description)
        self._notify_change()

    def _handle_lost(self, connection):
        incarnation = connection.peer.incarnation
        self._last_heard.pop(incarnation, None)
        upstream = self._upstreams.pop(incarnation, None)
        if upstream is not None:
            for callback in self._upstream_lost_callbacks:
                callback(upstream)
            self._notify_change()

    def _notify_change(self):
        for callback in self._change_callbacks:
            callback()
