"""Entry point of the router role and its command-line options.

A router is deployed with fewer libraries than the other roles (`deploy/`), so this
module must not import those of the commands and of the settings files.
"""

import argparse
import sys
from dataclasses import fields

from bulrushdrum._internal.settings.router import PathPolicyName, ResponseLimits


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
