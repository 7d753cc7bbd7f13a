"""Tests that `RetryWindow` limits the retries of all routers in any window."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushdrum._internal.limits.retry_window import RetryCosts, RetryWindow


@given(
    st.lists(st.tuples(st.floats(0, 1), st.booleans()), max_size=200),
    st.integers(1, 4),
)
@settings(max_examples=80, deadline=None, derandomize=True)
def test_retries_of_all_routers_stay_within_the_limit(steps, routers):
    # Guards against retries that amplify an overload. Callers at every router retry
    # immediately and often.
    now = [0.0]
    windows = [RetryWindow(0.2, 20, 10.0, clock=lambda: now[0]) for _ in range(routers)]
    requests, retries = [], []
    for gap, is_request in steps:
        now[0] += gap
        for window in windows:
            if is_request:
                window.record_request("s")
                requests.append(now[0])
            elif window.try_spend("s", routers):
                retries.append(now[0])
    for end in retries:
        recent = [moment for moment in retries if end - 10.0 < moment <= end]
        # The limit may count requests of the window and of the one before it.
        counted = [moment for moment in requests if end - 20.0 < moment <= end]
        assert len(recent) <= 0.2 * len(counted) + 20


def test_services_have_separate_limits():
    window = RetryWindow(0.0, 10, 10.0, clock=lambda: 0.0)
    while window.try_spend("a", 1):
        pass
    assert window.try_spend("b", 1)


def test_only_sendings_that_follow_an_arrival_are_counted():
    # Guards against retries that are refused although nothing has reached an upstream.
    window = RetryWindow(ratio=0.0, extra=2, seconds=10.0, clock=lambda: 0.0)
    costs = RetryCosts()
    for _ in range(5):
        # Each of these connections is refused.
        assert window.try_count(costs, "s", routers=1, has_delivered=True)
    costs.sent += 1
    assert window.try_count(costs, "s", routers=1, has_delivered=True)
    # The connection of the retry was refused, so it is still counted.
    assert window.try_count(costs, "s", routers=1, has_delivered=True)
    costs.sent += 1
    assert not window.try_count(costs, "s", routers=1, has_delivered=True)


def test_a_part_of_the_limit_is_left_to_answers_that_have_begun():
    # Guards against breaking off an answer because requests that had delivered nothing
    # used up the limit.
    window = RetryWindow(ratio=0.2, extra=20, seconds=10.0, clock=lambda: 0.0)
    for _ in range(50):
        window.record_request("s")
    while window.try_spend("s", routers=1, has_delivered=False):
        pass
    assert window.try_spend("s", routers=1, has_delivered=True)
    assert not window.try_spend("s", routers=1, has_delivered=False)
