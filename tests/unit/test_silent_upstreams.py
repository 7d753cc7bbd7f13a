"""Which upstreams may be silent, by the streams over them that are.

Load: an upstream falls silent under many streams, whose paths share upstreams.
"""

import pytest
from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.gateway.move_bound import MoveBound
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.pipelines.silent_upstreams import SilentUpstreams
from bulrushdrum._internal.world.upstreams import LayerRange

PAUSE = 0.05


class Router:
    """The streams of one router, whose clock and peers the test controls."""

    def __init__(self):
        self.now, self.heard_at = 100.0, 0.0
        self.silent = SilentUpstreams(
            lambda: self.heard_at, lambda: True, clock=lambda: self.now
        )

    def begin(self, ids):
        path = tuple(Hop(make_engine(name), LayerRange(0, 1)) for name in ids)
        attempt = self.silent.begin(path)
        self.silent.record_event(attempt)
        return attempt

    def deliver(self, *attempts, seconds=0.1):
        """Let time pass in which only `attempts` deliver."""
        for _ in range(10):
            self.now += seconds / 10
            for attempt in attempts:
                self.silent.record_event(attempt)


@pytest.fixture
def router():
    return Router()


@pytest.mark.parametrize("silent_upstream", ["a", "c", "e"])
def test_paths_that_deliver_narrow_the_candidates(router, silent_upstream):
    # The silent upstream is the first, a middle or the last one of its paths.
    paths = ["abe", "ade", "abz", "xce", "xcy", "xbe", "xby", "xdz"]
    attempts = {path: router.begin(path) for path in paths}
    router.deliver(*(a for p, a in attempts.items() if silent_upstream not in p))
    for path, attempt in attempts.items():
        if silent_upstream in path:
            silence = router.silent.explain(attempt, PAUSE)
            assert silence.candidates == {silent_upstream}
            assert silence.delivers


def test_paths_without_overlap_leave_all_upstreams_as_candidates(router):
    silent, other = router.begin("abc"), router.begin("def")
    router.deliver(other)
    assert router.silent.explain(silent, PAUSE).candidates == {"a", "b", "c"}


def test_an_event_from_before_the_silence_clears_nobody(router):
    # Guards against an upstream that counts as working because another stream got its
    # last event over it some milliseconds later.
    silent, other = router.begin("ab"), router.begin("ac")
    router.deliver(other, seconds=PAUSE / 2)
    router.now += 0.1
    router.heard_at = router.now
    assert router.silent.explain(silent, PAUSE).candidates == {"a", "b"}


def test_an_attempt_that_has_not_begun_clears_nobody(router):
    silent = router.begin("ab")
    router.now += 0.1
    router.silent.begin((Hop(make_engine("a"), LayerRange(0, 1)),))
    router.heard_at = router.now
    assert router.silent.explain(silent, PAUSE).candidates == {"a", "b"}


def test_a_router_that_hears_nothing_at_all_accuses_nobody(router):
    # Guards against a router behind a cut that moves all of its streams.
    first, second = router.begin("ab"), router.begin("cd")
    router.now += 0.1
    assert router.silent.explain(first, PAUSE) is None
    router.heard_at = router.now
    silence = router.silent.explain(second, PAUSE)
    assert silence.candidates == {"c", "d"} and not silence.delivers


def test_ended_attempts_are_forgotten(router):
    attempt = router.begin("ab")
    router.silent.end(attempt)
    router.silent.end(attempt)
    assert router.silent.attempts == 0


def test_moves_that_no_common_upstream_explains_are_bounded():
    # Guards against moving all streams of a router while upstreams are slow everywhere.
    now = [0.0]
    bound = MoveBound(clock=lambda: now[0])
    allowed = 0
    for number in range(20):
        candidates = frozenset({f"u{number}"})
        if bound.allows(candidates, attempts=20):
            bound.record(candidates)
            allowed += 1
    assert allowed == 10
    now[0] += 1.0
    assert bound.allows(frozenset({"u19"}), attempts=20)


def test_all_streams_over_one_silent_upstream_may_move():
    # Guards against streams that wait, and are late, because others moved first.
    bound = MoveBound(clock=lambda: 0.0)
    for number in range(20):
        candidates = frozenset({"silent", f"u{number}"})
        assert bound.allows(candidates, attempts=20)
        bound.record(candidates)
    assert bound.allows(frozenset({"silent"}), attempts=20)
