"""Frees the KV cache of sequences that have ended."""

import gevent

from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.errors import SidecarError

# One call frees all sequences that end within this time; nobody waits for it.
DELAY_SECONDS = 0.05


class Releases:
    """Collects ended sequences for the next call to the engine."""

    def __init__(self, engine: EngineClient):
        self._engine = engine
        self._ended: list[tuple[str, int]] = []

    def add(self, request: str, attempt: int):
        if not self._ended:
            gevent.spawn(self._release)
        self._ended.append((request, attempt))

    def _release(self):
        gevent.sleep(DELAY_SECONDS)
        ended, self._ended = self._ended, []
        try:
            self._engine.release(ended)
        except SidecarError:
            pass  # an engine that is gone holds no KV cache
