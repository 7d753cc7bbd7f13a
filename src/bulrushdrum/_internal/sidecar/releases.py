"""Frees the KV cache of ended sequences."""

import gevent

from bulrushdrum._internal.sidecar.engine_client import EngineClient
from bulrushdrum._internal.sidecar.errors import SidecarError

# One call frees all sequences that end within this time. No caller waits for it.
RELEASE_DELAY_SECONDS = 0.05


class CacheReleaser:
    """Collects ended sequences and frees them with one call to the engine."""

    def __init__(self, engine: EngineClient):
        self._engine = engine
        self._pending: list[tuple[str, int]] = []

    def schedule(self, request: str, attempt: int):
        if not self._pending:
            gevent.spawn(self._release)
        self._pending.append((request, attempt))

    def _release(self):
        gevent.sleep(RELEASE_DELAY_SECONDS)
        batch, self._pending = self._pending, []
        try:
            self._engine.release(batch)
        except SidecarError:
            pass  # a lost engine has no KV cache left to free
