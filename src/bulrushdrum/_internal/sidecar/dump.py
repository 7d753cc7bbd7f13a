"""The state dump of a sidecar: on SIGUSR1 to standard error, and for `DumpQuery`."""

import json
import resource
import sys
from dataclasses import fields

from bulrushdrum._internal.peering.messages import Dump, DumpQuery


def settings_without_secrets(settings) -> dict:
    """Return the settings as they may be shown, with secrets left out."""
    return {
        item.name: getattr(settings, item.name)
        for item in fields(settings)
        if not item.metadata.get("secret")
    }


class StateDump:
    """Collects `parts`, functions by name that each return a JSON value."""

    def __init__(self, hub, parts):
        self._hub = hub
        self._parts = parts
        hub.register(DumpQuery, self._on_query)

    def collect(self) -> dict:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "identity": self._hub.local_identity._asdict(),
            "processor_seconds": round(usage.ru_utime + usage.ru_stime, 3),
            "peak_resident_kb": usage.ru_maxrss,
            **{name: part() for name, part in self._parts.items()},
        }

    def write(self):
        """Write the dump to standard error as one line of JSON."""
        print(json.dumps({"dump": self.collect()}), file=sys.stderr, flush=True)

    def _on_query(self, connection, message):
        connection.send(Dump(message.token, json.dumps(self.collect())))
