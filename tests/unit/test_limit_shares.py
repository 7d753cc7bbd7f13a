"""Load patterns on upstreams that name a limit, played without a network.

Routers want to send more than an upstream takes: evenly or not, while some of them
start, stop, or do not hear each other. The users' rule bounds what reaches it.
"""

import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from tests.unit.pool_fakes import make_engine, make_limits

from bulrushdrum._internal.limits.rate_shares import fair_share
from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.limits.wait_queue import WaitQueue
from bulrushdrum._internal.world.statements import (
    NoLimit,
    RequestLimit,
    UnreadableLimit,
)

UPSTREAM = make_engine("u1")
STEP_SECONDS = 0.01
ANNOUNCEMENT_STEPS = 20
WAIT_SECONDS = 0.2
# The users' rule.
WINDOW_SECONDS = 4.0
MAX_OVERSHOOT = 1.5
MAX_EXTRA = 5
GRACE_SECONDS = 3.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Routers:
    """Routers that send requests to one upstream and announce to each other."""

    def __init__(self, rates, limit, seed=1):
        self.clock, self.limit = Clock(), limit
        self.rates = list(rates)
        self.arrivals, self.refused = [], 0
        # Requests that wait: the limits of their router, when they give up, their id.
        self._waiting = []
        self._random = random.Random(seed)
        self.limits = [self._make_limits(index) for index in range(len(self.rates))]
        # Pairs that do not hear each other.
        self.cut = set()

    def _make_limits(self, index):
        return UpstreamLimits(
            lambda upstream_id: True,
            lambda: sum(pair[0] == index for pair in self.cut),
            lambda: None,
            self.clock,
            seed=self._random.random(),
        )

    def restart(self, index):
        self.limits[index] = self._make_limits(index)
        for other in self.limits:
            other.remove_peer(f"r{index}")

    def cut_off(self, index):
        others = set(range(len(self.limits))) - {index}
        self.cut |= {pair for o in others for pair in ((index, o), (o, index))}
        for other in others:
            self.limits[other].remove_peer(f"r{index}")
            self.limits[index].remove_peer(f"r{other}")

    def run(self, seconds):
        for step in range(int(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            for limits, rate in zip(self.limits, self.rates, strict=True):
                if self._random.random() < rate * STEP_SECONDS:
                    until = self.clock.now + WAIT_SECONDS
                    self._waiting.append((limits, until, object()))
            self._waiting = [
                request for request in self._waiting if self._send(*request)
            ]
            if step % ANNOUNCEMENT_STEPS == 0:
                self._announce()

    def _send(self, limits, until, requester):
        """Try to send a request; return whether it goes on waiting."""
        if limits.acquire([UPSTREAM], requester):
            has_given_up = self.clock.now >= until
            self.refused += has_given_up
            return not has_given_up
        self.arrivals.append(self.clock.now)
        statement = NoLimit() if self.limit is None else RequestLimit(self.limit)
        limits.record_statement(UPSTREAM, statement, has_run=True)
        return False

    def _announce(self):
        announcements = [limits.announcement() for limits in self.limits]
        for index, announcement in enumerate(announcements):
            for other, limits in enumerate(self.limits):
                if other != index and (index, other) not in self.cut:
                    limits.apply_announcement(f"r{index}", announcement)

    def worst_window(self):
        start = self.arrivals[0] + GRACE_SECONDS
        late = [t for t in self.arrivals if t >= start]
        return max(
            (sum(first <= t < first + WINDOW_SECONDS for t in late) for first in late),
            default=0,
        )

    def allowed(self):
        return MAX_OVERSHOOT * self.limit * WINDOW_SECONDS + MAX_EXTRA


@settings(max_examples=15, deadline=None)
@given(
    rates=st.lists(st.floats(0.0, 30.0), min_size=1, max_size=12),
    limit=st.floats(0.0, 15.0),
    seed=st.integers(0, 1000),
)
@example(rates=[30.0, 0.5, 0.5, 0.5], limit=10.8, seed=1)
@example(rates=[3.0] * 12, limit=0.0, seed=2)
def test_all_routers_together_keep_the_limit(rates, limit, seed):
    # Guards against routers that each take the whole limit, or keep it unevenly.
    routers = Routers(rates, limit, seed)
    routers.run(15.0)
    if routers.arrivals:
        assert routers.worst_window() <= routers.allowed()


@settings(max_examples=10, deadline=None)
@given(
    rates=st.lists(st.floats(0.0, 10.0), min_size=1, max_size=8),
    limit=st.floats(2.0, 12.0),
    seed=st.integers(0, 1000),
)
@example(rates=[20.0, 0.0, 0.0, 0.0], limit=8.0, seed=1)
def test_the_limit_is_used_up_if_there_is_demand(rates, limit, seed):
    # Guards against keeping a limit by leaving unused what one router could send.
    total = sum(rates)
    if total < 2.0 * limit:
        rates = [rate + (2.0 * limit - total) / len(rates) for rate in rates]
    routers = Routers(rates, limit, seed)
    routers.run(20.0)
    assert len(routers.arrivals) >= 0.75 * limit * 20.0


def test_routers_that_restart_keep_the_limit():
    # Guards against a router that starts with a full allowance in each of its lives.
    routers = Routers([10.0] * 4, 4.0)
    for index in (0, 1, 2, 3, 0, 1):
        routers.run(2.5)
        routers.restart(index)
    assert routers.worst_window() <= routers.allowed()


def test_a_router_that_is_cut_off_uses_an_equal_share_only():
    # Guards against two groups of routers that each use the whole limit.
    routers = Routers([10.0] * 4, 6.0)
    routers.run(5.0)
    routers.cut_off(0)
    routers.run(10.0)
    assert routers.worst_window() <= routers.allowed()


def test_a_lower_limit_binds_at_once_and_a_higher_one_too():
    routers = Routers([20.0] * 3, 12.0)
    routers.run(6.0)
    routers.limit, routers.arrivals = 2.0, []
    routers.run(8.0)
    assert routers.worst_window() <= routers.allowed()
    routers.limit, routers.arrivals = 20.0, []
    routers.run(8.0)
    assert len(routers.arrivals) >= 0.75 * 20.0 * 8.0


def test_all_routers_stop_keeping_a_limit_that_has_ended():
    # Guards against a limit that outlives the need, also where nobody sends at first.
    routers = Routers([5.0, 5.0, 0.0], 0.0)
    routers.run(4.0)
    routers.limit = None
    routers.run(8.0)
    routers.refused, routers.rates = 0, [5.0, 5.0, 20.0]
    routers.run(5.0)
    assert routers.refused == 0


def test_a_peer_that_was_away_does_not_bring_back_a_limit():
    limits, peer = make_limits(clock := Clock()), make_limits(clock)
    peer.record_statement(UPSTREAM, RequestLimit(3.0), has_run=True)
    limits.apply_announcement("peer", peer.announcement())
    clock.now += 5.0
    limits.record_statement(UPSTREAM, NoLimit(), has_run=True)
    limits.apply_announcement("peer", peer.announcement())
    assert limits.limit(UPSTREAM) is None
    peer.apply_announcement("r1", limits.announcement())
    assert peer.limit(UPSTREAM) is None


def test_an_announced_limit_binds_before_the_upstream_was_asked():
    limits, peer = make_limits(clock := Clock()), make_limits(clock)
    peer.record_statement(UPSTREAM, RequestLimit(0.0), has_run=True)
    limits.apply_announcement("peer", peer.announcement())
    assert limits.limit(UPSTREAM) == 0.0
    assert limits.acquire([UPSTREAM], object()) == [UPSTREAM]


def test_a_limit_ends_with_the_incarnation_that_named_it():
    limits = make_limits()
    limits.record_statement(UPSTREAM, RequestLimit(1.0), has_run=True)
    restarted = UPSTREAM._replace(born=UPSTREAM.born + 1)
    assert limits.limit(restarted) is None


@pytest.mark.parametrize("statement", [NoLimit(), UnreadableLimit("many")])
def test_a_refusal_or_an_unreadable_limit_does_not_end_a_limit(statement):
    limits = make_limits()
    limits.record_statement(UPSTREAM, RequestLimit(1.0), has_run=True)
    limits.record_statement(UPSTREAM, statement, has_run=False)
    assert limits.limit(UPSTREAM) == 1.0


def test_a_path_needs_room_below_each_of_its_limits():
    # Guards against counting a request at the first upstream of a path only.
    limits, other = make_limits(clock := Clock()), make_engine("u2")
    limits.record_statement(UPSTREAM, RequestLimit(100.0), has_run=True)
    limits.record_statement(other, RequestLimit(0.0), has_run=True)
    clock.now += 0.01
    assert limits.acquire([UPSTREAM, other], object()) == [other]
    # The refused request has used nothing of the other limit.
    assert limits.acquire([UPSTREAM], object()) == []


@pytest.mark.parametrize(
    "entry",
    [
        ["u1", 1, float("nan"), 0.0, 0.0],
        ["u1", 1, -1.0, 0.0, 0.0],
        ["u1", 1, 1.0, float("inf"), 0.0],
        ["u1", 1, 1.0, 1e9, 0.0],
        ["u1", 1, 1.0],
        ["u1", "x", 1.0, 0.0, 0.0],
    ],
)
def test_a_malformed_announcement_is_rejected_whole(entry):
    limits = make_limits()
    with pytest.raises((TypeError, ValueError)):
        limits.apply_announcement("peer", [["u1", 1, 2.0, 0.0, 0.0], entry])
    assert limits.limit(UPSTREAM) is None


@given(
    rate=st.floats(0.1, 100.0),
    demands=st.lists(st.floats(0.0, 100.0), min_size=1, max_size=10),
    silent=st.integers(0, 3),
)
def test_the_shares_of_all_routers_add_up_to_the_rate(rate, demands, silent):
    shares = [
        fair_share(rate, own, demands[:index] + demands[index + 1 :], silent)
        for index, own in enumerate(demands)
    ]
    heard_rate = rate * len(demands) / (len(demands) + silent)
    assert sum(shares) == pytest.approx(heard_rate)


def test_urgent_requests_go_first_and_others_are_not_starved():
    queue = WaitQueue()
    old = queue.join("s", arrived_at=0.0, priority=9)
    urgent = queue.join("s", arrived_at=0.2, priority=0)
    late_urgent = queue.join("s", arrived_at=1.0, priority=0)
    for ticket in (old, urgent, late_urgent):
        queue.set_waiting(ticket, True)
    assert queue.waiting_ahead(urgent) == 0
    assert queue.waiting_ahead(old) == 1
    assert queue.waiting_ahead(late_urgent) == 2
