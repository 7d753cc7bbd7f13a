"""Exchange of incidents between entries, before a suspect runs again.

Several entries can run the same crashing request at the same time. The one whose engine
dies first knows a single incident, which quarantines nobody. It therefore asks the
other entries whether they run the request too, and waits for their incidents before it
sends the request to one more engine. In the usual case nobody else runs it, and the
wait is one round trip.
"""

import time
from collections.abc import Callable

from gevent.event import Event as Signal

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.messages import Incident, Suspects
from bulrushdrum._internal.routing.crash_quarantine import CrashQuarantine

# An entry that does not say within this time whether it runs a request, in seconds, is
# taken as one that does not: it may be cut off, and the caller waits.
_ANSWER_SECONDS = 0.5
# An entry that runs the request has an incident or an answer within this time, in
# seconds: a crash shows at once, and a prompt that is read without one is no suspect.
_RUNNING_SECONDS = 2.0


class IncidentExchange:
    """Shares the incidents of `quarantine` over `hub`.

    `running()` returns the fingerprints of the requests that this entry has sent to
    engines and that have not ended.
    """

    def __init__(
        self,
        hub: PeerHub,
        quarantine: CrashQuarantine,
        running: Callable[[], set[str]],
        clock=time.monotonic,
    ):
        self._hub = hub
        self._quarantine = quarantine
        self._running = running
        self._clock = clock
        self._unanswered: dict[str, set[str]] = {}
        self._running_at: dict[str, set[str]] = {}
        self._changed = Signal()
        hub.register(Suspects, self._handle)
        hub.on_connected(self._share_all)

    def report(self, incident: Incident):
        """Add an incident that a sidecar reported, and ask the others about it."""
        if not self._quarantine.add(incident):
            return
        log_event(
            Event.SUSPECT_REPORTED,
            incident=incident.id,
            fingerprints=list(incident.fingerprints),
        )
        entries = self._hub.connections("entry")
        self._unanswered[incident.id] = {c.peer.incarnation for c in entries}
        self._hub.broadcast("entry", Suspects((incident,), query=incident.id))

    def wait_for_peers(self, fingerprint: str):
        """Wait until no other entry can have an incident with `fingerprint` to tell."""
        self._wait_while(
            lambda: any(
                self._unanswered.get(incident_id)
                for incident_id in self._quarantine.incident_ids(fingerprint)
            ),
            _ANSWER_SECONDS,
        )
        self._wait_while(lambda: self._running_at.get(fingerprint), _RUNNING_SECONDS)
        for incident_id in self._quarantine.incident_ids(fingerprint):
            self._unanswered.pop(incident_id, None)
        self._running_at.pop(fingerprint, None)

    def _wait_while(self, condition, seconds):
        until = self._clock() + seconds
        while condition() and self._clock() < until:
            self._changed.clear()
            self._changed.wait(max(until - self._clock(), 0.0))

    def _handle(self, connection: PeerConnection, suspects: Suspects):
        peer = connection.peer.incarnation
        for incident in suspects.incidents:
            self._quarantine.add(incident)
            for fingerprint in incident.fingerprints:
                self._running_at.get(fingerprint, set()).discard(peer)
        if suspects.answers:
            for fingerprint in suspects.running:
                self._running_at.setdefault(fingerprint, set()).add(peer)
            self._unanswered.get(suspects.answers, set()).discard(peer)
        self._changed.set()
        if suspects.query:
            self._answer(connection, suspects)

    def _answer(self, connection, suspects):
        named = {name for i in suspects.incidents for name in i.fingerprints}
        answer = Suspects(
            running=tuple(sorted(named & self._running())), answers=suspects.query
        )
        try:
            connection.send(answer)
        except ConnectionLost:
            pass  # the entry that asked is gone, and its requests with it

    def _share_all(self, connection):
        incidents = self._quarantine.incidents()
        if connection.peer.kind == "entry" and incidents:
            connection.send(Suspects(incidents))
