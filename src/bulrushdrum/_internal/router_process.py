"""The router process: builds its parts from the settings, serves, and drains.

The router is the entry of a platform whose servers run layers and pass activations to
each other themselves, so it needs no sidecars.
"""

import json
import os
import random
import secrets
import signal
import sys
import time
import traceback
from dataclasses import replace

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.coordination.announcements import (
    ROUTERS_TABLE,
    RouterAnnouncements,
)
from bulrushdrum._internal.coordination.placement_controller import PlacementController
from bulrushdrum._internal.coordination.table_follower import TableFollower
from bulrushdrum._internal.gateway.callers import CallerServer
from bulrushdrum._internal.gateway.draining import DrainController
from bulrushdrum._internal.gateway.error_responses import (
    failure_response,
    not_run_response,
    rejection_response,
)
from bulrushdrum._internal.gateway.errors import CallerDisconnected
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generations import GenerationProxy
from bulrushdrum._internal.gateway.messages import Response
from bulrushdrum._internal.gateway.plain_calls import PlainCallProxy
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.observability.events import (
    Event,
    flush_and_count_omitted,
    log_event,
    start_bounded_logging,
)
from bulrushdrum._internal.observability.metrics_registry import MetricsRegistry
from bulrushdrum._internal.pipelines.crash_quarantine import (
    QUARANTINE_SECONDS,
    CrashQuarantine,
    request_fingerprint,
)
from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS, Fleet
from bulrushdrum._internal.pipelines.memory_reservations import MemoryReservations
from bulrushdrum._internal.pipelines.path_policies import make_policy
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.pipelines.reported_loads import ReportedLoads
from bulrushdrum._internal.pipelines.stall_detection import StallDetector
from bulrushdrum._internal.platform.engine_calls import EngineCalls
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.platform.headers import (
    parse_request_metadata,
    request_id_header,
)
from bulrushdrum._internal.platform.router_config import (
    decode_configuration,
    decode_upstream,
)
from bulrushdrum._internal.platform.router_settings import (
    SETTINGS_PATH_VARIABLE,
    read_router_settings,
)
from bulrushdrum._internal.platform.rows import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    REGISTRATIONS_TABLE,
    RowStore,
)
from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.router import PathPolicyName, RouterSettings
from bulrushdrum._internal.world.routes import CallerLimits, RouterConfiguration

_ENGINE_CALL_TIMEOUT_SECONDS = 0.5
_RETRY_WITHOUT_CONFIGURATION_SECONDS = 1.0
_DRAIN_LOOK_SECONDS = 0.05
_EXPIRY_SECONDS = 1.0
_TASK_RESTART_SECONDS = 0.5
# Characters of a traceback that a log line carries; its end names the fault.
_LONGEST_TRACEBACK = 1500
# Routers come and go rarely, and they announce themselves besides.
_ROUTERS_WAIT_SECONDS = 8.0


