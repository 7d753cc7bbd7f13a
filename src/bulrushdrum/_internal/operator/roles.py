"""Entry points of the long-running roles.

Imports are deferred so that each role loads only the modules it needs.
"""

import sys

from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.reading import read_settings


def load_settings(role: str, path: str):
    """Read the settings of `role` from the file at `path`; raises `SettingsError`."""
    if role == "entry":
        from bulrushdrum._internal.settings.entry import EntrySettings as settings_class
    else:
        from bulrushdrum._internal.settings.sidecar import (
            SidecarSettings as settings_class,
        )
    return read_settings(path, settings_class)


def run_role(role: str, path: str) -> int:
    """Run an entry or a sidecar until it is stopped; return the exit code."""
    try:
        settings = load_settings(role, path)
    except SettingsError as error:
        for problem in error.problems:
            print(f"{path}: {problem}", file=sys.stderr)
        return 2
    if role == "entry":
        from bulrushdrum._internal.entry_process import run_entry as run
    else:
        from bulrushdrum._internal.sidecar.process import run_sidecar as run
    try:
        return run(settings) or 0
    except OSError as error:
        print(f"{role} cannot run: {error}", file=sys.stderr)
        return 1
