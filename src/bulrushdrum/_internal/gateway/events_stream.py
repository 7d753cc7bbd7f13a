"""Splits a stream of server-sent events and keeps them in order.

>>> splitter = EventSplitter()
>>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
[StreamEvent(number=1, raw_id=b'1', data=b'id: 1\\ndata: a\\n\\n')]
>>> splitter.has_rest
True
"""

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """One whole event as the upstream sent it; `number` is None without such an id."""

    number: int | None
    raw_id: bytes | None
    data: bytes


class EventSplitter:
    """Cuts bytes into whole events."""

    def __init__(self):
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an unfinished event are left."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        text = self._rest + data
        events = []
        while True:
            end, length = _end_of_event(text)
            if end < 0:
                self._rest = text
                return events
            events.append(_event(text[: end + length]))
            text = text[end + length :]


def _end_of_event(text):
    plain, crlf = text.find(b"\n\n"), text.find(b"\r\n\r\n")
    if crlf >= 0 and (plain < 0 or crlf < plain):
        return crlf, 4
    return plain, 2


def _event(data):
    for line in data.splitlines():
        if line.startswith(b"id:"):
            raw_id = line[3:].strip()
            return StreamEvent(int(raw_id) if raw_id.isdigit() else None, raw_id, data)
    return StreamEvent(None, None, data)
