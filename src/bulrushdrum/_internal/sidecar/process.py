"""The sidecar process: everything that runs beside one upstream.

`python -m bulrushdrum._internal.sidecar.process --settings FILE` runs one by itself.
"""

if __name__ == "__main__":
    # Before any import that takes names from the standard library's modules.
    from gevent import monkey

    monkey.patch_all()

import argparse
import gc
import secrets
import signal
import sys
import time

import gevent
from gevent.event import Event as Flag

from bulrushdrum._internal.observability.events import Event, log_event, start_logging
from bulrushdrum._internal.peering.connections import PeerServer
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import Beat, CacheEvent, CacheEvents
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.bindings import BindingTable
from bulrushdrum._internal.sidecar.dump import StateDump, settings_without_secrets
from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.heartbeats import Heartbeats
from bulrushdrum._internal.sidecar.next_hops import NextHops
from bulrushdrum._internal.sidecar.orders import Orders
from bulrushdrum._internal.sidecar.service_calls import ServiceCalls
from bulrushdrum._internal.sidecar.stages import Stages
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.sidecar.upstream_watches import EngineWatch, ServiceWatch

EXIT_ADDRESS_IN_USE = 3
DRAIN_POLL_SECONDS = 0.05
# Entries hear of a drain within a round trip, or when a busy one next runs. Until then
# they still send work here, and a refusal would cost each of them another attempt.
HAND_OVER_SECONDS = 0.7


