"""The `bulrushdrum` command, which runs the roles and the operator commands."""

from gevent import monkey

# Must run before any other import that uses sockets or threads.
monkey.patch_all()

import sys  # noqa: E402


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
