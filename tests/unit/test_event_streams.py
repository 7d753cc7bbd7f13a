"""Splitting a byte stream into server-sent events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushdrum._internal.gateway.events_stream import EventSplitter

STREAM = b"".join(
    b"id: %d\ndata: %s\n\n" % (number, b"x" * (number % 5)) for number in range(1, 9)
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_events_do_not_depend_on_chunk_boundaries(cuts):
    # Guards against forwarding partial events to callers.
    splitter, events = EventSplitter(), []
    points = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(points, points[1:], strict=False):
        events += splitter.feed(STREAM[start:end])
    assert [event.number for event in events] == list(range(1, 9))
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_partial_event


def test_an_unterminated_event_is_partial():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.has_partial_event


def test_events_may_use_crlf_and_have_non_numeric_ids():
    splitter = EventSplitter()
    (event,) = splitter.feed(b"id: x7\r\ndata: a\r\n\r\n")
    assert event.number is None
    assert event.raw_id == b"x7"


def test_an_id_of_many_digits_is_no_number():
    # Guards against a stream that ends because Python converts no text of this length.
    (event,) = EventSplitter().feed(b"id: " + b"7" * 5000 + b"\ndata: a\n\n")
    assert event.number is None
