"""What the attempts of generations say about requests and prompt parts that crash
upstreams.

An upstream that has sent some events of an answer did not crash on beginning it. One
that closes the connection before, and then refuses a new one, has crashed.
"""

from bulrushdrum._internal.gateway.errors import UpstreamFailed, UpstreamRestarted
from bulrushdrum._internal.gateway.exchange import ProxiedRequest
from bulrushdrum._internal.gateway.generation_progress import GenerationProgress
from bulrushdrum._internal.gateway.upstream_connections import refuses_connections
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.pipelines.part_quarantine import (
    Incarnation,
    PartQuarantine,
)

_EVENTS_OF_WRITTEN_ANSWER = 2


class CrashEvidence:
    """Passes the evidence of attempts on to the quarantines of requests and parts."""

    def __init__(
        self,
        fleet: Fleet,
        quarantine: CrashQuarantine,
        part_quarantine: PartQuarantine,
    ):
        self._fleet = fleet
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine

    def is_quarantined(self, proxied_request: ProxiedRequest) -> bool:
        parts = proxied_request.metadata.shared_parts
        return self._quarantine.is_quarantined(proxied_request.fingerprint) or bool(
            self._part_quarantine.find_group(parts)
        )

    def record_event(
        self, proxied_request: ProxiedRequest, progress: GenerationProgress
    ):
        """Record an event with data that an attempt has delivered."""
        if progress.attempt_events == _EVENTS_OF_WRITTEN_ANSWER:
            self._part_quarantine.record_written(proxied_request.metadata.shared_parts)

    def record_end(self, proxied_request: ProxiedRequest, progress: GenerationProgress):
        """Record that an attempt has delivered the rest of an answer."""
        if progress.attempt_events:
            self._part_quarantine.record_written(proxied_request.metadata.shared_parts)

    def record_failure(
        self,
        proxied_request: ProxiedRequest,
        path: tuple[Hop, ...],
        error: UpstreamFailed,
        progress: GenerationProgress,
    ):
        """Record a failure that may be a crash of the upstream that was to answer.

        Attempts that have delivered events are cut by crashes that others cause.
        """
        if progress.attempt_events >= _EVENTS_OF_WRITTEN_ANSWER:
            return
        incarnations = tuple((hop.upstream.id, hop.upstream.born) for hop in path)
        self._quarantine.record_failure(proxied_request.fingerprint, incarnations)
        if error.unresponsive and not isinstance(error, UpstreamRestarted):
            return
        first = path[0].upstream
        self._part_quarantine.record_failure(
            Incarnation(first.id, first.born, first.software_version),
            proxied_request.metadata.shared_parts,
            progress.sent_at,
        )
        if refuses_connections(first.address):
            self._fleet.mark_terminated(first.id, first.born)
