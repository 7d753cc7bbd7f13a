"""Polls the upstream for its availability, its state and its load."""

from collections.abc import Callable

import gevent
from gevent import socket

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import spawn_loop
from bulrushdrum._internal.sidecar.engine_client import (
    CONNECT_TIMEOUT_SECONDS,
    EngineClient,
    EngineLoad,
    EngineState,
    PrefixCacheEvent,
)
from bulrushdrum._internal.sidecar.errors import EngineLost, SidecarError
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.addresses import parse_address


class EngineWatch:
    """Polls the engine's state, its load and the events of its prefix cache.

    `on_lost(reason)` is called when the engine is unreachable or stalled, and
    `on_cache_events(events)` with new events of the prefix cache.
    """

    def __init__(
        self,
        engine: EngineClient,
        status: UpstreamStatus,
        settings: SidecarSettings,
        calls_in_flight: Callable[[], int],
        on_lost: Callable[[str], None],
        on_cache_events: Callable[[list[PrefixCacheEvent]], None],
    ):
        self._engine = engine
        self._status = status
        self._settings = settings
        self._calls_in_flight = calls_in_flight
        self._on_lost = on_lost
        self._on_cache_events = on_cache_events
        self._load = EngineLoad(0, 0, 0.0)
        self._last_cache_sequence = 0

    @property
    def load(self) -> EngineLoad:
        return self._load

    def start(self):
        spawn_loop("engine watch", self._poll_and_wait)

    def _poll_and_wait(self):
        self._poll()
        gevent.sleep(self._settings.engine_poll_interval)

    def _poll(self):
        try:
            state = self._engine.read_state()
        except SidecarError as error:
            self._handle_poll_failure(error)
            return
        self._handle_engine_state(state)
        try:
            self._load = self._engine.read_load()
            if state.first_layer == 0:
                self._poll_cache_events()
        except SidecarError:
            pass  # the next poll finds out whether the engine is lost

    def _handle_poll_failure(self, error):
        if self._status.engine is None:
            return
        crashed = not isinstance(error, EngineLost) or error.crashed
        if crashed and self._calls_in_flight():
            # The calls in flight fail as well and know which requests were running.
            return
        self._on_lost(str(error))

    def _handle_engine_state(self, state: EngineState):
        if self._status.engine is None:
            self._last_cache_sequence = 0
            log_event(
                Event.ENGINE_AVAILABLE,
                model=state.model,
                model_version=state.model_version,
                layers=[state.first_layer, state.end_layer],
            )
        self._status.update(engine=state)

    def _poll_cache_events(self):
        events = self._engine.read_cache_events(self._last_cache_sequence)
        if events:
            self._last_cache_sequence = max(event.sequence_number for event in events)
            self._on_cache_events(events)


class ServiceWatch:
    """Polls whether a plain service accepts connections."""

    def __init__(self, status: UpstreamStatus, settings: SidecarSettings):
        self._status = status
        self._settings = settings
        url = settings.upstream_url.removeprefix("http://").rstrip("/")
        self._address = parse_address(url)

    def start(self):
        spawn_loop("service watch", self._poll_and_wait)

    def _poll_and_wait(self):
        try:
            socket.create_connection(
                self._address, timeout=CONNECT_TIMEOUT_SECONDS
            ).close()
            self._status.update(reachable=True)
        except OSError:
            self._status.update(reachable=False)
        gevent.sleep(self._settings.engine_poll_interval)
