"""Notes when the platform asks this process to stop.

A signal handler of the event loop runs in its turn, which a busy process may reach
seconds after the signal. The time of the kill counts from the signal, so the arrival is
noted by Python's own handler, which runs between two instructions of whatever task is
at work.
"""

import os
import signal
import time

import gevent
from gevent.event import Event as Signal

_READ = 1
_MAX_WAKE_BYTES = 64


class TerminationRequest:
    """The first SIGTERM of a process; `clock` is in seconds."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._received_at: float | None = None
        self._noticed = Signal()
        self._wake_fd = -1
        self._watcher = None

    @property
    def received_at(self) -> float | None:
        """When SIGTERM arrived, a time of the clock, or None."""
        return self._received_at

    def install(self):
        """Handle SIGTERM from now on; must be called in the main thread."""
        self._wake_fd, write_fd = os.pipe()
        os.set_blocking(self._wake_fd, False)
        os.set_blocking(write_fd, False)
        # An idle event loop executes no Python code, and a byte here wakes it.
        signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        self._watcher = gevent.get_hub().loop.io(self._wake_fd, _READ)
        self._watcher.start(self._on_wake)
        signal.signal(signal.SIGTERM, self._on_signal)

    def wait(self):
        """Return when SIGTERM has arrived."""
        self._noticed.wait()

    def _on_signal(self, _number, _frame):
        # Runs in the middle of any task, so it must not use what tasks share.
        if self._received_at is None:
            self._received_at = self._clock()

    def _on_wake(self):
        os.read(self._wake_fd, _MAX_WAKE_BYTES)
        if self._received_at is not None:
            self._noticed.set()
