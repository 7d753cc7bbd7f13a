"""The components of a router process and how they are connected.

The router is the entry point of a platform whose servers run layers and pass
activations to each other directly, so it needs no sidecars.
"""

import secrets
import time

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.coordination.announcements import RouterAnnouncements
from bulrushdrum._internal.coordination.configuration_in_force import (
    ConfigurationInForce,
)
from bulrushdrum._internal.coordination.placement_controller import PlacementController
from bulrushdrum._internal.coordination.retry_exchange import RetryExchange
from bulrushdrum._internal.coordination.router_registry import (
    ROUTERS_TABLE,
    RouterRegistry,
)
from bulrushdrum._internal.coordination.table_follower import TableFollower
from bulrushdrum._internal.coordination.upstream_registrations import (
    UpstreamRegistrations,
)
from bulrushdrum._internal.gateway.caller_budget import CallerBudget
from bulrushdrum._internal.gateway.callers import CallerServer
from bulrushdrum._internal.gateway.crash_evidence import CrashEvidence
from bulrushdrum._internal.gateway.draining import DrainController
from bulrushdrum._internal.gateway.duration_estimates import (
    CallDurations,
    GenerationDurations,
)
from bulrushdrum._internal.gateway.generations import GenerationProxy
from bulrushdrum._internal.gateway.overload import OverloadGuard
from bulrushdrum._internal.gateway.path_waiting import PathWaiter
from bulrushdrum._internal.gateway.plain_calls import PlainCallProxy
from bulrushdrum._internal.gateway.request_handler import RequestHandler
from bulrushdrum._internal.gateway.statement_recorder import StatementRecorder
from bulrushdrum._internal.gateway.stream_moves import StreamMover
from bulrushdrum._internal.gateway.turns import TurnWaiter
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.observability.loop_latency import LoopLatency
from bulrushdrum._internal.observability.metrics_registry import MetricsRegistry
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.part_quarantine import PartQuarantine
from bulrushdrum._internal.pipelines.path_policies import make_policy
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.pipelines.reported_loads import ReportedLoads
from bulrushdrum._internal.pipelines.silent_upstreams import SilentUpstreams
from bulrushdrum._internal.pipelines.slow_upstreams import SlowUpstreams
from bulrushdrum._internal.pipelines.stall_detection import StallDetector
from bulrushdrum._internal.platform.engine_calls import EngineCalls
from bulrushdrum._internal.platform.rows import (
    CONFIGURATION_TABLE,
    REGISTRATIONS_TABLE,
    RowStore,
)
from bulrushdrum._internal.settings.router import RouterSettings
from bulrushdrum._internal.termination import TerminationRequest
from bulrushdrum._internal.world.routes import CallerLimits
from bulrushdrum._internal.world.statements import UpstreamStatements

_ENGINE_CALL_TIMEOUT_SECONDS = 0.5
# An upstream that delivered within this time counts as working: streams rarely pause
# for longer.
_WORKING_SECONDS = 0.05
# The table of routers rarely changes, and routers also announce themselves.
_ROUTERS_FEED_WAIT_SECONDS = 8.0


