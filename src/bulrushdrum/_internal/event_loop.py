"""Turns of the event loop, which all tasks of a process share.

A read or write returns at once while the other side is fast, so a task with much to
move keeps all others from running. Many tasks whose sockets are ready at once do the
same, because the loop runs all of them before it looks at its timers. In both cases the
heartbeats of the process are late. Such tasks call `run_other_tasks_if_due` before each
part of their work.
"""

import time
from collections import deque

import gevent
from gevent.hub import Waiter
from gevent.monkey import get_original

# Tasks with more to do let others run once an iteration of the loop has taken this
# long.
MAX_ITERATION_SECONDS = 0.005


class _Iterations:
    """Bounds how long the iterations of one event loop take.

    Each iteration continues all waiting tasks of peer connections, which are few, and
    then others in the order in which they came, at least one.
    """

    def __init__(self, loop):
        self._began_at = time.monotonic()
        # The loop calls it before the timers and sockets of an iteration.
        self._watcher = loop.check(ref=False)
        self._watcher.start(self._begin)
        self._waiting: deque[Waiter] = deque()
        self._waiting_connections: deque[Waiter] = deque()
        self._timer = loop.timer(0)

    @property
    def is_long(self) -> bool:
        return time.monotonic() - self._began_at >= MAX_ITERATION_SECONDS

    def wait(self, is_connection: bool):
        """Wait for an iteration with time left."""
        queue = self._waiting_connections if is_connection else self._waiting
        waiter = Waiter()
        queue.append(waiter)
        self._timer.start(self._resume_tasks)
        try:
            waiter.get()
        except BaseException:
            if waiter in queue:
                queue.remove(waiter)
            raise

    def _begin(self):
        self._began_at = time.monotonic()

    def _resume_tasks(self):
        # Those that wait again meanwhile continue in the next iteration.
        for _ in range(len(self._waiting_connections)):
            if self._waiting_connections:
                self._waiting_connections.popleft().switch(None)
        while self._waiting:
            self._waiting.popleft().switch(None)
            if self.is_long:
                break
        if self._waiting or self._waiting_connections:
            self._timer.stop()
            self._timer.start(self._resume_tasks)


# Each native thread has its own event loop.
_of_this_thread = get_original("threading", "local")()


def run_other_tasks_if_due(is_connection: bool = False) -> bool:
    """Let other tasks run if this iteration has taken `MAX_ITERATION_SECONDS`.

    The time counts from the begin of the iteration, not of the turn of the calling
    task: many tasks that each take a short turn delay the timers as one long turn does.
    `is_connection` means that the task serves a peer connection. It does not wait for
    the turns of all calls, because heartbeats pass through it. Return whether others
    ran.
    """
    iterations = getattr(_of_this_thread, "iterations", None)
    if iterations is None:
        loop = gevent.get_hub().loop
        iterations = _of_this_thread.iterations = _Iterations(loop)
    if not iterations.is_long:
        return False
    iterations.wait(is_connection)
    return True
