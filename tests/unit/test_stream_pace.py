"""When a silent stream should move, under the loss of an upstream that stays connected.

Callers accept a pause of the gap goal, and a new attempt takes some time to its first
event, so a stream must move earlier than its pause is late, yet not in usual pauses.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.unit.gateway_fakes import make_route

from bulrushdrum._internal.gateway.stream_pace import PaceHistory, StreamPace
from bulrushdrum._internal.world.routes import RequestKind

ROUTE = make_route(RequestKind.STREAMING, goal=0.5, gap_goal=0.25)


def make_history(start=0.06, longest_pause=0.05):
    history = PaceHistory()
    for _ in range(10):
        history.record_start("llm", start)
        history.record_longest_pause("llm", longest_pause)
    return history


def make_pace(history, route=ROUTE, pauses=(), waited=0.0):
    pace = StreamPace(route, "llm", history, waited)
    for seconds in pauses:
        pace.record_event(seconds)
    return pace


def test_a_stream_moves_in_time_for_its_next_event():
    # Guards against streams over a silent upstream that are all late.
    overdue = make_pace(make_history(), pauses=[0.06, 0.04]).overdue_after(0.0)
    assert 0.05 < overdue <= 0.25 - 0.06


def test_a_stream_that_is_slow_anyway_does_not_move():
    # Guards against waves of new prompts while upstreams are slow.
    pace = make_pace(make_history(), pauses=[0.06, *[0.2] * 5])
    assert pace.overdue_after(0.0) is None


def test_an_old_long_pause_does_not_count():
    pauses = [0.06, 0.2, *[0.04] * 16]
    assert make_pace(make_history(), pauses=pauses).overdue_after(0.0) is not None


def test_no_stream_moves_before_anything_is_known():
    # Guards against moves by a router that has just started.
    assert make_pace(PaceHistory(), pauses=[0.06, 0.04]).overdue_after(0.0) is None
    assert make_pace(PaceHistory()).overdue_after(0.0) is None


def test_a_first_event_is_overdue_before_its_goal():
    overdue = make_pace(make_history()).overdue_after(0.0)
    assert 0.06 < overdue <= 0.5 - 0.06
    # A caller that has waited long already could not get its event in time.
    assert make_pace(make_history(), waited=0.3).overdue_after(0.0) is None


def test_a_late_event_loop_leaves_less_time():
    pace = make_pace(make_history(), pauses=[0.06, 0.04])
    assert pace.overdue_after(0.0) is not None
    assert pace.overdue_after(0.2) is None


@pytest.mark.parametrize("in_progress", [True, False])
@given(
    start=st.floats(0.001, 1.0),
    pause=st.floats(0.001, 1.0),
    own=st.lists(st.floats(0.001, 1.0), min_size=6, max_size=30),
    late=st.floats(0.0, 0.5),
)
def test_a_move_is_unusual_and_in_time(in_progress, start, pause, own, late):
    history = make_history(start, pause)
    pace = make_pace(history, pauses=[start, *own] if in_progress else [])
    overdue = pace.overdue_after(late)
    if overdue is not None:
        goal = ROUTE.gap_goal if in_progress else ROUTE.goal
        assert overdue + history.typical_start("llm") + late <= goal + 1e-9
        assert overdue > (max(own[-16:]) if in_progress else start)
