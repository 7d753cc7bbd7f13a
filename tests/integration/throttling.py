"""Gives a process less processor time than it needs."""

import gevent

# The share of a core that a process gets which is short of processor time.
PROCESSOR_SHARE = 0.12
_PERIOD_SECONDS = 0.1


class Throttle:
    """Gives a `bench.processes.Process` a share of a core only.

    A quota on a busy machine stops and resumes a process in the same way.
    """

    def __init__(self, process):
        self._process = process
        self._task = gevent.spawn(self._run)

    def end(self):
        self._task.kill()
        self._process.resume()

    def _run(self):
        while True:
            self._process.pause()
            gevent.sleep(_PERIOD_SECONDS * (1.0 - PROCESSOR_SHARE))
            self._process.resume()
            gevent.sleep(_PERIOD_SECONDS * PROCESSOR_SHARE)