class RouterProcess:
    """All parts of one router."""

    def __init__(self, settings: RouterSettings):
        self._settings = settings
        self._incarnation = secrets.token_hex(6)
        self._random = random.Random(self._incarnation)
        self._stop = Signal()
        self._configuration: RouterConfiguration | None = None
        store = RowStore(
            settings.store_address, settings.store_timeout, settings.feed_wait
        )
        self._fleet = Fleet()
        self._reservations = MemoryReservations()
        self._quarantine = CrashQuarantine(self._fleet.has_terminated)
        self._announcements = RouterAnnouncements(
            settings,
            self._incarnation,
            self._reservations,
            self._fleet,
            store,
            lambda: self._registrations.is_available,
            self._quarantine,
        )
        calls = EngineCalls(_ENGINE_CALL_TIMEOUT_SECONDS)
        self._loads = ReportedLoads(self._fleet, calls.report, self._services)
        self._chooser = PathChooser(
            self._fleet,
            self._reservations,
            settings.data_centre,
            self._count_routers,
            policy=make_policy(settings.path_policy, self._loads.used_parts),
        )
        self._pool = ConnectionPool()
        self._placement = PlacementController(
            self._fleet,
            calls,
            self._announcements.is_leader,
            self._services,
            self._announcements.announce_layers,
        )
        budget = RetryWindow(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_seconds
        )
        self._plain_call_proxy = PlainCallProxy(
            self._fleet,
            self._pool,
            budget,
            settings.data_centre,
            self._count_routers,
            self._quarantine,
        )
        stall_detector = StallDetector(
            self._fleet, calls.report, self._chooser.set_slowdown
        )
        self._generation_proxy = GenerationProxy(
            self._fleet,
            self._reservations,
            self._chooser,
            self._pool,
            budget,
            self._count_routers,
            stall_detector.check_path,
            self._quarantine,
        )
        self._configurations = TableFollower(
            store, CONFIGURATION_TABLE, self._on_configuration
        )
        self._registrations = TableFollower(
            store, REGISTRATIONS_TABLE, self._on_registrations
        )
        rare = RowStore(
            settings.store_address, settings.store_timeout, _ROUTERS_WAIT_SECONDS
        )
        self._routers = TableFollower(rare, ROUTERS_TABLE, self._announcements.on_rows)
        self._callers = CallerServer(
            settings.caller_address, self._handle, self._limits
        )
        self._ready = CallerServer(settings.ready_address, self._handle_ready)
        self._metrics = MetricsRegistry()
        self._drain_controller = DrainController(
            settings.stop_grace_seconds, seed=self._incarnation
        )
        self._inspection = CallerServer(
            f"{settings.ip}:{settings.metrics_port}", self._handle_inspection
        )

    def run(self):
        """Serve until SIGTERM, then drain."""
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._log_reload)
        self._ready.start()
        self._callers.start()
        self._inspection.start()
        for task in (
            self._configurations.run,
            self._registrations.run,
            self._routers.run,
            self._announcements.register,
            self._announcements.announce_forever,
            self._announcements.listen_forever,
            self._placement.run,
            self._expire,
        ):
            gevent.spawn(_keep_running, task)
        if self._settings.path_policy is PathPolicyName.LEAST_REPORTED:
            gevent.spawn(_keep_running, self._loads.run)
        log_event(
            Event.ROUTER_STARTED,
            node=self._settings.node,
            incarnation=self._incarnation,
            address=self._settings.caller_address,
            path_policy=self._settings.path_policy.value,
        )
        self._stop.wait()
        self._drain()
        log_event(Event.PROCESS_STOPPED, node=self._settings.node)

    def _drain(self):
        log_event(Event.DRAIN_STARTED, requests=self._callers.requests_in_progress)
        self._drain_controller.begin()
        self._callers.is_draining = True
        self._announcements.set_serving(False)
        gevent.spawn(self._announcements.unregister)
        while not self._drain_controller.is_complete(
            self._callers.requests_in_progress
        ):
            self._announcements.set_accepts_work(
                self._drain_controller.has_time_for_generation()
            )
            gevent.sleep(_DRAIN_LOOK_SECONDS)
        self._callers.stop_accepting()

    def _log_reload(self):
        log_event(Event.SETTINGS_CHANGED, node=self._settings.node)

    def _expire(self):
        while True:
            gevent.sleep(_EXPIRY_SECONDS)
            self._pool.close_expired()
            omitted = flush_and_count_omitted()
            if omitted:
                log_event(Event.LINES_OMITTED, counts=omitted)
            self._announcements.set_serving(self._is_ready())

    def _count_routers(self):
        return self._announcements.router_count()

    def _services(self):
        if self._configuration is None:
            return []
        return list(self._configuration.services.values())

    def _limits(self):
        if self._configuration is None:
            return CallerLimits()
        return self._configuration.limits

    def _on_configuration(self, rows, _whole):
        for row in rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            try:
                configuration = decode_configuration(row.value)
            except MalformedRow as error:
                log_event(Event.CONFIGURATION_INVALID, reason=str(error))
                continue
            known = self._configuration
            if known is not None and configuration.version <= known.version:
                continue
            self._configuration = configuration
            log_event(Event.CONFIGURATION_APPLIED, revision=configuration.version)

    def _on_registrations(self, rows, whole):
        lapsing = self._registrations.seconds_since_outage() < LAPSED_GRACE_SECONDS
        upstreams = []
        for row in rows:
            if row.value is None:
                self._fleet.remove(row.key, lapsing)
                continue
            try:
                upstreams.append(decode_upstream(row.key, row.value))
            except MalformedRow as error:
                log_event(Event.VM_ROW_INVALID, row=row.key, reason=str(error)[:300])
        if whole:
            self._fleet.replace_all(upstreams, lapsing)
            return
        for upstream in upstreams:
            self._fleet.put(upstream)

    def _is_ready(self):
        return (
            not self._callers.is_draining
            and self._configuration is not None
            and self._registrations.has_read
        )

    def _handle_ready(self, connection, _request):
        status = 200 if self._is_ready() else 503
        connection.send(Response(status, [(b"content-type", b"text/plain")], b""))

    def _handle_inspection(self, connection, request):
        """Serve the metrics at /metrics, and a dump of the whole state at /state."""
        if request.path == "/state":
            body = json.dumps(self.dump(), indent=1, sort_keys=True)
            content_type = b"application/json"
        else:
            body = self._metrics.render(self._levels())
            content_type = b"text/plain; version=0.0.4"
        headers = [(b"content-type", content_type)]
        connection.send(Response(200, headers, body.encode()))

    def _levels(self):
        configuration = self._configuration
        return {
            "configuration_version": configuration.version if configuration else 0,
            "requests_in_progress": self._callers.requests_in_progress,
            "caller_connections": self._callers.connections,
            "upstream_connections_opened": self._pool.opened,
            "upstreams_avoided": len(self._fleet.avoided_ids()),
            "routers": self._count_routers(),
            "ready": int(self._is_ready()),
        }

    def dump(self) -> dict:
        """Return the whole state of this process."""
        return {
            "node": self._settings.node,
            "incarnation": self._incarnation,
            "levels": self._levels(),
            "fleet": self._fleet.dump(),
            "reservations": self._reservations.dump(),
            "routers": self._announcements.dump(),
            "placement": self._placement.dump(),
            "crashing_requests": self._quarantine.dump(),
        }

    def _handle(self, connection, request):
        metadata = parse_request_metadata(request.headers)
        try:
            self._route(connection, request, metadata)
            self._note_answer(connection, request, metadata)
        except CallerDisconnected:
            log_event(
                Event.CALLER_LEFT,
                request=metadata.request_id.decode("latin-1"),
                seconds=round(time.monotonic() - request.read_at, 3),
            )
            raise
        except Exception as error:
            log_event(
                Event.INTERNAL_ERROR,
                request=metadata.request_id.decode("latin-1"),
                reason=repr(error),
                traceback=traceback.format_exc()[-_LONGEST_TRACEBACK:],
            )
            if not connection.answer_begun:
                connection.send(failure_response(502, "internal error"))

    def _note_answer(self, connection, request, metadata):
        seconds = time.monotonic() - request.read_at
        self._metrics.increment("answers", status=str(connection.status))
        self._metrics.record("answer", seconds)
        log_event(
            Event.REQUEST_ANSWERED,
            request=metadata.request_id.decode("latin-1"),
            path=request.path,
            status=connection.status,
            seconds=round(seconds, 3),
            complete=not connection.is_broken_off,
        )

    def _route(self, connection, request, metadata):
        configuration = self._configuration
        if configuration is None:
            reason = "no configuration is known yet"
            log_event(
                Event.REQUEST_REJECTED,
                request=metadata.request_id.decode("latin-1"),
                status=503,
                reason=reason,
                configuration_version=None,
                store_available=self._configurations.is_available,
            )
            response = not_run_response(reason, _RETRY_WITHOUT_CONFIGURATION_SECONDS)
            connection.send(self._with_id(response, metadata))
            return
        route = configuration.routes.find(request.host, request.path)
        if route is None:
            self._reject(connection, metadata, 404, "no route matches")
            return
        team = None
        if configuration.teams_by_key is not None and not route.public:
            team = configuration.teams_by_key.get(metadata.api_key or "")
            if team is None:
                self._reject(connection, metadata, 401, "the key is not known")
                return
        seconds = route.timeout
        if metadata.seconds_left is not None:
            seconds = min(seconds, metadata.seconds_left)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        proxied_request = ProxiedRequest(
            request,
            metadata,
            request.read_at + seconds,
            None if team is None else team.name,
            min(max(priority, 0), 9),
            request_fingerprint(request.path, metadata.api_key, request.body),
        )
        if self._quarantine.is_quarantined(proxied_request.fingerprint):
            self._refuse_quarantined(connection, proxied_request)
            return
        service = self._choose_service(route)
        known = configuration.services.get(service)
        engine = None if known is None else known.engine
        if engine is None:
            response = self._plain_call_proxy.run(proxied_request, route, service)
            if response.status < 500:
                self._quarantine.record_success(proxied_request.fingerprint)
            connection.send(self._with_id(response, metadata))
        elif not self._drain_controller.try_admit_generation():
            self._refuse_while_draining(connection, metadata)
        else:
            began = time.monotonic()
            self._generation_proxy.run(
                connection, proxied_request, route, service, engine
            )
            if connection.status == 200 and not connection.is_broken_off:
                self._quarantine.record_success(proxied_request.fingerprint)
                self._drain_controller.record_generation(time.monotonic() - began)

    def _refuse_quarantined(self, connection, proxied_request):
        reason = "this request has crashed the upstreams that ran it"
        log_event(
            Event.REQUEST_REJECTED,
            request=proxied_request.metadata.request_id.decode("latin-1"),
            status=503,
            reason=reason,
            fingerprint=proxied_request.fingerprint,
        )
        response = not_run_response(reason, QUARANTINE_SECONDS)
        connection.send(self._with_id(response, proxied_request.metadata))

    def _refuse_while_draining(self, connection, metadata):
        # The balancer may send the caller to any of them; if one does not take work, it
        # is surer to wait until this router is back.
        others_accept_work = self._announcements.all_peers_accept_work()
        response = not_run_response(
            "this router stops before the answer would end",
            self._drain_controller.retry_after(others_accept_work),
        )
        log_event(
            Event.REQUEST_REJECTED,
            request=metadata.request_id.decode("latin-1"),
            status=response.status,
            reason="draining",
            others_take_work=others_accept_work,
        )
        connection.send(self._with_id(response, metadata))

    def _reject(self, connection, metadata, status, reason):
        log_event(
            Event.REQUEST_REJECTED,
            request=metadata.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            configuration_version=self._configuration.version,
        )
        connection.send(rejection_response(status, reason))

    def _choose_service(self, route):
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._random.choices(names, weights)[0]

    def _with_id(self, response, metadata):
        header = request_id_header(metadata.request_id)
        if any(name == header[0] for name, _ in response.headers):
            return response
        return response._replace(headers=[*response.headers, header])


def _keep_running(task):
    """Run a background task; an error that nobody foresaw does not end it for good."""
    while True:
        try:
            return task()
        except Exception as error:
            log_event(
                Event.INTERNAL_ERROR,
                task=task.__qualname__,
                reason=repr(error),
                traceback=traceback.format_exc()[-_LONGEST_TRACEBACK:],
            )
            gevent.sleep(_TASK_RESTART_SECONDS)


def run_router(path_policy: str = PathPolicyName.LEAST_TIME.value) -> int:
    """Run a router with the platform's settings; return the exit code."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "")
    try:
        policy = PathPolicyName(path_policy)
    except ValueError:
        names = ", ".join(PathPolicyName)
        message = f"--path-policy {path_policy!r} is not one of {names}"
        print(message, file=sys.stderr)
        return 2
    try:
        settings = replace(read_router_settings(path), path_policy=policy)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    start_bounded_logging(settings.node, sys.stdout.fileno())
    RouterProcess(settings).run()
    return 0
