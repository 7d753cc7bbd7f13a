"""Which upstreams the reports of silent streams accuse.

Load: an upstream falls silent under streams of many routers; others report as well
because their link is cut, or because a stream was silent for a moment.
"""

from tests.unit.condition_fakes import Network

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


def test_reports_of_all_routers_reach_all_routers():
    network = Network("r1", "r2", "r3")
    routers = list(network.routers.values())
    routers[0].report_silence("ab")
    network.advance(0.01)
    assert {*"ab"} == routers[2].fleet.suspects()
    assert not any(router.avoids("b") for router in routers)
    routers[1].report_silence("bc")
    network.advance(0.01)
    assert all(router.avoids("b") for router in routers)
    # The same router tries it again first.
    assert {router.claims.dump()[0]["reporter"] for router in routers} == {"r1"}


def test_an_upstream_that_delivers_at_this_router_is_not_accused():
    network = Network("r1", "r2")
    first, second = network.routers.values()
    second.working = frozenset("b")
    first.report_silence("ab")
    network.advance(0.01)
    assert second.avoids("a") and not second.avoids("b")


def test_an_upstream_that_works_again_leaves_no_accusation_of_another_one():
    # Guards against a report of two upstreams that becomes one of the innocent one when
    # the silent one has recovered, and another report is looked at.
    network = Network("r1", "r2")
    first, second = network.routers.values()
    first.report_silence("ab")
    network.advance(0.3)
    second.working = frozenset("a")
    first.report_silence("h")
    network.advance(0.01)
    assert second.avoids("h") and not second.avoids("b")


def test_old_reports_do_not_renew_a_claim():
    # Guards against a claim that is made again from the reports that it came from,
    # after it ended or after a request was served since.
    for outcome in ("ended", "served"):
        network = Network("r1", "r2")
        first, second = network.routers.values()
        first.report_silence("a")
        network.advance(0.1)
        assert second.avoids("a")
        if outcome == "served":
            second.succeed("a")
        else:
            network.advance(0.75)
        first.report_silence("b")
        network.advance(0.01)
        assert second.avoids("b") and not second.avoids("a"), outcome


def test_silence_of_an_old_incarnation_does_not_accuse_the_new_one():
    # Guards against avoiding an upstream that has just restarted, because streams over
    # its predecessor are silent; and against accusing the rest of their path.
    network = Network("r1", "r2")
    first, second = network.routers.values()
    for router in (first, second):
        router.fleet.put(router.upstream("a", born=2))
    first.report_silence("a", born=1)
    first.report_silence("ab", born=1)
    network.advance(0.01)
    assert not any(router.avoids("a") for router in (first, second))
    assert not any("a" in router.fleet.suspects() for router in (first, second))
    assert not any(router.avoids("b") for router in (first, second))


def test_an_upstream_that_restarts_after_the_report_is_not_accused():
    # Guards against reports of the last second that act on the next incarnation.
    network = Network("r1", "r2")
    first, second = network.routers.values()
    first.report_silence("ab")
    network.advance(0.1)
    second.fleet.put(second.upstream("a", born=2))
    second.working = frozenset("b")
    first.report_silence("ac")
    network.advance(0.01)
    assert not second.avoids("a") and "a" not in second.fleet.suspects()
