"""Writes log lines without ever waiting for whoever reads them.

Lines of one event are written up to a rate; what is beyond it is counted, and the
counts are written once a second. Lines that the reader does not take in time are
dropped and counted too.
"""

import errno
import json
import os
import time
from collections import Counter, deque

# Lines of one event that are written each second. With the events of the catalogue that
# concern requests this bounds a process to some hundred lines a second.
LINES_PER_SECOND = 40
# Bytes that wait for a slow reader before lines are dropped.
_LARGEST_BACKLOG_BYTES = 1_000_000


class LogOutput:
    """A file for eliot over the descriptor `fd`, which is made non-blocking."""

    def __init__(self, fd: int, clock=time.monotonic):
        self._fd = fd
        self._clock = clock
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._second = int(clock())
        self._written: Counter[int] = Counter()
        self._omitted: Counter[int] = Counter()
        os.set_blocking(fd, False)

    def admits(self, event: int) -> bool:
        """Count a line of `event`; return False if it is over the rate."""
        self._turn_second()
        self._written[event] += 1
        if self._written[event] <= LINES_PER_SECOND:
            return True
        self._omitted[event] += 1
        return False

    def omitted(self) -> dict[int, int]:
        """Return the lines left out since the last call, by event."""
        omitted, self._omitted = dict(self._omitted), Counter()
        return omitted

    def write(self, line):
        data = line.encode() if isinstance(line, str) else line
        if self._backlog_bytes + len(data) > _LARGEST_BACKLOG_BYTES:
            self._omitted[_event_of(data)] += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def flush(self):
        """Write what the reader takes now; eliot calls this after each line."""
        while self._backlog:
            data = self._backlog[0]
            try:
                count = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in (errno.EPIPE, errno.EBADF):
                    raise
                # Nobody reads any more, and there is no place to say so.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= count
            if count < len(data):
                self._backlog[0] = data[count:]
                return
            self._backlog.popleft()

    def _turn_second(self):
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()


def _event_of(line):
    try:
        return int(json.loads(line)["event"])
    except (KeyError, TypeError, ValueError):
        return 0
