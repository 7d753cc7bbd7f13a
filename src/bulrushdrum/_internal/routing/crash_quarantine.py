"""Requests that crash the upstreams which run them.

An incident is the death of one engine with the fingerprints of the requests in the call
that it was running. A fingerprint with an incident is a suspect. It is quarantined when
some incident has it as the only fingerprint that also appears in another incident: the
other requests on board had never been near a death before. The rule depends on the set
of incidents alone, so entries that have exchanged incidents agree in whatever order
these arrived.
"""

import time
from collections import OrderedDict

from bulrushdrum._internal.peering.messages import Incident

MAX_INCIDENTS = 10_000
INCIDENT_LIFETIME_SECONDS = 3600.0


class CrashQuarantine:
    """Incidents known to this entry.

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
        self._by_fingerprint: dict[str, set[str]] = {}

    def add(self, incident: Incident) -> bool:
        """Add an incident; returns False if it was known already."""
        self._expire()
        if not incident.id or incident.id in self._incidents:
            return False
        self._incidents[incident.id] = (self._clock(), incident)
        for fingerprint in incident.fingerprints:
            self._by_fingerprint.setdefault(fingerprint, set()).add(incident.id)
        return True

    def is_suspect(self, fingerprint: str) -> bool:
        return fingerprint in self._by_fingerprint

    def incident_ids(self, fingerprint: str) -> frozenset[str]:
        """Return the ids of the incidents in which a request took part."""
        return frozenset(self._by_fingerprint.get(fingerprint, ()))

    def is_quarantined(self, fingerprint: str) -> bool:
        own = self._by_fingerprint.get(fingerprint, set())
        return len(own) > 1 and any(
            self._recurring_fingerprints(incident_id) == {fingerprint}
            for incident_id in own
        )

    def incidents(self) -> tuple[Incident, ...]:
        self._expire()
        return tuple(incident for _, incident in self._incidents.values())

    def dump(self) -> dict:
        quarantined = [
            name for name in self._by_fingerprint if self.is_quarantined(name)
        ]
        return {
            "incidents": len(self._incidents),
            "suspects": len(self._by_fingerprint),
            "convicted": quarantined[:100],
        }

    def _recurring_fingerprints(self, incident_id):
        _, incident = self._incidents[incident_id]
        return {
            fingerprint
            for fingerprint in incident.fingerprints
            if len(self._by_fingerprint[fingerprint]) > 1
        }

    def _expire(self):
        oldest = self._clock() - INCIDENT_LIFETIME_SECONDS
        while self._incidents:
            incident_id, (added, incident) = next(iter(self._incidents.items()))
            if added > oldest and len(self._incidents) < MAX_INCIDENTS:
                return
            del self._incidents[incident_id]
            for fingerprint in set(incident.fingerprints):
                ids = self._by_fingerprint[fingerprint]
                ids.discard(incident_id)
                if not ids:
                    del self._by_fingerprint[fingerprint]
