"""The sidecar process: assembles and runs the parts of one sidecar.

`python -m bulrushdrum._internal.sidecar.process --settings FILE` runs a sidecar alone.
"""

if __name__ == "__main__":
    # Must run before any import that takes names from the standard library.
    from gevent import monkey

    monkey.patch_all()

import argparse
import gc
import secrets
import signal
import sys
import time

import gevent
from gevent.event import Event as GeventEvent

from bulrushdrum._internal.observability.events import (
    Event,
    flush_and_log_omitted,
    log_event,
    persist_unread_lines,
    start_nonblocking_logging,
)
from bulrushdrum._internal.observability.log_output import LogOutput
from bulrushdrum._internal.peering.connections import (
    WRITE_TIMEOUT_SECONDS,
    PeerServer,
)
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.process_messages import Beat, CacheEvent, CacheEvents
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import spawn_loop
from bulrushdrum._internal.sidecar.bindings import BindingTable
from bulrushdrum._internal.sidecar.dump import StateDump, settings_without_secrets
from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.heartbeats import Heartbeats
from bulrushdrum._internal.sidecar.next_hops import NextHops
from bulrushdrum._internal.sidecar.orders import DesiredStateReconciler
from bulrushdrum._internal.sidecar.service_calls import ServiceCalls
from bulrushdrum._internal.sidecar.stages import StageExecutor
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.sidecar.upstream_watches import EngineWatch, ServiceWatch

EXIT_ADDRESS_IN_USE = 3
DRAIN_POLL_SECONDS = 0.05
LOG_FLUSH_INTERVAL_SECONDS = 1.0
# Time between the announcement of a drain and the refusal of new work. The announcement
# takes a round trip, or longer if an entry is busy. Refusing the work that entries send
# in the meantime would cost each of those requests another attempt.
DRAIN_NOTICE_SECONDS = 0.7


