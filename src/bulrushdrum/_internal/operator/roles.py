"""Starts the long-running roles; each imports only what it needs."""

import sys

from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.reading import read_settings


def load_settings(role: str, path: str):
    """Return the settings of `role` in the file at `path`; raises `SettingsError`."""
    if role == "entry":
        from bulrushdrum._internal.settings.entry import EntrySettings as kind
    else:
        from bulrushdrum._internal.settings.sidecar import SidecarSettings as kind
    return read_settings(path, kind)


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
