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
from bulrushdrum._internal.coordination.following import TableFollower
from bulrushdrum._internal.coordination.placing import LayerPlacement
from bulrushdrum._internal.gateway.callers import CallerServer
from bulrushdrum._internal.gateway.draining import Draining
from bulrushdrum._internal.gateway.errors import CallerLeft
from bulrushdrum._internal.gateway.exchange import Call
from bulrushdrum._internal.gateway.generations import Generations
from bulrushdrum._internal.gateway.messages import Answer
from bulrushdrum._internal.gateway.plain_calls import PlainCalls
from bulrushdrum._internal.gateway.refusals import failure, refusal, rejection
from bulrushdrum._internal.gateway.upstream_connections import ConnectionPool
from bulrushdrum._internal.limits.retry_window import RetryWindow
from bulrushdrum._internal.observability.events import (
    Event,
    flush_and_count_omitted,
    log_event,
    start_bounded_logging,
)
from bulrushdrum._internal.observability.metrics_page import Numbers
from bulrushdrum._internal.pipelines.crash_register import (
    CONVICTED_SECONDS,
    CrashRegister,
    fingerprint_of,
)
from bulrushdrum._internal.pipelines.diagnosis import Diagnosis
from bulrushdrum._internal.pipelines.fleet import LAPSED_GRACE_SECONDS, Fleet
from bulrushdrum._internal.pipelines.memory import MemoryLedger
from bulrushdrum._internal.pipelines.path_policies import make_policy
from bulrushdrum._internal.pipelines.paths import PathChooser
from bulrushdrum._internal.pipelines.reported_loads import ReportedLoads
from bulrushdrum._internal.platform.engine_calls import EngineCalls
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.platform.headers import describe_call, request_id_header
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
        self._ledger = MemoryLedger()
        self._crashes = CrashRegister(self._fleet.has_ended)
        self._announcements = RouterAnnouncements(
            settings,
            self._incarnation,
            self._ledger,
            self._fleet,
            store,
            lambda: self._registrations.is_available,
            self._crashes,
        )
        calls = EngineCalls(_ENGINE_CALL_TIMEOUT_SECONDS)
        self._loads = ReportedLoads(self._fleet, calls.report, self._services)
        self._chooser = PathChooser(
            self._fleet,
            self._ledger,
            settings.data_centre,
            self._count_routers,
            policy=make_policy(settings.path_policy, self._loads.used_parts),
        )
        self._pool = ConnectionPool()
        self._placement = LayerPlacement(
            self._fleet,
            calls,
            self._announcements.is_leading,
            self._services,
            self._announcements.tell_layers,
        )
        budget = RetryWindow(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_seconds
        )
        self._plain = PlainCalls(
            self._fleet,
            self._pool,
            budget,
            settings.data_centre,
            self._count_routers,
            self._crashes,
        )
        diagnosis = Diagnosis(self._fleet, calls.report, self._chooser.set_pace)
        self._generations = Generations(
            self._fleet,
            self._ledger,
            self._chooser,
            self._pool,
            budget,
            self._count_routers,
            diagnosis.diagnose,
            self._crashes,
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
        self._numbers = Numbers()
        self._draining = Draining(settings.stop_grace_seconds, seed=self._incarnation)
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
        self._draining.begin()
        self._callers.is_draining = True
        self._announcements.set_serving(False)
        gevent.spawn(self._announcements.unregister)
        while not self._draining.is_over(self._callers.requests_in_progress):
            self._announcements.set_takes_work(self._draining.has_time_for_generation())
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
        return self._announcements.count_for_shares()

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
        connection.send(Answer(status, [(b"content-type", b"text/plain")], b""))

    def _handle_inspection(self, connection, request):
        """Serve the metrics at /metrics, and a dump of the whole state at /state."""
        if request.path == "/state":
            body = json.dumps(self.dump(), indent=1, sort_keys=True)
            content_type = b"application/json"
        else:
            body = self._numbers.page(self._levels())
            content_type = b"text/plain; version=0.0.4"
        headers = [(b"content-type", content_type)]
        connection.send(Answer(200, headers, body.encode()))

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
            "reservations": self._ledger.dump(),
            "routers": self._announcements.dump(),
            "placement": self._placement.dump(),
            "crashing_requests": self._crashes.dump(),
        }

    def _handle(self, connection, request):
        description = describe_call(request.headers)
        try:
            self._route(connection, request, description)
            self._note_answer(connection, request, description)
        except CallerLeft:
            log_event(
                Event.CALLER_LEFT,
                request=description.request_id.decode("latin-1"),
                seconds=round(time.monotonic() - request.read_at, 3),
            )
            raise
        except Exception as error:
            log_event(
                Event.INTERNAL_ERROR,
                request=description.request_id.decode("latin-1"),
                reason=repr(error),
                traceback=traceback.format_exc()[-_LONGEST_TRACEBACK:],
            )
            if not connection.answer_begun:
                connection.send(failure(502, "internal error"))

    def _note_answer(self, connection, request, description):
        seconds = time.monotonic() - request.read_at
        self._numbers.count("answers", status=str(connection.status))
        self._numbers.record("answer", seconds)
        log_event(
            Event.REQUEST_ANSWERED,
            request=description.request_id.decode("latin-1"),
            path=request.path,
            status=connection.status,
            seconds=round(seconds, 3),
            complete=not connection.is_broken_off,
        )

    def _route(self, connection, request, description):
        configuration = self._configuration
        if configuration is None:
            reason = "no configuration is known yet"
            log_event(
                Event.REQUEST_REJECTED,
                request=description.request_id.decode("latin-1"),
                status=503,
                reason=reason,
                configuration_version=None,
                store_available=self._configurations.is_available,
            )
            answer = refusal(reason, _RETRY_WITHOUT_CONFIGURATION_SECONDS)
            connection.send(self._with_id(answer, description))
            return
        route = configuration.routes.find(request.host, request.path)
        if route is None:
            self._reject(connection, description, 404, "no route matches")
            return
        team = None
        if configuration.teams_by_key is not None and not route.public:
            team = configuration.teams_by_key.get(description.api_key or "")
            if team is None:
                self._reject(connection, description, 401, "the key is not known")
                return
        seconds = route.timeout
        if description.seconds_left is not None:
            seconds = min(seconds, description.seconds_left)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        call = Call(
            request,
            description,
            request.read_at + seconds,
            None if team is None else team.name,
            min(max(priority, 0), 9),
            fingerprint_of(request.path, description.api_key, request.body),
        )
        if self._crashes.is_convicted(call.fingerprint):
            self._refuse_convicted(connection, call)
            return
        service = self._choose_service(route)
        known = configuration.services.get(service)
        engine = None if known is None else known.engine
        if engine is None:
            answer = self._plain.run(call, route, service)
            if answer.status < 500:
                self._crashes.note_served(call.fingerprint)
            connection.send(self._with_id(answer, description))
        elif not self._draining.try_take_generation():
            self._refuse_while_draining(connection, description)
        else:
            began = time.monotonic()
            self._generations.run(connection, call, route, service, engine)
            if connection.status == 200 and not connection.is_broken_off:
                self._crashes.note_served(call.fingerprint)
                self._draining.record_generation(time.monotonic() - began)

    def _refuse_convicted(self, connection, call):
        reason = "this request has crashed the upstreams that ran it"
        log_event(
            Event.REQUEST_REJECTED,
            request=call.description.request_id.decode("latin-1"),
            status=503,
            reason=reason,
            fingerprint=call.fingerprint,
        )
        answer = refusal(reason, CONVICTED_SECONDS)
        connection.send(self._with_id(answer, call.description))

    def _refuse_while_draining(self, connection, description):
        # The balancer may send the caller to any of them; if one does not take work, it
        # is surer to wait until this router is back.
        others_take_it = self._announcements.all_others_take_work()
        answer = refusal(
            "this router stops before the answer would end",
            self._draining.retry_after(others_take_it),
        )
        log_event(
            Event.REQUEST_REJECTED,
            request=description.request_id.decode("latin-1"),
            status=answer.status,
            reason="draining",
            others_take_work=others_take_it,
        )
        connection.send(self._with_id(answer, description))

    def _reject(self, connection, description, status, reason):
        log_event(
            Event.REQUEST_REJECTED,
            request=description.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            configuration_version=self._configuration.version,
        )
        connection.send(rejection(status, reason))

    def _choose_service(self, route):
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._random.choices(names, weights)[0]

    def _with_id(self, answer, description):
        header = request_id_header(description.request_id)
        if any(name == header[0] for name, _ in answer.headers):
            return answer
        return answer._replace(headers=[*answer.headers, header])


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