class RouterComponents:
    """The components of one router, which do nothing until they are started."""

    def __init__(self, settings: RouterSettings, termination: TerminationRequest):
        self._termination = termination
        self.incarnation = secrets.token_hex(6)
        self.loop_latency = LoopLatency()
        self.configuration = ConfigurationInForce(
            lambda: self.announcements.newest_peer_version(),
            lambda: self.announcements.hears_routers(),
        )
        store = RowStore(
            settings.store_address, settings.store_timeout, settings.feed_wait
        )
        self.fleet = Fleet(node=settings.node, seed=self.incarnation)
        self.reservations = MemoryReservations()
        self.upstream_limits = UpstreamLimits(
            lambda upstream_id: self.fleet.get(upstream_id) is not None,
            lambda: self.announcements.silent_router_count(),
            on_change=lambda: self.announcements.announce_soon(),
            seed=self.incarnation,
        )
        self.quarantine = CrashQuarantine(self.fleet.has_terminated)
        self.part_quarantine = PartQuarantine(
            self.fleet.has_terminated,
            self.fleet.software_versions,
            on_crash=lambda: self.announcements.announce_soon(),
        )
        self.registry = RouterRegistry(
            settings,
            self.incarnation,
            store,
            # Peers answer the first announcement, which can be sent from then on.
            on_first_read=lambda: self.announcements.announce_soon(),
        )
        self.announcements = RouterAnnouncements(
            settings,
            self.incarnation,
            self.registry,
            self.reservations,
            self.fleet,
            lambda: self.registration_follower.is_available,
            self.quarantine,
            self.part_quarantine,
            self.upstream_limits,
            lambda: self.configuration.version,
            lambda: self.registration_follower.contact,
        )
        self.registrations = UpstreamRegistrations(
            self.fleet, self.announcements.store_contacts
        )
        self._statements = StatementRecorder(self.fleet, self.upstream_limits)
        calls = EngineCalls(_ENGINE_CALL_TIMEOUT_SECONDS, self._on_statements)
        self.reported_loads = ReportedLoads(self.fleet, calls.report, self._services)
        self._path_chooser = PathChooser(
            self.fleet,
            self.reservations,
            self.upstream_limits,
            settings.data_centre,
            self._router_count,
            policy=make_policy(
                settings.path_policy, self.reported_loads.memory_utilization
            ),
        )
        self.connection_pool = ConnectionPool(settings.response_limits)
        self.placement = PlacementController(
            self.fleet,
            calls,
            self.announcements.is_leader,
            self._services,
            self.announcements.layer_updates.add,
        )
        self.announcements.announced_orders = self.placement.announced_orders
        self.announcements.apply_orders = self.placement.apply_announcement
        self.retry_window = RetryWindow(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_seconds
        )
        self.retry_exchange = RetryExchange(
            self.retry_window,
            self.announcements.messages,
            self._router_count,
            self.is_ready,
        )
        self.announcements.announced_retries = self.retry_exchange.announcement
        self.announcements.apply_retries = self.retry_exchange.apply_announcement
        turns = TurnWaiter(self.upstream_limits)
        plain_call_proxy = PlainCallProxy(
            self.fleet,
            self.connection_pool,
            self.retry_window,
            settings.data_centre,
            self._router_count,
            self.quarantine,
            self.upstream_limits,
            self._statements,
            turns,
        )
        silent_upstreams = SilentUpstreams(
            lambda: self.announcements.messages.last_heard,
            self.announcements.has_live_peers,
        )
        self.conditions = ConditionExchange(
            self.fleet,
            self.announcements.messages,
            self._memory_utilization,
            lambda: silent_upstreams.working(_WORKING_SECONDS),
        )
        self.announcements.announced_conditions = self.conditions.announcement
        self.announcements.apply_conditions = self.conditions.apply_announcement
        self.slow_upstreams = SlowUpstreams(
            self.fleet,
            self.announcements.messages,
            calls.report,
            self._path_chooser.set_slowdown,
        )
        stall_detector = StallDetector(
            self.fleet,
            calls.report,
            self._path_chooser.set_slowdown,
            self.conditions.report_unresponsive,
        )
        path_waiter = PathWaiter(self._path_chooser, turns)
        self.stream_mover = StreamMover(
            silent_upstreams,
            path_waiter,
            self.retry_window,
            self._router_count,
            stall_detector.check_path,
            self.fleet.is_avoided,
            self.loop_latency.current,
            self.conditions.report_silence,
            self.slow_upstreams.check_path,
        )
        generation_proxy = GenerationProxy(
            self.fleet,
            self.reservations,
            path_waiter,
            self.connection_pool,
            self.retry_window,
            self._router_count,
            stall_detector.check_path,
            CrashEvidence(self.fleet, self.quarantine, self.part_quarantine),
            self._statements,
            self.stream_mover,
            self.conditions,
            lambda: self.drain_controller.seconds_since_signal(time.monotonic()),
        )
        self.configuration_follower = TableFollower(
            store,
            CONFIGURATION_TABLE,
            self._on_configuration,
            settings.feed_spacing,
        )
        self.registration_follower = TableFollower(
            store,
            REGISTRATIONS_TABLE,
            self._on_registrations,
            settings.feed_spacing,
        )
        routers_store = RowStore(
            settings.store_address, settings.store_timeout, _ROUTERS_FEED_WAIT_SECONDS
        )
        self.router_follower = TableFollower(
            routers_store,
            ROUTERS_TABLE,
            self._on_routers,
            settings.feed_spacing,
        )
        self.metrics = MetricsRegistry()
        generations, calls = GenerationDurations(), CallDurations()
        self.drain_controller = DrainController(
            settings.stop_grace_seconds,
            generations,
            calls,
            seed=self.incarnation,
            signalled_at=lambda: termination.received_at,
        )
        self.request_handler = RequestHandler(
            plain_call_proxy,
            generation_proxy,
            self.drain_controller,
            generations,
            calls,
            self.quarantine,
            self.part_quarantine,
            self.metrics,
            lambda: self.configuration.value,
            lambda: self.configuration_follower.is_available,
            self.announcements.all_peers_accept_work,
            self.announcements.peers_ready_in,
            OverloadGuard(self.loop_latency.sustained),
            seed=self.incarnation,
        )
        self.caller_budget = CallerBudget(settings.caller_resources.held_bytes)
        self.caller_server = CallerServer(
            settings.caller_address,
            self.request_handler.handle,
            self._limits,
            self.caller_budget.add_group(settings.caller_resources.connections),
        )

    def is_ready(self) -> bool:
        """Whether this router can serve requests and is not about to stop."""
        return (
            self._termination.received_at is None
            and self.configuration.value is not None
            and self.registration_follower.has_snapshot
        )

    def _router_count(self):
        return self.announcements.router_count()

    def _memory_utilization(self, upstream):
        configuration = self.configuration.value
        service = configuration and configuration.services.get(upstream.service)
        if service is None or service.engine is None:
            return 0.0
        return self._path_chooser.memory_utilization(service.engine, upstream)

    def _services(self):
        configuration = self.configuration.value
        return [] if configuration is None else list(configuration.services.values())

    def _limits(self):
        configuration = self.configuration.value
        return CallerLimits() if configuration is None else configuration.limits

    def _on_configuration(self, rows, _is_snapshot):
        self.configuration.apply_rows(rows, self.configuration_follower)

    def _on_routers(self, rows, is_snapshot):
        from_copy = frozenset(
            row.key for row in rows if self.router_follower.is_from_copy(row)
        )
        self.registry.on_rows(rows, is_snapshot, from_copy)

    def _on_registrations(self, rows, is_snapshot):
        self.registrations.apply_rows(rows, is_snapshot, self.registration_follower)

    def _on_statements(self, address: str, statements: UpstreamStatements):
        """Record what an engine says of itself when it is asked for a report."""
        upstream = self.fleet.find_by_address(address)
        if upstream is not None:
            self._statements.record(upstream, statements, has_run=False)
