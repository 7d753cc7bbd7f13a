"""Entry points of the long-running roles.

Imports are deferred so that each role loads only the modules it needs.
"""

import argparse
import sys
from dataclasses import fields

from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.reading import read_settings
from bulrushdrum._internal.settings.router import PathPolicyName, ResponseLimits


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


def run_router_role(options: list[str]) -> int:
    """Run a router until it is stopped; return the exit code.

    The platform's settings file holds its addresses; `options` are those of the command
    line.
    """
    # The command-line library of the other commands would take 3 MB of a router.
    parser = argparse.ArgumentParser(prog="bulrushdrum router", allow_abbrev=False)
    parser.add_argument(
        "--path-policy",
        default=PathPolicyName.LEAST_TIME.value,
        help=f"how paths are chosen: {', '.join(PathPolicyName)}",
    )
    for limit in fields(ResponseLimits):
        parser.add_argument(
            f"--max-{limit.name.replace('_', '-')}",
            type=int,
            default=limit.default,
            metavar="BYTES",
            help=f"limit on an upstream's response (default {limit.default})",
        )
    values = vars(parser.parse_args(options))
    try:
        limits = ResponseLimits(
            **{
                limit.name: values[f"max_{limit.name}"]
                for limit in fields(ResponseLimits)
            }
        )
    except ValueError as error:
        print(f"--max-{error}", file=sys.stderr)
        return 2
    from bulrushdrum._internal.router_process import run_router

    return run_router(values["path_policy"], limits)
