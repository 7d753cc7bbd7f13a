"""Which upstreams the reports of silent streams accuse.

Load: an upstream falls silent under streams of many routers; others report as well
because their link is cut, or because a stream was silent for a moment.
"""

from bulrushdrum._internal.conditions.silence_reports import SilenceReport, accuse


def report(router, candidates, delivers=True):
    return SilenceReport(router, frozenset(candidates), delivers)


def test_the_common_candidate_of_several_routers_is_accused():
    reports = [report("r2", "ab"), report("r1", "bc"), report("r3", "bd")]
    accusation = accuse(reports)
    assert list(accusation.silent) == ["b"]
    assert not accusation.suspects


def test_upstreams_that_cannot_be_told_apart_are_only_suspects():
    # Guards against avoiding all upstreams of a path, of which at most one is silent.
    accusation = accuse([report("r1", "abc"), report("r2", "abc")])
    assert not accusation.silent
    assert accusation.suspects == set("abc")


def test_two_upstreams_that_fall_silent_at_once_are_both_accused():
    # Guards against taking two causes of the same number of reports for two possible
    # causes of one.
    reports = [report("r1", c) for c in ("ab", "bc", "xy", "yz", "ab", "xy")]
    assert set(accuse(reports).silent) == {"b", "y"}
    assert set(accuse([report("r1", "a"), report("r2", "b")]).silent) == {"a", "b"}


def test_the_only_candidate_explains_reports_that_others_would_explain_as_well():
    accusation = accuse([report("r1", "a"), report("r2", "ab"), report("r3", "bc")])
    assert list(accusation.silent) == ["a"]
    assert accusation.suspects == {"b", "c"}


def test_a_router_behind_a_cut_accuses_nobody():
    # Guards against a router that hears its peers and no upstream: when another router
    # reported any silence, all reports of the cut one counted.
    of_cut = [report("r1", c, delivers=False) for c in ("ab", "bc", "cd", "de", "ef")]
    assert not accuse(of_cut).silent
    accusation = accuse([*of_cut, report("r2", "x")])
    assert list(accusation.silent) == ["x"]
    assert not accusation.suspects


def test_a_router_behind_a_cut_counts_where_another_one_agrees():
    reports = [report("r1", "ab", delivers=False), report("r2", "bc")]
    accusation = accuse(reports)
    assert list(accusation.silent) == ["b"]
    assert not accusation.suspects
