"""Rate-limited log output that never blocks on a slow reader.

Lines of an event above the rate limit are omitted and counted; the router logs the
counts once a second. Lines are also omitted and counted while the backlog of unread
lines is full.

The backlog ends with the process, but what a pipe holds can still be read after it. A
process that stops therefore moves its backlog there.
"""

import errno
import fcntl
import json
import os
import time
from collections import Counter, deque

# With the events in the catalogue that concern requests, this limits a process to a few
# hundred lines per second.
MAX_LINES_PER_EVENT_PER_SECOND = 40
# Bytes buffered for a slow reader before lines are omitted.
_MAX_BACKLOG_BYTES = 1_000_000
# The part of the backlog that is kept for lines which must not be omitted.
_RESERVED_BACKLOG_BYTES = 300_000
# The size of a pipe that can take the backlog, which a process without privileges may
# set.
_PERSISTENT_PIPE_BYTES = 1_048_576


class LogOutput:
    """A file object for eliot that writes to `fd` and makes it non-blocking.

    Lines of `reserved_events` are not limited, and have a part of the backlog for
    themselves.
    """

    def __init__(
        self,
        fd: int,
        clock=time.monotonic,
        reserved_events: frozenset[int] = frozenset(),
    ):
        self._fd = fd
        self._reserved_events = reserved_events
        self._clock = clock
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._second = int(clock())
        self._lines_this_second: Counter[int] = Counter()
        self._omitted_counts: Counter[int] = Counter()
        os.set_blocking(fd, False)

    def allow_line(self, event: int) -> bool:
        """Count a line of `event` and return whether it is within the rate limit."""
        if event in self._reserved_events:
            return True
        self._reset_counts_on_new_second()
        self._lines_this_second[event] += 1
        if self._lines_this_second[event] <= MAX_LINES_PER_EVENT_PER_SECOND:
            return True
        self._omitted_counts[event] += 1
        return False

    def pop_omitted_counts(self) -> dict[int, int]:
        """Return the number of lines omitted since the previous call, by event."""
        counts, self._omitted_counts = dict(self._omitted_counts), Counter()
        return counts

    def write(self, line):
        data = line.encode() if isinstance(line, str) else line
        size = self._backlog_bytes + len(data)
        if size > _MAX_BACKLOG_BYTES - _RESERVED_BACKLOG_BYTES:
            event = _parse_event(data)
            is_reserved = event in self._reserved_events
            if size > _MAX_BACKLOG_BYTES or not is_reserved:
                self._omitted_counts[event] += 1
                return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def persist_backlog(self):
        """Let the pipe hold what its reader has not read when the process ends."""
        try:
            fcntl.fcntl(self._fd, fcntl.F_SETPIPE_SZ, _PERSISTENT_PIPE_BYTES)
        except OSError:
            # It is no pipe, or may not be larger; then it takes what it can.
            pass
        self.flush()

    def flush(self):
        """Write as much as `fd` accepts without blocking.

        eliot calls this after each line.
        """
        while self._backlog:
            data = self._backlog[0]
            try:
                count = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in (errno.EPIPE, errno.EBADF):
                    raise
                # The log output itself is closed, so the error cannot be logged.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= count
            if count < len(data):
                self._backlog[0] = data[count:]
                return
            self._backlog.popleft()

    def _reset_counts_on_new_second(self):
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_this_second.clear()


def _parse_event(line):
    try:
        return int(json.loads(line)["event"])
    except (KeyError, TypeError, ValueError):
        return 0
