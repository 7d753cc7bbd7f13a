"""State dump of a sidecar, written on SIGUSR1 and sent in answer to `DumpQuery`."""

import json
import resource
from dataclasses import fields

from bulrushdrum._internal.observability.log_output import LogOutput
from bulrushdrum._internal.peering.process_messages import Dump, DumpQuery


def settings_without_secrets(settings) -> dict:
    """Return the settings as a dictionary, without the secret ones."""
    return {
        setting.name: getattr(settings, setting.name)
        for setting in fields(settings)
        if not setting.metadata.get("secret")
    }


class StateDump:
    """Builds the state dump.

    `sections` maps the name of a section to a function that returns its JSON value. The
    dump is written to `log_output`, because standard error is non-blocking: a direct
    write would fail while the log is not read.
    """

    def __init__(self, hub, sections, log_output: LogOutput):
        self._log_output = log_output
        self._hub = hub
        self._sections = sections
        hub.register(DumpQuery, self._handle_query)

    def collect(self) -> dict:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "identity": self._hub.local_identity._asdict(),
            "processor_seconds": round(usage.ru_utime + usage.ru_stime, 3),
            "peak_resident_kb": usage.ru_maxrss,
            **{name: section() for name, section in self._sections.items()},
        }

    def write(self):
        """Write the dump to standard error as a single line of JSON."""
        self._log_output.write(json.dumps({"dump": self.collect()}) + "\n")
        self._log_output.flush()

    def _handle_query(self, connection, message):
        connection.send(Dump(message.token, json.dumps(self.collect())))
