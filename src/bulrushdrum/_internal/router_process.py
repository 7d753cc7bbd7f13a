"""The router process: starts its components, serves, and drains.

SIGTERM ends the wait in `RouterProcess.run`, which then drains; `run_router` exits.
"""

import os
import signal
import sys
import time
import traceback
from dataclasses import replace

import gevent

from bulrushdrum._internal.gateway.callers import CallerServer
from bulrushdrum._internal.gateway.request_handler import MAX_TRACEBACK_CHARACTERS
from bulrushdrum._internal.observability.events import (
    Event,
    flush_and_count_omitted,
    log_event,
    persist_unread_lines,
    start_bounded_logging,
)
from bulrushdrum._internal.platform.router_settings import (
    SETTINGS_PATH_VARIABLE,
    read_router_settings,
)
from bulrushdrum._internal.router_components import RouterComponents
from bulrushdrum._internal.router_inspection import RouterInspection
from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.router import (
    PathPolicyName,
    ResponseLimits,
    RouterSettings,
)
from bulrushdrum._internal.termination import TerminationRequest

_DRAIN_POLL_SECONDS = 0.05
_MAINTENANCE_INTERVAL_SECONDS = 1.0
_TASK_RESTART_SECONDS = 0.5
# A latency of the event loop that callers notice.
_LATE_LOOP_SECONDS = 0.2
# Connections of the load balancer and of operators to each of their ports.
_INSPECTION_CONNECTIONS = 32


class RouterProcess:
    """One router, from its start to the end of its drain."""

    def __init__(self, settings: RouterSettings):
        self._settings = settings
        self._termination = TerminationRequest()
        # Measured for the metrics.
        self._worst_loop_latency = 0.0
        self._components = RouterComponents(settings, self._termination)
        self._inspection = RouterInspection(
            settings, self._components, lambda: self._worst_loop_latency
        )
        self._readiness_server = CallerServer(
            settings.ready_address,
            self._inspection.handle_readiness,
            group=self._components.caller_budget.add_group(_INSPECTION_CONNECTIONS),
        )
        self._inspection_server = CallerServer(
            f"{settings.ip}:{settings.metrics_port}",
            self._inspection.handle_inspection,
            group=self._components.caller_budget.add_group(_INSPECTION_CONNECTIONS),
        )

    def run(self):
        """Serve until SIGTERM, then drain and return."""
        components = self._components
        self._termination.install()
        gevent.signal_handler(signal.SIGHUP, self._log_reload)
        self._readiness_server.start()
        components.caller_server.start()
        self._inspection_server.start()
        for task in (
            components.configuration_follower.run,
            components.registration_follower.run,
            components.router_follower.run,
            components.registry.register_forever,
            components.announcements.announce_forever,
            components.announcements.listen_forever,
            components.placement.run,
            self._run_maintenance,
            components.loop_latency.run,
        ):
            gevent.spawn(_run_with_restarts, task)
        if self._settings.path_policy is PathPolicyName.LEAST_REPORTED:
            gevent.spawn(_run_with_restarts, components.reported_loads.run)
        log_event(
            Event.ROUTER_STARTED,
            node=self._settings.node,
            incarnation=components.incarnation,
            address=self._settings.caller_address,
            path_policy=self._settings.path_policy.value,
        )
        self._termination.wait()
        self._drain()
        log_event(Event.PROCESS_STOPPED, node=self._settings.node)
        persist_unread_lines()

    def _drain(self):
        components = self._components
        log_event(
            Event.DRAIN_STARTED,
            requests=components.caller_server.requests_in_progress,
            noticed_after=round(time.monotonic() - self._termination.received_at, 3),
            loop_latency=round(components.loop_latency.pop_worst(), 3),
        )
        _run_once(components.request_handler.log_in_progress)
        persist_unread_lines()
        _run_once(components.drain_controller.begin)
        _run_once(components.caller_server.begin_drain)
        _run_once(lambda: components.announcements.set_serving(False))
        gevent.spawn(components.registry.unregister)
        while not components.drain_controller.is_complete(
            components.caller_server.open_requests
        ):
            _run_once(self._announce_drain)
            gevent.sleep(_DRAIN_POLL_SECONDS)
        # Requests that arrive meanwhile are accepted if they can end before the exit.
        seconds = components.drain_controller.seconds_until_exit()
        _run_once(lambda: components.caller_server.finish(seconds))
        _run_once(components.request_handler.log_interrupted)

    def _announce_drain(self):
        components = self._components
        components.announcements.set_accepts_work(
            components.drain_controller.has_time_for_any_generation(),
            components.drain_controller.ready_in(),
        )

    def _log_reload(self):
        log_event(Event.SETTINGS_CHANGED, node=self._settings.node)

    def _run_maintenance(self):
        components = self._components
        while True:
            gevent.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            components.connection_pool.close_expired()
            components.slow_upstreams.run_maintenance()
            components.conditions.run_maintenance(
                components.announcements.router_count()
            )
            omitted = flush_and_count_omitted()
            if omitted:
                log_event(Event.LINES_OMITTED, counts=omitted)
            self._worst_loop_latency = components.loop_latency.pop_worst()
            if self._worst_loop_latency > _LATE_LOOP_SECONDS:
                log_event(
                    Event.EVENT_LOOP_LATE,
                    seconds=round(self._worst_loop_latency, 3),
                    requests=components.caller_server.requests_in_progress,
                )
            components.announcements.set_serving(components.is_ready())
            components.configuration.apply_due(components.configuration_follower)
            if components.registrations.store_served_peers(
                components.registration_follower
            ):
                components.fleet.remove_lapsed()


def _run_with_restarts(task):
    """Run a background task, and restart it after an unexpected exception."""
    while not _run_once(task):
        gevent.sleep(_TASK_RESTART_SECONDS)


def _run_once(task) -> bool:
    """Run a task; return false after an unexpected exception, which is logged."""
    try:
        task()
    except Exception as error:
        log_event(
            Event.INTERNAL_ERROR,
            task=task.__qualname__,
            reason=repr(error),
            traceback=traceback.format_exc()[-MAX_TRACEBACK_CHARACTERS:],
        )
        return False
    return True


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
