"""Tells whether a buffered body of server-sent events is whole.

>>> is_cut_event_stream("text/event-stream", b"data: a\\n\\ndata: b")
True
>>> is_cut_event_stream("text/event-stream; charset=utf-8", b"data: a\\n\\n")
False
"""

_CONTENT_TYPE = "text/event-stream"
_EVENT_ENDS = (b"\n\n", b"\n\r\n")


def is_cut_event_stream(content_type: str, body: bytes) -> bool:
    """Whether `body` is a stream of events that ends inside an event."""
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type != _CONTENT_TYPE:
        return False
    last_end = max(
        body.rfind(end) + len(end) if end in body else 0 for end in _EVENT_ENDS
    )
    return bool(body[last_end:].strip())