class Sidecar:
    """The parts of one sidecar process and how they are connected."""

    def __init__(self, settings: SidecarSettings):
        self._settings = settings
        incarnation = f"{settings.node}.{secrets.token_hex(6)}"
        self._local = PeerIdentity(
            "sidecar",
            settings.node,
            incarnation,
            settings.data_centre,
            settings.advertised_address,
        )
        keys = PeeringKeys(
            settings.current_key,
            {key_id: secret.encode() for key_id, secret in settings.keys.items()},
        )
        self._hub = PeerHub(self._local)
        self._status = UpstreamStatus(settings)
        self._bindings = BindingTable(incarnation, time.monotonic)
        self._next_hops = NextHops(
            self._local, keys, settings, self._next_hop_lost, self._on_next_hop_message
        )
        self._engine = EngineClient(
            settings.upstream_url, settings.engine_timeout, settings.order_timeout
        )
        self._stages = Stages(
            self._hub,
            settings,
            self._engine,
            self._status,
            self._bindings,
            self._next_hops,
        )
        self._calls = ServiceCalls(self._hub, settings, self._status, self._bindings)
        self._orders = Orders(
            self._hub,
            settings,
            self._engine,
            self._status,
            lambda: self._stages.open_count,
        )
        self._heartbeats = Heartbeats(
            self._hub, self._next_hops, settings, self._make_beat, self._on_tick
        )
        self._watch = self._make_watch()
        self._dump = StateDump(self._hub, self._dump_parts())
        self._lost_since = {}
        self._drain_asked = Flag()
        self._server = PeerServer(
            settings.listen, self._local, keys, self._hub.serve, self._on_refused
        )
        self._hub.on_connected(self._on_connected)
        self._status.on_changed(self._on_status_changed)

    def run(self) -> int:
        """Serve until a SIGTERM has been obeyed; return the exit status."""
        try:
            self._server.start()
        except OSError as error:
            print(f"cannot listen on {self._settings.listen}: {error}", file=sys.stderr)
            return EXIT_ADDRESS_IN_USE
        gevent.signal_handler(signal.SIGTERM, self._drain_asked.set)
        gevent.signal_handler(signal.SIGUSR1, self._dump.write)
        self._watch.start()
        self._heartbeats.start()
        self._orders.start()
        if self._settings.kind == "engine":
            self._stages.loop.start()
        log_event(
            Event.SIDECAR_READY,
            node=self._local.node,
            incarnation=self._local.incarnation,
            address=self._local.address,
        )
        self._drain_asked.wait()
        self._drain()
        return 0

    def _make_watch(self):
        if self._settings.kind == "service":
            return ServiceWatch(self._status, self._settings)
        return EngineWatch(
            self._engine,
            self._status,
            self._settings,
            lambda: self._stages.loop.in_flight,
            lambda reason: self._stages.loop.engine_lost(reason, crashed=False),
            self._on_cache_changes,
        )

    def _dump_parts(self):
        return {
            "settings": lambda: settings_without_secrets(self._settings),
            "state": lambda: self._status.state.value,
            "engine": lambda: self._status.engine and self._status.engine._asdict(),
            "peers": self._heartbeats.dump,
            "stages": self._stages.dump,
            "calls": self._calls.dump,
            "orders": self._orders.dump,
            "bindings": self._bindings.dump,
        }

    @property
    def _work_running(self):
        return self._stages.open_count + self._calls.running

    def _drain(self):
        """Announce that this sidecar leaves, finish what runs, and stop."""
        log_event(Event.DRAIN_STARTED, running=self._work_running)
        deadline = time.monotonic() + self._settings.drain_timeout
        self._status.update(leaving=True)
        self._heartbeats.beat_now()
        gevent.sleep(min(HAND_OVER_SECONDS, self._settings.drain_timeout))
        self._status.update(draining=True)
        while self._work_running and time.monotonic() < deadline:
            gevent.sleep(DRAIN_POLL_SECONDS)
        self._server.stop()
        # The last messages leave in the writers' greenlets.
        gevent.sleep(DRAIN_POLL_SECONDS)
        log_event(Event.PROCESS_STOPPED, running=self._work_running)

    def _make_beat(self):
        return Beat(
            state=self._status.state.value,
            window=self._bindings.window,
            running=self._work_running,
            queued_tokens=self._stages.outstanding_tokens + self._calls.waiting,
        )

    def _on_connected(self, connection):
        if connection.peer.kind == "entry":
            connection.send(self._status.describe(self._bindings.window))

    def _on_status_changed(self):
        if self._status.engine is not None:
            engine = self._status.engine
            self._stages.loop.set_engine(engine.slots, engine.tokens_per_second)
        self._hub.broadcast("entry", self._status.describe(self._bindings.window))

    def _on_refused(self, address, error):
        log_event(Event.PEER_REFUSED, peer=address, reason=str(error))

    def _on_next_hop_message(self, connection, message):
        if isinstance(message, Beat):
            self._heartbeats.on_beat(connection, message)

    def _next_hop_lost(self, incarnation, reason):
        self._stages.next_hop_lost(incarnation, reason)

    def _on_cache_changes(self, changes):
        events = tuple(CacheEvent(one.prefix, one.stored) for one in changes)
        self._hub.broadcast("entry", CacheEvents(changes[-1].sequence, events))

    def _on_tick(self, now):
        """Cancel what lost entries asked for, and close idle connections."""
        self._next_hops.close_idle(self._stages.next_incarnations())
        open_connections = set()
        for sequence in self._stages.sequences():
            connection = sequence.connection
            open_connections.add(connection)
            if not connection.closed:
                continue
            # Silence before the connection was closed counts as well.
            heard_at = self._heartbeats.heard_at(connection)
            lost_since = self._lost_since.setdefault(connection, heard_at or now)
            if now - lost_since >= self._settings.entry_lost_after:
                self._stages.cancel(sequence)
        for connection in list(self._lost_since):
            if connection not in open_connections:
                del self._lost_since[connection]


def run_sidecar(settings: SidecarSettings) -> int:
    """Run a sidecar until SIGTERM; return the exit status.

    gevent must have patched the standard library before.
    """
    start_logging(f"sidecar {settings.node}")
    sidecar = Sidecar(settings)
    gc.collect()
    gc.freeze()
    return sidecar.run()


def main(arguments=None) -> int:
    """Read the settings file and run the sidecar; return the exit status."""
    from bulrushdrum._internal.settings.errors import SettingsError
    from bulrushdrum._internal.settings.reading import read_settings

    parser = argparse.ArgumentParser(description="Run the process beside an upstream.")
    parser.add_argument("--settings", required=True, help="file with the settings")
    path = parser.parse_args(arguments).settings
    try:
        settings = read_settings(path, SidecarSettings)
    except SettingsError as error:
        print("\n".join(f"{path}: {one}" for one in error.problems), file=sys.stderr)
        return 2
    return run_sidecar(settings)


if __name__ == "__main__":
    sys.exit(main())
