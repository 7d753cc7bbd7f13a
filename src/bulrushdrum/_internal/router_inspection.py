"""What a router process shows to operators: readiness, metrics and its state."""

import json
from collections.abc import Callable

from bulrushdrum._internal.gateway.messages import Response
from bulrushdrum._internal.router_components import RouterComponents
from bulrushdrum._internal.settings.router import RouterSettings


class RouterInspection:
    """Serves the readiness, the metrics and a dump of the state of one router.

    `worst_loop_latency()` returns the latency of the event loop, in seconds.
    """

    def __init__(
        self,
        settings: RouterSettings,
        components: RouterComponents,
        worst_loop_latency: Callable[[], float],
    ):
        self._settings = settings
        self._components = components
        self._worst_loop_latency = worst_loop_latency

    def handle_readiness(self, connection, _request):
        status = 200 if self._components.is_ready() else 503
        connection.send(Response(status, [(b"content-type", b"text/plain")], b""))

    def handle_inspection(self, connection, request):
        """Serve a dump of the process state at /state, and metrics at other paths."""
        if request.path == "/state":
            body = json.dumps(self.dump(), indent=1, sort_keys=True)
            content_type = b"application/json"
        else:
            body = self._components.metrics.render(self._gauges())
            content_type = b"text/plain; version=0.0.4"
        headers = [(b"content-type", content_type)]
        connection.send(Response(200, headers, body.encode()))

    def _gauges(self):
        components = self._components
        pool = components.connection_pool
        return {
            "configuration_version": components.configuration.version,
            "requests_in_progress": components.caller_server.requests_in_progress,
            "caller_connections": components.caller_server.connections,
            "caller_bytes_held": components.caller_budget.held_bytes,
            "caller_requests_shed": components.caller_budget.requests_shed,
            "caller_bodies_refused": components.caller_budget.bodies_refused,
            "caller_connections_closed_idle": components.caller_budget.closed_idle,
            "caller_connections_closed_new": components.caller_budget.closed_new,
            "upstream_connections_opened": pool.opened,
            "upstream_responses_too_large": pool.oversized_responses,
            "upstreams_avoided": len(components.fleet.avoided_ids()),
            "upstreams_leaving": len(components.fleet.leaving()),
            "upstream_pauses": components.fleet.pauses,
            "claims_made": components.fleet.claims.made,
            "claims_received": components.fleet.claims.received,
            "claims_withdrawn": components.fleet.claims.withdrawn,
            "upstreams_slow": components.slow_upstreams.count,
            "stream_moves": components.stream_mover.moves,
            "retries_lent": components.retry_window.lent.granted,
            "retries_borrowed": components.retry_window.borrowed.received,
            "borrowed_retries_used": components.retry_window.borrowed.used,
            "upstream_limits": components.upstream_limits.count,
            "upstream_limit_changes": components.upstream_limits.changes,
            "upstream_limit_diversions": components.upstream_limits.diversions,
            "routers": components.announcements.router_count(),
            "event_loop_latency_seconds": round(self._worst_loop_latency(), 3),
            "malformed_registrations": components.registrations.malformed,
            "store_era": components.registration_follower.era or 0,
            "store_restorations": components.registration_follower.restorations,
            "ready": int(components.is_ready()),
        }

    def dump(self) -> dict:
        """Return the state of this process for inspection."""
        components = self._components
        return {
            "node": self._settings.node,
            "incarnation": components.incarnation,
            "levels": self._gauges(),
            "fleet": components.fleet.dump(),
            "reservations": components.reservations.dump(),
            "routers": components.announcements.dump(),
            "placement": components.placement.dump(),
            "retries": components.retry_window.dump(),
            "upstream_limits": components.upstream_limits.dump(),
            "crashing_requests": components.quarantine.dump(),
            "crashing_parts": components.part_quarantine.dump(),
        }
