"""Greenlets that must not end while the process lives."""

import traceback
from collections.abc import Callable

import gevent

from bulrushdrum._internal.observability.events import Event, log_event

PAUSE_AFTER_ERROR_SECONDS = 0.2


def log_internal_error(where: str, error: Exception):
    """Log an error that nobody foresaw, with the place where it was raised."""
    log_event(
        Event.INTERNAL_ERROR,
        where=where,
        reason=repr(error),
        traceback=traceback.format_exc(limit=-3),
    )


def spawn_loop(name: str, turn: Callable[[], None]) -> gevent.Greenlet:
    """Call `turn` again and again in a greenlet of its own.

    An unforeseen error is logged and the next turn begins: a sidecar without its
    heartbeats or its step loop would be worse than one turn lost.
    """

    def run():
        while True:
            try:
                turn()
            except Exception as error:
                log_internal_error(name, error)
                gevent.sleep(PAUSE_AFTER_ERROR_SECONDS)

    return gevent.spawn(run)
