"""The bound on repeats holds over any window and all routers together."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushdrum._internal.limits.retry_window import RetryWindow


@given(
    st.lists(st.tuples(st.floats(0, 1), st.booleans()), max_size=200),
    st.integers(1, 4),
)
@settings(max_examples=80, deadline=None, derandomize=True)
def test_repeats_of_all_routers_stay_within_the_bound(steps, routers):
    # Load pattern: callers that repeat at once and often, at every router. Guards
    # against repeats that add to an overload.
    now = [0.0]
    windows = [RetryWindow(0.2, 20, 10.0, clock=lambda: now[0]) for _ in range(routers)]
    requests, repeats = [], []
    for gap, is_request in steps:
        now[0] += gap
        for window in windows:
            if is_request:
                window.record_request("s")
                requests.append(now[0])
            elif window.try_spend("s", routers):
                repeats.append(now[0])
    for end in repeats:
        recent = [moment for moment in repeats if end - 10.0 < moment <= end]
        # The bound counts the requests of the window or of the one before it.
        basis = [moment for moment in requests if end - 20.0 < moment <= end]
        assert len(recent) <= 0.2 * len(basis) + 20


def test_services_have_bounds_of_their_own():
    window = RetryWindow(0.0, 10, 10.0, clock=lambda: 0.0)
    while window.try_spend("a", 1):
        pass
    assert window.try_spend("b", 1)
