"""A short run of planned stops with a fixed seed, and checks that a loss is noticed."""

import pytest
from tests.stops.checker import find_cuts
from tests.stops.records import CallerRecord, ServerRecord, StopRecord
from tests.stops.run import Options, play

GRACE_SECONDS = 5.0
SHORT_RUN = Options(
    routers=3,
    rate=30.0,
    seconds=20.0,
    grace=GRACE_SECONDS,
    gap=1.5,
    engines=3,
    router_cores=1,
)


@pytest.mark.slow
@pytest.mark.parametrize(
    "options",
    [
        SHORT_RUN._replace(seed=1, changes=True),
        SHORT_RUN._replace(seed=2, reader="pipe"),
        SHORT_RUN._replace(seed=3, pauses=3.0, retry_extra=0),
    ],
    ids=["changes", "slow-log-reader", "pausing-engines"],
)
def test_stops_in_series_lose_no_request_and_name_those_that_they_cut(
    options, tmp_path
):
    # Guards against requests that are cut around SIGTERM without a reason, as those of
    # engines that pause, and against cut ones that no log line names.
    outcome = play(options, tmp_path)
    assert outcome.stop_seconds
    assert outcome.ends["complete", 200] > 100
    assert [cut.describe() for cut in outcome.lost] == []
    assert [cut.describe() for cut in outcome.unnamed] == []


def make_request(sent, closed, end="closed"):
    return CallerRecord("q", "r1", "stream", sent, sent, closed, 200, 3, end)


def find(request, runs, log_events=None, signals=(100.0,)):
    stops = [StopRecord("r1", at, at + 5.0, True) for at in signals]
    return find_cuts([request], runs, stops, GRACE_SECONDS, log_events or {})


def run_until(ended, end="complete"):
    return [ServerRecord("q", "e", 100.0, ended, 5, end)]


def test_a_stream_whose_server_ended_long_before_is_lost():
    cuts = find(make_request(99.0, 105.0), run_until(102.0))
    assert [cut.excuse for cut in cuts] == [""]


def test_a_stream_that_was_sent_late_is_lost():
    cuts = find(make_request(103.5, 105.0), run_until(105.0, "closed"))
    assert [cut.excuse for cut in cuts] == [""]


def test_a_request_that_the_router_read_and_never_passed_on_is_lost():
    request = make_request(102.0, 105.0)
    assert [cut.excuse for cut in find(request, [], {"q": [8212]})] == [""]
    assert find(request, []) == []


def test_a_stream_at_work_until_the_end_of_the_grace_is_excused():
    cuts = find(make_request(99.0, 105.0), run_until(105.0, "closed"))
    assert cuts[0].excuse and cuts[0].lines == ()


def test_a_stream_between_two_stops_is_excused_by_the_one_that_cut_it():
    # Guards against losses of a run that a rule allows: the stream was sent shortly
    # after the grace of one stop, and cut at the end of the grace of the next.
    request, runs = make_request(105.5, 112.0), run_until(112.0, "closed")
    assert [cut.excuse for cut in find(request, runs)] == [""]
    cuts = find(request, runs, signals=(100.0, 107.0))
    assert len(cuts) == 2 and all(cut.excuse for cut in cuts)
    assert [cut.excuse for cut in find(request, runs, signals=(100.0, 101.0))] == [
        "",
        "",
    ]


def test_a_stream_that_is_cut_long_after_a_stop_does_not_count():
    assert find(make_request(107.0, 108.0), run_until(107.5)) == []
    assert find(make_request(99.0, 102.0, "complete"), run_until(102.0)) == []
