"""Exchange of incidents between entries, before a suspect runs again.

Several entries can run the same crashing request at the same time. The entry whose
engine crashes first knows one incident, which is not enough to quarantine the request.
It therefore asks the other entries whether they are running the request, and waits for
their incidents before it sends the request to another engine. Usually no other entry
runs it, and the wait is one round trip.
"""

import time
from collections.abc import Callable

from gevent.event import Event as Signal

from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.peering.connections import PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.shared_state_messages import Incident, Suspects
from bulrushdrum._internal.routing.crash_quarantine import CrashQuarantine

# An entry that has not answered a query within this time may be partitioned. It is
# assumed not to run the request, because the caller is waiting.
_ANSWER_TIMEOUT_SECONDS = 0.5
# The longest wait for the incident of an entry that runs the request. A crash shows
# quickly; a prompt that is processed without one does not crash engines.
_RUNNING_TIMEOUT_SECONDS = 2.0


class IncidentExchange:
    """Shares the incidents of `quarantine` over `hub`.

    `running()` returns the fingerprints of the requests with an attempt in progress at
    this entry.
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
        self._pending_answers: dict[str, set[str]] = {}
        self._running_peers: dict[str, set[str]] = {}
        self._state_changed = Signal()
        hub.register(Suspects, self._handle_suspects)
        hub.on_connected(self._send_known_incidents)

    def report(self, incident: Incident):
        """Add an incident reported by a sidecar, and query the other entries about it.

        The query also shares the incident with them.
        """
        if not self._quarantine.add(incident):
            return
        log_event(
            Event.SUSPECT_REPORTED,
            incident=incident.id,
            fingerprints=list(incident.fingerprints),
        )
        entries = self._hub.connections("entry")
        self._pending_answers[incident.id] = {c.peer.incarnation for c in entries}
        self._hub.broadcast("entry", Suspects((incident,), query=incident.id))

    def wait_for_peers(self, fingerprint: str):
        """Wait until no other entry is expected to report another crash of a request.

        The wait ends early when an entry does not answer or its request keeps running;
        see the timeouts above.
        """
        self._wait_while(
            lambda: any(
                self._pending_answers.get(incident_id)
                for incident_id in self._quarantine.incident_ids(fingerprint)
            ),
            _ANSWER_TIMEOUT_SECONDS,
        )
        self._wait_while(
            lambda: self._running_peers.get(fingerprint), _RUNNING_TIMEOUT_SECONDS
        )
        for incident_id in self._quarantine.incident_ids(fingerprint):
            self._pending_answers.pop(incident_id, None)
        self._running_peers.pop(fingerprint, None)

    def _wait_while(self, condition, seconds):
        deadline = self._clock() + seconds
        while condition() and self._clock() < deadline:
            self._state_changed.clear()
            self._state_changed.wait(max(deadline - self._clock(), 0.0))

    def _handle_suspects(self, connection: PeerConnection, suspects: Suspects):
        peer = connection.peer.incarnation
        for incident in suspects.incidents:
            self._quarantine.add(incident)
            for fingerprint in incident.fingerprints:
                self._running_peers.get(fingerprint, set()).discard(peer)
        if suspects.answers:
            for fingerprint in suspects.running:
                self._running_peers.setdefault(fingerprint, set()).add(peer)
            self._pending_answers.get(suspects.answers, set()).discard(peer)
        self._state_changed.set()
        if suspects.query:
            self._answer(connection, suspects)

    def _answer(self, connection, suspects):
        fingerprints = {f for i in suspects.incidents for f in i.fingerprints}
        answer = Suspects(
            running=tuple(sorted(fingerprints & self._running())),
            answers=suspects.query,
        )
        try:
            connection.send(answer)
        except ConnectionLost:
            pass  # the querying entry is lost, and so are its requests

    def _send_known_incidents(self, connection):
        incidents = self._quarantine.incidents()
        if connection.peer.kind == "entry" and incidents:
            connection.send(Suspects(incidents))
