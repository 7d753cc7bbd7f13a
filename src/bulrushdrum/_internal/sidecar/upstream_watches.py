"""Watches the upstream: is it there, what does it hold, how loaded is it."""

from collections.abc import Callable

import gevent
from gevent import socket

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.background_loops import spawn_loop
from bulrushdrum._internal.sidecar.engine_client import (
    CONNECT_TIMEOUT_SECONDS,
    CacheChange,
    EngineClient,
    EngineLoad,
    EngineState,
)
from bulrushdrum._internal.sidecar.errors import EngineLost, SidecarError
from bulrushdrum._internal.sidecar.status import UpstreamStatus
from bulrushdrum._internal.world.addresses import parse_address


class EngineWatch:
    """Polls the engine's state and load, and its cache events.

    `on_lost(reason)` is called when the engine is found gone or stalled, and
    `on_cache_changes(changes)` with new changes of its prefix cache.
    """

    def __init__(
        self,
        engine: EngineClient,
        status: UpstreamStatus,
        settings: SidecarSettings,
        calls_in_flight: Callable[[], int],
        on_lost: Callable[[str], None],
        on_cache_changes: Callable[[list[CacheChange]], None],
    ):
        self._engine = engine
        self._status = status
        self._settings = settings
        self._calls_in_flight = calls_in_flight
        self._on_lost = on_lost
        self._on_cache_changes = on_cache_changes
        self._load = EngineLoad(0, 0, 0.0)
        self._cache_sequence = 0

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
            state = self._engine.describe()
        except SidecarError as error:
            self._not_found(error)
            return
        self._found(state)
        try:
            self._load = self._engine.load()
            if state.first_layer == 0:
                self._read_cache_changes()
        except SidecarError:
            pass  # the next poll tells whether the engine is there

    def _not_found(self, error):
        if self._status.engine is None:
            return
        crashed = not isinstance(error, EngineLost) or error.crashed
        if crashed and self._calls_in_flight():
            # These calls fail by themselves, and know which requests were on board.
            return
        self._on_lost(str(error))

    def _found(self, state: EngineState):
        if self._status.engine is None:
            self._cache_sequence = 0
            log_event(
                Event.ENGINE_AVAILABLE,
                model=state.model,
                model_version=state.model_version,
                layers=[state.first_layer, state.end_layer],
            )
        self._status.update(engine=state)

    def _read_cache_changes(self):
        changes = self._engine.cache_changes(self._cache_sequence)
        if changes:
            self._cache_sequence = max(change.sequence for change in changes)
            self._on_cache_changes(changes)


class ServiceWatch:
    """Checks that a plain service accepts connections."""

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