class Sidecar:
    """Creates and connects the parts of one sidecar process."""

    def __init__(self, settings: SidecarSettings, log_output: LogOutput):
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
            self._local,
            keys,
            settings,
            self._on_next_hop_lost,
            self._handle_next_hop_message,
        )
        self._engine = EngineClient(settings)
        self._stages = StageExecutor(
            self._hub,
            settings,
            self._engine,
            self._status,
            self._bindings,
            self._next_hops,
        )
        self._service_calls = ServiceCalls(
            self._hub, settings, self._status, self._bindings
        )
        self._orders = DesiredStateReconciler(
            self._hub,
            settings,
            self._engine,
            self._status,
            lambda: self._stages.open_count,
        )
        self._heartbeats = Heartbeats(
            self._hub, self._next_hops, settings, self._build_heartbeat, self._clean_up
        )
        self._watch = self._create_watch()
        self._dump = StateDump(self._hub, self._dump_sections(), log_output)
        self._silent_since = {}
        self._drain_requested = GeventEvent()
        self._server = PeerServer(
            settings.listen,
            self._local,
            keys,
            self._hub.serve,
            self._log_refused_peer,
            settings.max_handshakes,
        )
        self._hub.on_connected(self._send_status_to_entry)
        self._status.on_changed(self._publish_status)

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then drain; return the exit status."""
        try:
            self._server.start()
        except OSError as error:
            print(f"cannot listen on {self._settings.listen}: {error}", file=sys.stderr)
            return EXIT_ADDRESS_IN_USE
        gevent.signal_handler(signal.SIGTERM, self._drain_requested.set)
        gevent.signal_handler(signal.SIGINT, self._drain_requested.set)
        gevent.signal_handler(signal.SIGHUP, log_event, Event.RELOAD_IGNORED)
        gevent.signal_handler(signal.SIGUSR1, self._dump.write)
        spawn_loop("log", self._flush_log)
        self._watch.start()
        self._heartbeats.start()
        self._orders.start()
        if self._settings.kind == "engine":
            self._stages.step_loop.start(lambda: self._heartbeats.is_resuming)
        log_event(
            Event.SIDECAR_READY,
            node=self._local.node,
            incarnation=self._local.incarnation,
            address=self._local.address,
        )
        self._drain_requested.wait()
        self._drain()
        return 0

    def _create_watch(self):
        if self._settings.kind == "service":
            return ServiceWatch(self._status, self._settings)
        return EngineWatch(
            self._engine,
            self._status,
            self._settings,
            lambda: self._stages.step_loop.in_flight,
            lambda reason: self._stages.step_loop.report_engine_loss(
                reason, crashed=False
            ),
            self._broadcast_cache_events,
        )

    def _dump_sections(self):
        return {
            "settings": lambda: settings_without_secrets(self._settings),
            "state": lambda: self._status.state.value,
            "engine": lambda: self._status.engine and self._status.engine._asdict(),
            "peers": self._heartbeats.dump,
            "peer_server": lambda: self._server.dump(),
            "stages": self._stages.dump,
            "calls": self._service_calls.dump,
            "orders": self._orders.dump,
            "bindings": self._bindings.dump,
        }

    @property
    def _outstanding_work(self):
        return self._stages.open_count + self._service_calls.outstanding

    def _drain(self):
        """Announce the drain, wait for running work to finish, and stop the server.

        An entry that was away may still send work once it runs again. It is given up
        after `missed_heartbeats` intervals, so for that long its work is refused: if
        the connection just ended, the entry could not tell whether the work ran.
        """
        log_event(Event.DRAIN_STARTED, running=self._outstanding_work)
        persist_unread_lines()
        started = time.monotonic()
        deadline = started + self._settings.drain_timeout
        silence = self._settings.missed_heartbeats * self._settings.heartbeat_interval
        refuse_until = min(started + silence, deadline)
        self._status.update(leaving=True)
        self._heartbeats.send_heartbeats()
        gevent.sleep(min(DRAIN_NOTICE_SECONDS, self._settings.drain_timeout))
        self._status.update(draining=True)
        while time.monotonic() < (
            deadline
            if self._outstanding_work or self._service_calls.unsent_results
            else refuse_until
        ):
            gevent.sleep(DRAIN_POLL_SECONDS)
        self._server.stop()
        self._hub.finish(WRITE_TIMEOUT_SECONDS)
        log_event(Event.PROCESS_STOPPED, running=self._outstanding_work)
        persist_unread_lines()

    def _flush_log(self):
        gevent.sleep(LOG_FLUSH_INTERVAL_SECONDS)
        flush_and_log_omitted()

    def _build_heartbeat(self):
        return Beat(
            state=self._status.state.value,
            window=self._bindings.window,
            running=self._outstanding_work,
            queued_tokens=self._stages.outstanding_tokens + self._service_calls.waiting,
        )

    def _send_status_to_entry(self, connection):
        if connection.peer.kind == "entry":
            connection.send(self._status.describe_message(self._bindings.window))

    def _publish_status(self):
        if self._status.engine is not None:
            engine = self._status.engine
            self._stages.step_loop.set_engine_capacity(
                engine.slots, engine.tokens_per_second
            )
        self._hub.broadcast(
            "entry", self._status.describe_message(self._bindings.window)
        )

    def _log_refused_peer(self, address, error):
        log_event(Event.PEER_REFUSED, peer=address, reason=str(error))

    def _handle_next_hop_message(self, connection, message):
        if isinstance(message, Beat):
            self._heartbeats.handle_heartbeat(connection, message)

    def _on_next_hop_lost(self, incarnation, reason):
        self._stages.handle_next_hop_loss(incarnation, reason)

    def _broadcast_cache_events(self, events):
        messages = tuple(CacheEvent(event.prefix, event.stored) for event in events)
        self._hub.broadcast("entry", CacheEvents(events[-1].sequence_number, messages))

    def _clean_up(self, now, resumed):
        """Cancel the attempts of lost entries, and close idle connections.

        An entry that closed its connection while this process was paused has given up
        its attempts; any other may connect again.
        """
        self._next_hops.close_idle(self._stages.next_stage_incarnations())
        open_connections = set()
        for sequence in self._stages.sequences():
            connection = sequence.connection
            open_connections.add(connection)
            if not connection.closed:
                continue
            # The silence before the connection was closed counts as well.
            last_heard_at = self._heartbeats.last_heard_at(connection)
            silent_since = self._silent_since.setdefault(
                connection, last_heard_at or now
            )
            if resumed or now - silent_since >= self._settings.entry_lost_after:
                self._stages.cancel_attempt(sequence)
        for connection in list(self._silent_since):
            if connection not in open_connections:
                del self._silent_since[connection]


def run_sidecar(settings: SidecarSettings) -> int:
    """Run a sidecar until SIGTERM or SIGINT; return the exit status.

    gevent must already have patched the standard library.
    """
    log_output = start_nonblocking_logging(
        f"sidecar {settings.node}", sys.stderr.fileno()
    )
    sidecar = Sidecar(settings, log_output)
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
        print(
            "\n".join(f"{path}: {problem}" for problem in error.problems),
            file=sys.stderr,
        )
        return 2
    return run_sidecar(settings)


if __name__ == "__main__":
    sys.exit(main())
