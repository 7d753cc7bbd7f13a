"""Loans of retries between routers keep the limit of all of them together.

Load: a few routers meet most of the failures, while the others leave their share of the
limit on retries unused.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushdrum._internal.limits.retry_loans import LOAN_SECONDS
from bulrushdrum._internal.limits.retry_window import (
    RetryCosts,
    RetryWindow,
    WaitingRetry,
)

RATIO, EXTRA, SECONDS, ROUTERS = 0.2, 10, 10.0, 2
# The part of the fixed limit that routers use, and what each of them may use of it.
USABLE = 0.6 * EXTRA
SHARE = USABLE / ROUTERS
# A restarted router uses its share again. One such share is within the limit.
MAX_RESTARTS = 1


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class Routers:
    """Routers whose messages are delivered in any order, repeatedly or never."""

    def __init__(self):
        self.clock = Clock()
        self.windows = [self._start() for _ in range(ROUTERS)]
        self.incarnations = [0] * ROUTERS
        self.messages, self.requests, self.retries = [], [], []
        # All routers have run for long enough to lend.
        self.clock.now = SECONDS + LOAN_SECONDS

    def _start(self):
        return RetryWindow(RATIO, EXTRA, SECONDS, self.clock)

    def record_request(self, router):
        self.windows[router].record_request("s")
        self.requests.append(self.clock.now)

    def spend(self, router):
        """Spend all that a router may."""
        while self.windows[router].try_spend("s", ROUTERS):
            self.retries.append(self.clock.now)

    def spend_all(self):
        for router in range(ROUTERS):
            self.spend(router)

    def ask(self, router, amount):
        lender = (router + 1) % ROUTERS
        number = self.windows[router].borrowed.request(str(lender), "s", amount)
        sender = (router, self.incarnations[router])
        self.messages.append(("ask", lender, sender, number, amount))

    def borrow(self, router, amount):
        """Ask, and deliver the request and the answer at once."""
        self.ask(router, amount)
        self.deliver(-1)
        self.deliver(-1)

    def deliver(self, index):
        if not self.messages:
            return
        kind, receiver, sender, number, amount = self.messages[
            index % len(self.messages)
        ]
        if kind == "ask":
            window, (borrower, incarnation) = self.windows[receiver], sender
            if window.lent.is_first_request(f"{borrower}-{incarnation}", number):
                lent = window.lend("s", ROUTERS, amount)
                answer = ("answer", sender, str(receiver), number, lent)
                self.messages.append(answer)
        elif self.incarnations[receiver[0]] == receiver[1]:
            self.windows[receiver[0]].borrowed.receive(sender, number, amount)

    def restart(self, router):
        if sum(self.incarnations) < MAX_RESTARTS:
            self.incarnations[router] += 1
            self.windows[router] = self._start()


ANY_ROUTER = st.integers(0, ROUTERS - 1)
LOAN_STEPS = (
    st.tuples(st.just("spend"), ANY_ROUTER),
    st.tuples(st.just("spend_all")),
    st.tuples(st.just("borrow"), ANY_ROUTER, st.integers(1, 8)),
    st.tuples(st.just("deliver"), st.integers(-4, 4)),
)
OTHER_STEPS = (
    st.tuples(st.just("ask"), ANY_ROUTER, st.integers(1, 8)),
    st.tuples(st.just("record_request"), ANY_ROUTER),
    st.tuples(st.just("restart"), ANY_ROUTER),
)
PAUSES = st.sampled_from([0.0, 0.0, 1.9, 8.2])


@given(
    st.one_of(
        st.lists(st.tuples(PAUSES, st.one_of(*LOAN_STEPS)), max_size=20),
        st.lists(st.tuples(PAUSES, st.one_of(*LOAN_STEPS, *OTHER_STEPS)), max_size=40),
    )
)
@settings(max_examples=1500, deadline=None, derandomize=True)
def test_retries_of_all_routers_stay_within_the_limit(steps):
    # Guards against loans that are used without being counted, under lost, late,
    # repeated and reordered messages and restarts.
    routers = Routers()
    for pause, (step, *arguments) in steps:
        routers.clock.now += pause
        getattr(routers, step)(*arguments)
    for end in routers.retries:
        recent = [at for at in routers.retries if end - SECONDS < at <= end]
        # The limit may count requests of the window and of the one before it.
        counted = [at for at in routers.requests if end - 2 * SECONDS < at <= end]
        fixed = USABLE + SHARE * sum(routers.incarnations)
        assert fixed <= EXTRA
        assert len(recent) <= RATIO * len(counted) + fixed


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def window(clock):
    """A window of a router that alone has a share of 15, 12 before the last fifth."""
    window = RetryWindow(0.2, 25, SECONDS, clock)
    clock.now = SECONDS + LOAN_SECONDS
    return window


def borrow(window, amount):
    number = window.borrowed.request("r2", "s", amount)
    return window.borrowed.receive("r2", number, amount)


def spend_all(window, has_delivered=True):
    spent = 0
    while window.try_spend("s", 1, has_delivered):
        spent += 1
    return spent


def test_a_lender_counts_a_loan_until_the_window_after_its_last_use_has_ended(
    window, clock
):
    # Guards against a loan that is used at the end of its lifetime and counted nowhere
    # in the rest of the window after that.
    assert window.lend("s", 1, 8) == 8
    assert spend_all(window) == 15 - 8
    clock.now += SECONDS + LOAN_SECONDS
    assert spend_all(window) == 15 - 8
    clock.now += 0.01
    assert spend_all(window) == 8


def test_a_lender_keeps_the_last_part_and_what_it_has_just_needed(window, clock):
    # Guards against lending what streams of the lender are about to need.
    for _ in range(3):
        assert window.try_spend("s", 1)
    assert window.lendable("s", 1) == 12 - 3 - 3
    clock.now += LOAN_SECONDS + 0.1
    assert window.lendable("s", 1) == 12 - 3


def test_the_last_part_is_lent_for_requests_that_have_delivered(window):
    assert window.lend("s", 1, 12) == 12
    assert window.lend("s", 1, 5) == 0
    assert window.lend("s", 1, 5, delivered=2) == 2
    assert window.lend("s", 1, 5, delivered=5) == 1
    assert not window.try_spend("s", 1)


def test_only_the_fixed_part_is_lent(window):
    # Guards against a loan from the requests of a window that end before its use.
    for _ in range(500):
        window.record_request("s")
    assert window.lend("s", 1, 100) == 15


def test_a_share_that_shrinks_below_what_is_lent_leaves_nothing(window):
    assert window.lend("s", 1, 10) == 10
    assert window.lendable("s", 3) == 0
    assert not window.try_spend("s", 3)


def test_a_router_that_has_just_started_does_not_lend(clock):
    # Guards against lending again what the incarnation before has lent or used.
    window = RetryWindow(0.2, 25, SECONDS, clock)
    clock.now = SECONDS + LOAN_SECONDS - 0.1
    assert window.lend("s", 1, 1) == 0
    clock.now += 0.1
    assert window.lend("s", 1, 1) == 1


def test_a_loan_is_used_once_and_counts_at_its_lender(window):
    assert spend_all(window) == 15
    number = window.borrowed.request("r2", "s", 2)
    assert window.borrowed.receive("r3", number, 2) is None
    assert window.borrowed.receive("r2", number, 2) == "s"
    assert window.borrowed.receive("r2", number, 2) is None
    assert spend_all(window) == 2
    assert window.borrowed.used == 2


def test_a_loan_ends_some_time_after_it_was_asked_for(window, clock):
    # Guards against a late answer that is used when its lender no longer counts it.
    spend_all(window)
    number = window.borrowed.request("r2", "s", 1)
    clock.now += LOAN_SECONDS - 0.1
    assert window.borrowed.receive("r2", number, 1) == "s"
    clock.now += 0.2
    assert spend_all(window) == 0
    number = window.borrowed.request("r2", "s", 1)
    clock.now += LOAN_SECONDS + 0.1
    assert window.borrowed.receive("r2", number, 1) is None


def test_a_lender_that_sends_more_than_was_asked_for_is_not_believed(window):
    spend_all(window)
    number = window.borrowed.request("r2", "s", 1)
    window.borrowed.receive("r2", number, 1000)
    assert spend_all(window) == 1


def test_a_repeated_request_is_answered_once(window, clock):
    lent = window.lent
    assert lent.is_first_request("i1", 1)
    assert lent.is_first_request("i2", 1)
    assert not lent.is_first_request("i1", 1)
    clock.now += SECONDS + LOAN_SECONDS + 0.1
    # Later it is not remembered, so that memory is bounded.
    assert lent.is_first_request("i1", 1)


def test_loans_are_asked_for_only_as_many_as_requests_lack(window):
    # Guards against loans that end unused, which their lenders count for 12 s.
    asked = []
    window.on_shortage = asked.append
    spend_all(window)
    assert not asked
    assert window.shortage("s") == 0
    for arrived_at in (1.0, 2.0):
        window.join(WaitingRetry("s", False, arrived_at, lambda: None))
    assert asked == ["s", "s"]
    assert window.shortage("s") == 2
    borrow(window, 1)
    assert window.shortage("s") == 1


def test_a_stream_that_cannot_count_a_retry_ahead_is_a_need_for_a_short_time(
    window, clock
):
    spend_all(window, has_delivered=False)
    clock.now += 1.0
    costs_ahead = [RetryCosts() for _ in range(3)]
    assert not any(window.try_count_ahead(costs, "s", 1) for costs in costs_ahead)
    assert window.shortage("s") == 3
    clock.now += 0.1
    assert window.shortage("s") == 0


def test_loans_go_to_begun_answers_and_then_to_those_that_arrived_first(window):
    # Guards against starving requests that wait, whoever their callers are.
    spend_all(window)
    served = []
    for name, has_delivered, arrived_at in (
        ("late", False, 3.0),
        ("early", False, 1.0),
        ("late stream", True, 4.0),
        ("latest", False, 5.0),
    ):
        waiting = WaitingRetry(
            "s", has_delivered, arrived_at, lambda name=name: served.append(name)
        )
        window.join(waiting)
    borrow(window, 2)
    # One that asks now comes after those that wait.
    assert not window.try_spend("s", 1, has_delivered=False)
    assert served == ["late stream", "early"]
    borrow(window, 3)
    assert window.try_spend("s", 1, has_delivered=False)
    assert served == ["late stream", "early", "late", "latest"]
