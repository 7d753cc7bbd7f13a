"""Polls the memory utilization of engines for the `least-reported` path policy."""

from collections.abc import Callable

import gevent

from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.world.routes import Service

# Reports are already some hundred milliseconds old, and each one has a cost.
_POLL_INTERVAL_SECONDS = 1.0


class ReportedLoads:
    """Polls all engines; `report(address)` returns an engine's report or None."""

    def __init__(self, fleet: Fleet, report, services: Callable[[], list[Service]]):
        self._fleet = fleet
        self._report = report
        self._services = services
        self.memory_utilization: dict[str, float] = {}

    def run(self):
        while True:
            gevent.sleep(_POLL_INTERVAL_SECONDS)
            engines = [
                engine
                for service in self._services()
                if service.engine is not None
                for engine in self._fleet.available(service.name)
            ]
            gevent.joinall([gevent.spawn(self._poll, engine) for engine in engines])
            for upstream_id in set(self.memory_utilization) - {e.id for e in engines}:
                del self.memory_utilization[upstream_id]

    def _poll(self, engine):
        report = self._report(engine.address)
        if report is not None and report.total_token_layers > 0:
            utilization = report.used_token_layers / report.total_token_layers
            self.memory_utilization[engine.id] = utilization
