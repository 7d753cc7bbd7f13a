"""A bound key runs at most once on an incarnation, and refusals are correct."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.peering.request_messages import CallResult
from bulrushdrum._internal.sidecar.bindings import (
    RETAINED_WINDOWS,
    WINDOW_SECONDS,
    BindingTable,
    Join,
    RefusalReason,
    Refuse,
    Run,
)
from bulrushdrum._internal.world.requests import Outcome

ANSWER = CallResult(outcome="answered", status=201, body=b"receipt")


class FakeClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def make_table(**limits):
    clock = FakeClock()
    return BindingTable("i1", clock, **limits), clock


def test_second_call_joins_and_gets_the_same_result():
    # Guards against a repeated request that runs again or waits forever.
    table, _ = make_table()
    assert table.admit("c", "k", 0, 0, "f") == Run()
    joined = table.admit("c", "k", 0, 0, "f")
    assert isinstance(joined, Join) and joined.wait(timeout=0) is None
    table.finish("c", "k", ANSWER)
    assert joined.wait(timeout=0) == ANSWER
    assert table.admit("c", "k", 0, 0, "f").wait(timeout=0) == ANSWER
    assert table.resolve("c", "k", 0, 0).result == ANSWER
    assert table.admit("other", "k", 0, 0, "f") == Run()


def test_same_key_with_another_fingerprint_is_refused():
    # Guards against answering a request with the result of a different request.
    table, _ = make_table()
    table.admit("c", "k", 0, 0, "f")
    refused = table.admit("c", "k", 0, 0, "g")
    assert refused == Refuse(RefusalReason.KEY_REUSED, Outcome.NOT_RUN)


def test_resolved_key_runs_only_under_a_later_generation():
    # Guards against a delayed call that runs after its binding has moved.
    table, _ = make_table()
    assert table.resolve("c", "k", 0, 0).state == "cancelled"
    refused = table.admit("c", "k", 0, 0, "f")
    assert refused == Refuse(RefusalReason.CANCELLED, Outcome.NOT_RUN)
    assert table.resolve("c", "k", 0, 1).state == "cancelled"
    assert table.admit("c", "k", 0, 1, "f") == refused
    assert table.admit("c", "k", 0, 2, "f") == Run()
    assert table.resolve("c", "k", 0, 0).state == "running"


def test_expired_key_is_refused_as_unknown():
    # Guards against the outcome "not run" for a key that ran and has expired.
    table, clock = make_table()
    table.admit("c", "k", 0, 0, "f")
    table.finish("c", "k", ANSWER)
    clock.now += RETAINED_WINDOWS * WINDOW_SECONDS
    assert isinstance(table.admit("c", "k", 0, 0, "f"), Join)
    clock.now += WINDOW_SECONDS
    refused = table.admit("c", "k", 0, 0, "f")
    assert refused == Refuse(RefusalReason.WINDOW_EXPIRED, Outcome.UNKNOWN)
    assert table.resolve("c", "k", 0, 0).state == "unknown"


def test_running_key_outlives_its_window():
    # Guards against a call that runs longer than the retained windows and then expires
    # while other calls wait for its result.
    table, clock = make_table()
    table.admit("c", "k", 0, 0, "f")
    clock.now += 5 * WINDOW_SECONDS
    joined = table.admit("c", "k", 0, 0, "f")
    table.finish("c", "k", ANSWER)
    assert joined.wait(timeout=0) == ANSWER


def test_full_table_closes_the_window_and_drops_no_key():
    # Guards against unbounded memory, and against a refused call that runs later when
    # the table has room again.
    table, clock = make_table(max_keys=2)
    table.admit("c", "k1", 0, 0, "f")
    table.resolve("c", "k2", 0, 0)
    closed = Refuse(RefusalReason.WINDOW_CLOSED, Outcome.NOT_RUN)
    assert table.admit("c", "k3", 0, 0, "f") == closed
    assert table.resolve("c", "k4", 0, 0).state == "cancelled"
    assert isinstance(table.admit("c", "k1", 0, 0, "f"), Join)
    clock.now += 2 * WINDOW_SECONDS
    assert table.admit("c", "k3", 0, 0, "f") == closed
    clock.now += WINDOW_SECONDS
    assert table.admit("c", "k3", 3, 1, "f") == Run()


def test_closed_window_stays_closed_when_the_table_has_room():
    # Guards against a duplicate of a refused call that runs after older keys expired.
    table, clock = make_table(max_keys=1)
    table.admit("c", "old", 0, 0, "f")
    table.finish("c", "old", ANSWER)
    clock.now += 2 * WINDOW_SECONDS
    closed = Refuse(RefusalReason.WINDOW_CLOSED, Outcome.NOT_RUN)
    assert table.admit("c", "new", 2, 0, "f") == closed
    clock.now += WINDOW_SECONDS
    assert table.admit("c", "new", 2, 0, "f") == closed
    assert table.admit("c", "new", 3, 1, "f") == Run()


def test_key_is_retained_for_its_latest_window():
    # Guards against a key that runs under an older window than that of its cancelled
    # generation, expires and runs again for a delayed call of the cancelled generation.
    table, clock = make_table()
    clock.now += WINDOW_SECONDS
    table.resolve("c", "k", 1, 0)
    assert table.admit("c", "k", 0, 2, "f") == Run()
    table.finish("c", "k", ANSWER)
    clock.now += 2 * WINDOW_SECONDS
    assert isinstance(table.admit("c", "k", 1, 0, "f"), Join)


def test_large_result_is_returned_to_joined_calls_but_not_stored():
    # Guards against stored results that exhaust the memory of the sidecar.
    table, _ = make_table(max_result_bytes=3)
    table.admit("c", "k", 0, 0, "f")
    joined = table.admit("c", "k", 0, 0, "f")
    table.finish("c", "k", ANSWER)
    assert joined.wait(timeout=0) == ANSWER
    refused = table.admit("c", "k", 0, 0, "f")
    assert refused == Refuse(RefusalReason.RESULT_NOT_KEPT, Outcome.UNKNOWN)
    assert table.resolve("c", "k", 0, 0).state == "unknown"


def test_draining_cancels_new_keys_and_joins_running_ones():
    # Guards against a call refused while draining whose duplicate runs later.
    table, _ = make_table()
    table.admit("c", "old", 0, 0, "f")
    assert isinstance(table.admit("c", "old", 0, 0, "f", refuse_new="draining"), Join)
    refused = table.admit("c", "new", 0, 0, "f", refuse_new="draining")
    assert refused == Refuse("draining", Outcome.NOT_RUN)
    assert isinstance(table.admit("c", "new", 0, 0, "f"), Refuse)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["admit", "admit", "resolve", "finish", "not_run", "window"]),
        st.integers(0, 3),  # key
        st.integers(0, 5),  # window, from the past to the future
        st.integers(0, 2),  # generation
    ),
    max_size=60,
)


@seed(20261204)
@settings(max_examples=600, deadline=None)
@given(ACTIONS)
def test_no_run_follows_a_run_or_a_final_refusal(actions):
    # Guards against a generation of a key that runs twice or after its cancellation,
    # for any order of calls, duplicates, resolutions, a full table and expiry.
    table, clock = make_table(max_keys=2)
    running, done, cancelled = {}, set(), set()
    for action, key, window, generation in actions:
        name = f"k{key}"
        was_cancelled = False
        match action:
            case "window":
                clock.now += WINDOW_SECONDS
            case "finish" | "not_run" if name in running:
                bound_window = running.pop(name)
                if action == "finish":
                    done.add((name, bound_window))
                    table.finish("c", name, ANSWER)
                else:
                    table.finish("c", name, CallResult(outcome="not_run"))
            case "resolve":
                state = table.resolve("c", name, window, generation).state
                was_cancelled = state == "cancelled"
            case "admit":
                answer = table.admit("c", name, window, generation, "f")
                if isinstance(answer, Run):
                    assert name not in running
                    assert not any(
                        name == done_name and window <= done_window
                        for done_name, done_window in done
                    )
                    assert (name, window, generation) not in cancelled
                    running[name] = window
                was_cancelled = isinstance(answer, Refuse) and (
                    answer.outcome is Outcome.NOT_RUN
                )
        if was_cancelled:
            cancelled.add((name, window, generation))
            assert name not in running
        assert len(table._keys) <= 2
