"""The `bulrushdrum` command: the roles `entry` and `sidecar`, and operator commands."""

from gevent import monkey

# Before anything else imports sockets, threads or the like.
monkey.patch_all()

import sys  # noqa: E402

import gevent  # noqa: E402


def _run(arguments):
    # The roles are dispatched here, because the command line library takes memory that
    # a sidecar does not have.
    match arguments:
        case ["entry" | "sidecar" as role, "--settings", path]:
            from bulrushdrum._internal.operator.roles import run_role

            return run_role(role, path)
    from bulrushdrum._internal.operator.commands import run_commands

    return run_commands(arguments)


def _run_to_exit_code(arguments):
    try:
        return _run(arguments)
    except SystemExit as error:
        return error.code


def main():
    # Everything runs in a greenlet that the hub started while this frame waits. An
    # exception in Cap'n Proto walks the C stack down to the frames in which the hub was
    # first entered, and crashes the process if those are gone.
    greenlet = gevent.spawn(_run_to_exit_code, sys.argv[1:])
    greenlet.join()
    if not greenlet.successful():
        sys.exit(1)
    sys.exit(greenlet.value)


if __name__ == "__main__":
    main()
