"""The router process: builds its components from the settings, serves, and drains.

The router is the entry point of a platform whose servers run layers and pass
activations to each other directly, so it needs no sidecars.
"""

import json
import math
import os
import secrets
import signal
import sys
import time
import traceback
from dataclasses import replace

import gevent

from bulrushdrum._internal.coordination.announcements import RouterAnnouncements
from bulrushdrum._internal.coordination.configuration_in_force import (
    ConfigurationInForce,
)
from bulrushdrum._internal.coordination.placement_controller import PlacementController
from bulrushdrum._internal.coordination.router_registry import (
    ROUTERS_TABLE,
    RouterRegistry,
)
from bulrushdrum._internal.coordination.store_contact import served_others
from bulrushdrum._internal.coordination.table_follower import TableFollower
from bulrushdrum._internal.gateway.callers import CallerServer
from bulrushdrum._internal.gateway.crash_evidence import CrashEvidence
from bulrushdrum._internal.gateway.draining import DrainController
from bulrushdrum._internal.gateway.duration_estimates import (
    CallDurations,
    GenerationDurations,
)
from bulrushdrum._internal.gateway.generations import GenerationProxy
from bulrushdrum._internal.gateway.messages import Response
from bulrushdrum._internal.gateway.overload import OverloadGuard
from bulrushdrum._internal.gateway.path_waiting import PathWaiter
from bulrushdrum._internal.gateway.plain_calls import PlainCallProxy
from bulrushdrum._internal.gateway.request_handler import (
    MAX_TRACEBACK_CHARACTERS,
    RequestHandler,
)
from bulrushdrum._internal.gateway.statement_recorder import StatementRecorder
from bulrushdrum._internal.gateway.turns import TurnWaiter
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.observability.events import (
    Event,
    flush_and_count_omitted,
    log_event,
    persist_unread_lines,
    start_bounded_logging,
)
from bulrushdrum._internal.observability.loop_latency import LoopLatency
from bulrushdrum._internal.observability.metrics_registry import MetricsRegistry
from bulrushdrum._internal.pipelines.crash_quarantine import (
    CrashQuarantine,
)
from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS, Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.part_quarantine import PartQuarantine
from bulrushdrum._internal.pipelines.path_policies import make_policy
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.pipelines.reported_loads import ReportedLoads
from bulrushdrum._internal.pipelines.stall_detection import StallDetector
from bulrushdrum._internal.platform.engine_calls import EngineCalls
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.platform.router_config import decode_upstream
from bulrushdrum._internal.platform.router_settings import (
    SETTINGS_PATH_VARIABLE,
    read_router_settings,
)
from bulrushdrum._internal.platform.rows import (
    CONFIGURATION_TABLE,
    REGISTRATIONS_TABLE,
    RowStore,
)
from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.router import (
    PathPolicyName,
    ResponseLimits,
    RouterSettings,
)
from bulrushdrum._internal.termination import TerminationRequest
from bulrushdrum._internal.world.routes import CallerLimits
from bulrushdrum._internal.world.statements import UpstreamStatements

_ENGINE_CALL_TIMEOUT_SECONDS = 0.5
_DRAIN_POLL_SECONDS = 0.05
_MAINTENANCE_INTERVAL_SECONDS = 1.0
_TASK_RESTART_SECONDS = 0.5
# A latency of the event loop that callers notice.
_LATE_LOOP_SECONDS = 0.2
# The table of routers rarely changes, and routers also announce themselves.
_ROUTERS_FEED_WAIT_SECONDS = 8.0


