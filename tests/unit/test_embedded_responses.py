"""The search for another response inside the body of one."""

import re
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.unit.gateway_fakes import REQUEST, Gateway, make_route
from tests.unit.test_late_copies import identity

from bulrushdrum._internal.event_stream_bodies import is_cut_event_stream
from bulrushdrum._internal.gateway.embedded_responses import find_status_line
from bulrushdrum._internal.gateway.events_stream import EventSplitter
from bulrushdrum._internal.platform.headers import names_other_request
from bulrushdrum._internal.world.routes import RequestKind

# Recorded exchanges on one line: many status lines, none of which ends as one.
DUMP = rb'{"response":"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"},'
UNITS = [
    *(DUMP, b"HTTP/1.1 200 OK ", b"HTTP/1.1 200\n", b"HTTP/1.1 200\r", b"\r\n", b"\n"),
    *(b" ", b"a", b"bulrushdrum-attempt-id:", b"bulrushdrum-attempt-id: x\n", b"id:1"),
    *(b"data: a\n", b":\r", b"\n\r"),
]
SEARCHES = {
    "status lines": find_status_line,
    "names of requests": lambda body: names_other_request(body, b"r1"),
    "the end of a stream": lambda body: is_cut_event_stream("text/event-stream", body),
    "events": lambda body: EventSplitter(len(body)).feed(body),
}
_LENGTH = 100_000


def _seconds(search, body):
    """Return the processor time of this thread for a search, in seconds."""
    best = float("inf")
    for _ in range(3):
        started_at = time.thread_time()
        search(body)
        best = min(best, time.thread_time() - started_at)
    return best


@pytest.mark.parametrize("name", SEARCHES)
@pytest.mark.parametrize("unit", UNITS)
def test_the_time_of_a_search_grows_linearly_with_the_body(name, unit):
    # Guards against a body whose search keeps a router from all other work.
    short, long = (unit * (factor * _LENGTH // len(unit)) for factor in (1, 8))
    # A time that grows with the square would be 64 times as long.
    seconds = _seconds(SEARCHES[name], long)
    assert seconds <= 24 * max(_seconds(SEARCHES[name], short), 0.0005)


PIECES = [b"HTTP/1.1 200", b"HTTP/1.0 503 x", b"HTTP/1.1 99", b"\r", b"\n", b"\r\n"]


@given(st.lists(st.sampled_from([*PIECES, b" x"]), max_size=10))
@settings(max_examples=500, deadline=None, derandomize=True)
def test_the_first_complete_status_line_is_found(pieces):
    body = b"".join(pieces)
    expected = re.search(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n", body)
    assert find_status_line(body) == (None if expected is None else expected.start())


def test_a_body_of_many_status_lines_is_served_at_once():
    # Guards against an answer whose validation keeps a router from all other work until
    # the deadlines of its callers have passed.
    gateway = Gateway(make_route(RequestKind.IDEMPOTENT))
    body = DUMP * (1_000_000 // len(DUMP))
    try:
        gateway.add_server("one", lambda request: [identity(request, body)])
        gateway.call(REQUEST)
        assert gateway.call(REQUEST).body == body
        assert gateway.pool.opened == 1, "the connection was not in use again"
        assert gateway.seconds < 1.0
    finally:
        gateway.stop()
