"""Background greenlets that run for the lifetime of the process."""

import traceback
from collections.abc import Callable

import gevent

from bulrushdrum._internal.observability.events import Event, log_event

PAUSE_AFTER_ERROR_SECONDS = 0.2


def log_internal_error(where: str, error: Exception):
    """Log an unexpected exception with its traceback.

    Call it in an `except` block; `where` names the component that failed.
    """
    log_event(
        Event.INTERNAL_ERROR,
        where=where,
        reason=repr(error),
        traceback=traceback.format_exc(limit=-3),
    )


def spawn_loop(name: str, run_once: Callable[[], None]) -> gevent.Greenlet:
    """Call `run_once` repeatedly in a new greenlet.

    An unexpected exception is logged and the loop continues, because losing one
    iteration is better than a sidecar without its heartbeats or its step loop.
    """

    def run():
        while True:
            try:
                run_once()
            except Exception as error:
                log_internal_error(name, error)
                gevent.sleep(PAUSE_AFTER_ERROR_SECONDS)

    return gevent.spawn(run)
