"""The `bulrushdrum` command, which runs the roles and the operator commands."""

import signal
import sys

_ROLES = ("entry", "sidecar", "router")
# The roles handle a change of their settings file when they run. Until then the signal
# must not end the process.
if sys.argv[1:2] and sys.argv[1] in _ROLES:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey  # noqa: E402

# Must run before any other import that uses sockets or threads.
monkey.patch_all()


def run(arguments: list[str]) -> int:
    """Run the role or command in `arguments` and return its exit code."""
    # The roles are dispatched without the command-line library, whose memory use does
    # not fit into a sidecar's limit.
    match [part for argument in arguments for part in argument.split("=", 1)]:
        case ["entry" | "sidecar" as role, "--settings", path]:
            from bulrushdrum._internal.operator.roles import run_role

            return run_role(role, path)
        case ["router", *_]:
            from bulrushdrum._internal.operator.router_role import run_router_role

            return run_router_role(arguments[1:])
    from bulrushdrum._internal.operator.commands import run_commands

    return run_commands(arguments)


def main():
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
