"""Splits a stream of server-sent events into single events.

>>> splitter = EventSplitter()
>>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
[StreamEvent(number=1, raw_id=b'1', data=b'id: 1\\ndata: a\\n\\n')]
>>> splitter.has_partial_event
True
"""

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """A complete event as received; `number` is None unless the id is numeric."""

    number: int | None
    raw_id: bytes | None
    data: bytes


class EventSplitter:
    """Splits received bytes into complete events, buffering a partial one."""

    def __init__(self):
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an incomplete event."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        buffer = self._buffer + data
        events = []
        while True:
            end, length = _find_event_end(buffer)
            if end < 0:
                self._buffer = buffer
                return events
            events.append(_parse_event(buffer[: end + length]))
            buffer = buffer[end + length :]


def _find_event_end(buffer):
    lf, crlf = buffer.find(b"\n\n"), buffer.find(b"\r\n\r\n")
    if crlf >= 0 and (lf < 0 or crlf < lf):
        return crlf, 4
    return lf, 2


def _parse_event(data):
    for line in data.splitlines():
        if line.startswith(b"id:"):
            raw_id = line[3:].strip()
            return StreamEvent(int(raw_id) if raw_id.isdigit() else None, raw_id, data)
    return StreamEvent(None, None, data)
