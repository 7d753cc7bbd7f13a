"""Server-sent events are cut whole, however the bytes arrive."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushdrum._internal.gateway.events_stream import EventSplitter

STREAM = b"".join(
    b"id: %d\ndata: %s\n\n" % (number, b"x" * (number % 5)) for number in range(1, 9)
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_events_do_not_depend_on_where_the_bytes_were_cut(cuts):
    # Guards against halves of events that reach callers.
    splitter, events = EventSplitter(), []
    points = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(points, points[1:], strict=False):
        events += splitter.feed(STREAM[start:end])
    assert [event.number for event in events] == list(range(1, 9))
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_partial_event


def test_a_stream_that_stops_in_the_middle_of_an_event_has_a_rest():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.has_partial_event


def test_events_may_end_with_carriage_returns_and_have_no_number():
    splitter = EventSplitter()
    (event,) = splitter.feed(b"id: x7\r\ndata: a\r\n\r\n")
    assert event.number is None
    assert event.raw_id == b"x7"
