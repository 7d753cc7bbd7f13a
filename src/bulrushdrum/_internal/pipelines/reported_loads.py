"""The loads that engines report, for the baseline that chooses paths by them."""

from collections.abc import Callable

import gevent

from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.world.routes import Service

# Reports are as of some hundred milliseconds ago, and each one is priced.
_ASK_SECONDS = 1.0


class ReportedLoads:
    """Asks all engines again and again; `report(address)` returns a report or None."""

    def __init__(self, fleet: Fleet, report, services: Callable[[], list[Service]]):
        self._fleet = fleet
        self._report = report
        self._services = services
        self.used_parts: dict[str, float] = {}

    def run(self):
        while True:
            gevent.sleep(_ASK_SECONDS)
            engines = [
                engine
                for service in self._services()
                if service.engine is not None
                for engine in self._fleet.available(service.name)
            ]
            gevent.joinall([gevent.spawn(self._ask, engine) for engine in engines])
            for upstream_id in set(self.used_parts) - {e.id for e in engines}:
                del self.used_parts[upstream_id]

    def _ask(self, engine):
        report = self._report(engine.address)
        if report is not None and report.total_token_layers > 0:
            part = report.used_token_layers / report.total_token_layers
            self.used_parts[engine.id] = part
