"""Whether sockets can be read, for any file descriptor.

`select` takes none over 1023, which a router with a thousand connections exceeds.
"""

import select
from collections.abc import Iterable

import gevent.select
from gevent import monkey

# gevent's version would run other tasks.
_poll = monkey.get_original("select", "poll")


def is_readable(sock) -> bool:
    """Whether data, a new connection or the end of the stream waits at a socket."""
    poller = _poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def wait_readable(socks: Iterable, seconds: float) -> list:
    """Wait until one of several sockets can be read; return those that can be."""
    by_fd = {sock.fileno(): sock for sock in socks}
    poller = gevent.select.poll()
    for fd in by_fd:
        poller.register(fd, select.POLLIN)
    return [by_fd[fd] for fd, _ in poller.poll(max(seconds, 0.0) * 1000)]
