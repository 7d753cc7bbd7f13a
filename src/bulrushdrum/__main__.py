"""The `bulrushdrum` command: the roles `entry` and `sidecar`, and operator commands."""

from gevent import monkey

# Before anything else imports sockets, threads or the like.
monkey.patch_all()

import sys  # noqa: E402


def run(arguments: list[str]) -> int:
    """Run the role or command in `arguments` and return its exit code."""
    # The roles are dispatched here, because the command line library takes memory that
    # a sidecar does not have.
    match [part for argument in arguments for part in argument.split("=", 1)]:
        case ["entry" | "sidecar" as role, "--settings", path]:
            from bulrushdrum._internal.operator.roles import run_role

            return run_role(role, path)
        case ["router"]:
            from bulrushdrum._internal.router_process import run_router

            return run_router()
        case ["router", "--path-policy", name]:
            from bulrushdrum._internal.router_process import run_router

            return run_router(name)
    from bulrushdrum._internal.operator.commands import run_commands

    return run_commands(arguments)


def main():
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