class RouterProcess:
    """The components of one router and how they are connected."""

    def __init__(self, settings: RouterSettings):
        self._settings = settings
        self._incarnation = secrets.token_hex(6)
        self._termination = TerminationRequest()
        self._loop_latency = LoopLatency()
        # Counted or measured for the metrics.
        self._malformed_registrations = 0
        self._worst_loop_latency = 0.0
        self._configuration = ConfigurationInForce(
            lambda: self._announcements.newest_peer_version(),
            lambda: self._announcements.hears_routers(),
        )
        store = RowStore(
            settings.store_address, settings.store_timeout, settings.feed_wait
        )
        self._fleet = Fleet()
        self._reservations = MemoryReservations()
        self._upstream_limits = UpstreamLimits(
            lambda upstream_id: self._fleet.get(upstream_id) is not None,
            lambda: self._announcements.silent_router_count(),
            on_change=lambda: self._announcements.announce_soon(),
            seed=self._incarnation,
        )
        self._quarantine = CrashQuarantine(self._fleet.has_terminated)
        self._part_quarantine = PartQuarantine(
            self._fleet.has_terminated,
            self._fleet.software_versions,
            on_crash=lambda: self._announcements.announce_soon(),
        )
        self._registry = RouterRegistry(
            settings,
            self._incarnation,
            store,
            # Peers answer the first announcement, which can be sent from then on.
            on_first_read=lambda: self._announcements.announce_soon(),
        )
        self._announcements = RouterAnnouncements(
            settings,
            self._incarnation,
            self._registry,
            self._reservations,
            self._fleet,
            lambda: self._registration_follower.is_available,
            self._quarantine,
            self._part_quarantine,
            self._upstream_limits,
            lambda: self._configuration.version,
            lambda: self._registration_follower.contact,
        )
        self._statements = StatementRecorder(self._fleet, self._upstream_limits)
        calls = EngineCalls(_ENGINE_CALL_TIMEOUT_SECONDS, self._on_statements)
        self._reported_loads = ReportedLoads(self._fleet, calls.report, self._services)
        self._path_chooser = PathChooser(
            self._fleet,
            self._reservations,
            self._upstream_limits,
            settings.data_centre,
            self._router_count,
            policy=make_policy(
                settings.path_policy, self._reported_loads.memory_utilization
            ),
        )
        self._connection_pool = ConnectionPool(settings.response_limits)
        self._placement = PlacementController(
            self._fleet,
            calls,
            self._announcements.is_leader,
            self._services,
            self._announcements.announce_layers,
        )
        retry_window = RetryWindow(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_seconds
        )
        turns = TurnWaiter(self._upstream_limits)
        plain_call_proxy = PlainCallProxy(
            self._fleet,
            self._connection_pool,
            retry_window,
            settings.data_centre,
            self._router_count,
            self._quarantine,
            self._upstream_limits,
            self._statements,
            turns,
        )
        stall_detector = StallDetector(
            self._fleet, calls.report, self._path_chooser.set_slowdown
        )
        generation_proxy = GenerationProxy(
            self._fleet,
            self._reservations,
            PathWaiter(self._path_chooser, turns),
            self._connection_pool,
            retry_window,
            self._router_count,
            stall_detector.check_path,
            CrashEvidence(self._fleet, self._quarantine, self._part_quarantine),
            self._statements,
        )
        self._configuration_follower = TableFollower(
            store,
            CONFIGURATION_TABLE,
            self._on_configuration,
            settings.feed_spacing,
        )
        self._registration_follower = TableFollower(
            store,
            REGISTRATIONS_TABLE,
            self._on_registrations,
            settings.feed_spacing,
        )
        routers_store = RowStore(
            settings.store_address, settings.store_timeout, _ROUTERS_FEED_WAIT_SECONDS
        )
        self._router_follower = TableFollower(
            routers_store,
            ROUTERS_TABLE,
            self._on_routers,
            settings.feed_spacing,
        )
        self._readiness_server = CallerServer(
            settings.ready_address, self._handle_readiness
        )
        self._metrics = MetricsRegistry()
        generations, calls = GenerationDurations(), CallDurations()
        self._drain_controller = DrainController(
            settings.stop_grace_seconds,
            generations,
            calls,
            seed=self._incarnation,
            signalled_at=lambda: self._termination.received_at,
        )
        self._request_handler = RequestHandler(
            plain_call_proxy,
            generation_proxy,
            self._drain_controller,
            generations,
            calls,
            self._quarantine,
            self._part_quarantine,
            self._metrics,
            lambda: self._configuration.value,
            lambda: self._configuration_follower.is_available,
            self._announcements.all_peers_accept_work,
            self._announcements.peers_ready_in,
            OverloadGuard(self._loop_latency.sustained),
            seed=self._incarnation,
        )
        self._caller_server = CallerServer(
            settings.caller_address, self._request_handler.handle, self._limits
        )
        self._inspection_server = CallerServer(
            f"{settings.ip}:{settings.metrics_port}", self._handle_inspection
        )

    def run(self):
        """Serve until SIGTERM, then drain and return."""
        self._termination.install()
        gevent.signal_handler(signal.SIGHUP, self._log_reload)
        self._readiness_server.start()
        self._caller_server.start()
        self._inspection_server.start()
        for task in (
            self._configuration_follower.run,
            self._registration_follower.run,
            self._router_follower.run,
            self._registry.register_forever,
            self._announcements.announce_forever,
            self._announcements.listen_forever,
            self._placement.run,
            self._run_maintenance,
            self._loop_latency.run,
        ):
            gevent.spawn(_run_with_restarts, task)
        if self._settings.path_policy is PathPolicyName.LEAST_REPORTED:
            gevent.spawn(_run_with_restarts, self._reported_loads.run)
        log_event(
            Event.ROUTER_STARTED,
            node=self._settings.node,
            incarnation=self._incarnation,
            address=self._settings.caller_address,
            path_policy=self._settings.path_policy.value,
        )
        self._termination.wait()
        self._drain()
        log_event(Event.PROCESS_STOPPED, node=self._settings.node)
        persist_unread_lines()

    def _drain(self):
        log_event(
            Event.DRAIN_STARTED,
            requests=self._caller_server.requests_in_progress,
            noticed_after=round(time.monotonic() - self._termination.received_at, 3),
            loop_latency=round(self._loop_latency.pop_worst(), 3),
        )
        self._request_handler.log_in_progress()
        persist_unread_lines()
        self._drain_controller.begin()
        self._caller_server.is_draining = True
        self._announcements.set_serving(False)
        gevent.spawn(self._registry.unregister)
        while not self._drain_controller.is_complete(self._caller_server.open_requests):
            self._announcements.set_accepts_work(
                self._drain_controller.has_time_for_any_generation(),
                self._drain_controller.ready_in(),
            )
            gevent.sleep(_DRAIN_POLL_SECONDS)
        # Requests that arrive meanwhile are accepted if they can end before the exit.
        self._caller_server.finish(self._drain_controller.seconds_until_exit())
        self._request_handler.log_interrupted()

    def _log_reload(self):
        log_event(Event.SETTINGS_CHANGED, node=self._settings.node)

    def _run_maintenance(self):
        while True:
            gevent.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            self._connection_pool.close_expired()
            omitted = flush_and_count_omitted()
            if omitted:
                log_event(Event.LINES_OMITTED, counts=omitted)
            self._worst_loop_latency = self._loop_latency.pop_worst()
            if self._worst_loop_latency > _LATE_LOOP_SECONDS:
                log_event(
                    Event.EVENT_LOOP_LATE,
                    seconds=round(self._worst_loop_latency, 3),
                    requests=self._caller_server.requests_in_progress,
                )
            self._announcements.set_serving(self._is_ready())
            self._configuration.apply_due(self._configuration_follower)
            if self._store_served_peers():
                self._fleet.remove_lapsed()

    def _router_count(self):
        return self._announcements.router_count()

    def _services(self):
        configuration = self._configuration.value
        return [] if configuration is None else list(configuration.services.values())

    def _limits(self):
        configuration = self._configuration.value
        return CallerLimits() if configuration is None else configuration.limits

    def _on_configuration(self, rows, _is_snapshot):
        self._configuration.apply_rows(rows, self._configuration_follower)

    def _on_routers(self, rows, is_snapshot):
        from_copy = frozenset(
            row.key for row in rows if self._router_follower.is_from_copy(row)
        )
        self._registry.on_rows(rows, is_snapshot, from_copy)

    def _on_registrations(self, rows, is_snapshot):
        lapsed_until = self._registration_follower.recovered_at + LAPSED_GRACE_SECONDS
        if self._store_served_peers():
            lapsed_until = -math.inf
        upstreams, from_copy = [], []
        for row in rows:
            if row.value is None:
                self._fleet.remove(row.key, lapsed_until)
                continue
            try:
                upstream = decode_upstream(row.key, row.value)
            except MalformedRow as error:
                # It replaces what the row held before, as in a snapshot.
                self._fleet.remove(row.key)
                self._log_malformed_row(row, error)
                continue
            is_from_copy = self._registration_follower.is_from_copy(row)
            (from_copy if is_from_copy else upstreams).append(upstream)
        if is_snapshot:
            self._fleet.replace_all(upstreams, lapsed_until, from_copy)
            return
        for upstream in upstreams:
            self._fleet.put(upstream)

    def _store_served_peers(self):
        """Whether the last outage of the store was one of this router only."""
        outage = self._registration_follower.last_outage
        return outage is not None and served_others(
            outage, self._announcements.store_contacts()
        )

    def _log_malformed_row(self, row, error):
        self._malformed_registrations += 1
        log_event(
            Event.VM_ROW_INVALID, row=ascii(row.key)[1:-1], reason=str(error)[:300]
        )

    def _on_statements(self, address: str, statements: UpstreamStatements):
        """Record what an engine says of itself when it is asked for a report."""
        upstream = self._fleet.find_by_address(address)
        if upstream is not None:
            self._statements.record(upstream, statements, has_run=False)

    def _is_ready(self):
        return (
            self._termination.received_at is None
            and self._configuration.value is not None
            and self._registration_follower.has_snapshot
        )

    def _handle_readiness(self, connection, _request):
        status = 200 if self._is_ready() else 503
        connection.send(Response(status, [(b"content-type", b"text/plain")], b""))

    def _handle_inspection(self, connection, request):
        """Serve a dump of the process state at /state, and metrics at other paths."""
        if request.path == "/state":
            body = json.dumps(self.dump(), indent=1, sort_keys=True)
            content_type = b"application/json"
        else:
            body = self._metrics.render(self._gauges())
            content_type = b"text/plain; version=0.0.4"
        headers = [(b"content-type", content_type)]
        connection.send(Response(200, headers, body.encode()))

    def _gauges(self):
        return {
            "configuration_version": self._configuration.version,
            "requests_in_progress": self._caller_server.requests_in_progress,
            "caller_connections": self._caller_server.connections,
            "upstream_connections_opened": self._connection_pool.opened,
            "upstream_responses_too_large": self._connection_pool.oversized_responses,
            "upstreams_avoided": len(self._fleet.avoided_ids()),
            "upstreams_leaving": len(self._fleet.leaving()),
            "upstream_pauses": self._fleet.pauses,
            "upstream_limits": self._upstream_limits.count,
            "upstream_limit_changes": self._upstream_limits.changes,
            "upstream_limit_diversions": self._upstream_limits.diversions,
            "routers": self._router_count(),
            "event_loop_latency_seconds": round(self._worst_loop_latency, 3),
            "malformed_registrations": self._malformed_registrations,
            "store_era": self._registration_follower.era or 0,
            "store_restorations": self._registration_follower.restorations,
            "ready": int(self._is_ready()),
        }

    def dump(self) -> dict:
        """Return the state of this process for inspection."""
        return {
            "node": self._settings.node,
            "incarnation": self._incarnation,
            "levels": self._gauges(),
            "fleet": self._fleet.dump(),
            "reservations": self._reservations.dump(),
            "routers": self._announcements.dump(),
            "placement": self._placement.dump(),
            "upstream_limits": self._upstream_limits.dump(),
            "crashing_requests": self._quarantine.dump(),
            "crashing_parts": self._part_quarantine.dump(),
        }


def _run_with_restarts(task):
    """Run a background task, and restart it after an unexpected exception."""
    while True:
        try:
            return task()
        except Exception as error:
            log_event(
                Event.INTERNAL_ERROR,
                task=task.__qualname__,
                reason=repr(error),
                traceback=traceback.format_exc()[-MAX_TRACEBACK_CHARACTERS:],
            )
            gevent.sleep(_TASK_RESTART_SECONDS)


def run_router(
    path_policy: str = PathPolicyName.LEAST_TIME.value,
    response_limits: ResponseLimits | None = None,
) -> int:
    """Run a router with the platform's settings, and exit when it has stopped.

    Returns an exit code only if it cannot start.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        policy = PathPolicyName(path_policy)
    except ValueError:
        choices = ", ".join(PathPolicyName)
        message = f"--path-policy {path_policy!r} is not one of {choices}"
        print(message, file=sys.stderr)
        return 2
    try:
        settings = replace(
            read_router_settings(path),
            path_policy=policy,
            response_limits=response_limits or ResponseLimits(),
        )
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    start_bounded_logging(settings.node, sys.stdout.fileno())
    RouterProcess(settings).run()
    # The interpreter would end the task of each connection first, which takes longer
    # than the time that is left until the kill.
    os._exit(0)
