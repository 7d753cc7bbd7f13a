"""Quarantine of requests that crash the upstreams running them.

An incident is one engine crash with the fingerprints of the requests in the call that
the engine was running. A fingerprint in an incident is a suspect. It is quarantined if,
in some incident, it is the only fingerprint that also appears in another incident: the
other requests in that call were part of no other crash. The rule depends only on the
set of incidents, so entries that have exchanged their incidents agree, whatever order
the incidents arrived in.
"""

import time
from collections import OrderedDict

from bulrushdrum._internal.peering.shared_state_messages import Incident

MAX_INCIDENTS = 10_000
INCIDENT_LIFETIME_SECONDS = 3600.0


class CrashQuarantine:
    """The incidents known to this entry and the fingerprints they quarantine.

    >>> quarantine = CrashQuarantine()
    >>> quarantine.add(Incident("i1", ("bad", "good")))
    True
    >>> quarantine.add(Incident("i2", ("bad", "other")))
    True
    >>> quarantine.is_quarantined("bad"), quarantine.is_quarantined("good")
    (True, False)
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._incidents: OrderedDict[str, tuple[float, Incident]] = OrderedDict()
        self._ids_by_fingerprint: dict[str, set[str]] = {}

    def add(self, incident: Incident) -> bool:
        """Add an incident; returns False if it is already known."""
        self._expire()
        if not incident.id or incident.id in self._incidents:
            return False
        self._incidents[incident.id] = (self._clock(), incident)
        for fingerprint in incident.fingerprints:
            self._ids_by_fingerprint.setdefault(fingerprint, set()).add(incident.id)
        return True

    def is_suspect(self, fingerprint: str) -> bool:
        return fingerprint in self._ids_by_fingerprint

    def incident_ids(self, fingerprint: str) -> frozenset[str]:
        """Return the ids of the incidents that include a fingerprint."""
        return frozenset(self._ids_by_fingerprint.get(fingerprint, ()))

    def is_quarantined(self, fingerprint: str) -> bool:
        incident_ids = self._ids_by_fingerprint.get(fingerprint, set())
        return len(incident_ids) > 1 and any(
            self._recurring_fingerprints(incident_id) == {fingerprint}
            for incident_id in incident_ids
        )

    def incidents(self) -> tuple[Incident, ...]:
        self._expire()
        return tuple(incident for _, incident in self._incidents.values())

    def dump(self) -> dict:
        quarantined = [
            fingerprint
            for fingerprint in self._ids_by_fingerprint
            if self.is_quarantined(fingerprint)
        ]
        return {
            "incidents": len(self._incidents),
            "suspects": len(self._ids_by_fingerprint),
            "convicted": quarantined[:100],
        }

    def _recurring_fingerprints(self, incident_id):
        _, incident = self._incidents[incident_id]
        return {
            fingerprint
            for fingerprint in incident.fingerprints
            if len(self._ids_by_fingerprint[fingerprint]) > 1
        }

    def _expire(self):
        oldest = self._clock() - INCIDENT_LIFETIME_SECONDS
        while self._incidents:
            incident_id, (added, incident) = next(iter(self._incidents.items()))
            if added > oldest and len(self._incidents) < MAX_INCIDENTS:
                return
            del self._incidents[incident_id]
            for fingerprint in set(incident.fingerprints):
                ids = self._ids_by_fingerprint[fingerprint]
                ids.discard(incident_id)
                if not ids:
                    del self._ids_by_fingerprint[fingerprint]
