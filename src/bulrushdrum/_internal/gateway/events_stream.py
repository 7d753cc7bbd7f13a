"""Splits a stream of server-sent events into single events.

>>> splitter = EventSplitter()
>>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
[StreamEvent(number=1, raw_id=b'1', data=b'id: 1\\ndata: a\\n\\n', has_data=True)]
>>> splitter.has_partial_event
True
"""

import re
from typing import NamedTuple

from bulrushdrum._internal.gateway.errors import ResponseTooLarge
from bulrushdrum._internal.settings.router import ResponseLimits

# The line before may end with either, and a stream may mix both.
_EVENT_END_RE = re.compile(rb"\n\r?\n")
_MAX_END_BYTES = 3
# Longer numbers are no positions in a stream.
_MAX_ID_DIGITS = 18


class StreamEvent(NamedTuple):
    """A complete event as received; `number` is None unless the id is numeric.

    `has_data` is false for events that only consist of comments or fields without data.
    """

    number: int | None
    raw_id: bytes | None
    data: bytes
    has_data: bool = True


class EventSplitter:
    """Splits received bytes into complete events, buffering a partial one.

    An event over `max_event_bytes` raises `ResponseTooLarge`.
    """

    def __init__(self, max_event_bytes: int = ResponseLimits.event_bytes):
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        # The buffer has no end of an event before this offset.
        self._scanned = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds part of an incomplete event."""
        return bool(self._buffer.strip())

    @property
    def has_begun_event(self) -> bool:
        """Whether the buffer holds part of an event that is not just a comment."""
        return self.has_partial_event and not self._buffer.lstrip().startswith(b":")

    def feed(self, data: bytes) -> list[StreamEvent]:
        self._buffer += data
        events = []
        while (end := self._find_event_end()) is not None:
            if end > self._max_event_bytes:
                break
            events.append(_parse_event(bytes(self._buffer[:end])))
            del self._buffer[:end]
            self._scanned = 0
        if len(self._buffer) > self._max_event_bytes:
            raise ResponseTooLarge("event", self._max_event_bytes)
        return events

    def _find_event_end(self):
        # A single search for both ends: with one for each, an end that never occurs
        # would be searched for in the whole buffer after every event.
        match = _EVENT_END_RE.search(self._buffer, self._scanned)
        if match is not None:
            return match.end()
        self._scanned = max(len(self._buffer) - _MAX_END_BYTES + 1, 0)
        return None


def _parse_event(data):
    raw_id, has_data = None, False
    for line in data.splitlines():
        if raw_id is None and line.startswith(b"id:"):
            raw_id = line[3:].strip()
        has_data |= line.startswith(b"data")
    is_number = (
        raw_id is not None and raw_id.isdigit() and len(raw_id) <= _MAX_ID_DIGITS
    )
    number = int(raw_id) if is_number else None
    return StreamEvent(number, raw_id, data, has_data)
