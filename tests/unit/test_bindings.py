"""A bound key runs at most once on an incarnation, and a refusal tells the truth."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.peering.messages import CallResult
from bulrushdrum._internal.sidecar.bindings import (
    KEPT_WINDOWS,
    WINDOW_SECONDS,
    BindingTable,
    Join,
    RefusalReason,
    Refuse,
    Run,
)
from bulrushdrum._internal.world.requests import Outcome

ANSWER = CallResult(outcome="answered", status=201, body=b"receipt")


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def make_table(**limits):
    clock = Clock()
    return BindingTable("i1", clock, **limits), clock


def test_second_call_joins_and_gets_the_same_result():
    # Guards against a resend that runs again or waits for ever.
    table, _ = make_table()
    assert table.admit("c", "k", 0, 0, "f") == Run()
    early = table.admit("c", "k", 0, 0, "f")
    assert isinstance(early, Join) and early.wait(timeout=0) is None
    table.finish("c", "k", ANSWER)
    assert early.wait(timeout=0) == ANSWER
    assert table.admit("c", "k", 0, 0, "f").wait(timeout=0) == ANSWER
    assert table.resolve("c", "k", 0, 0).result == ANSWER
    assert table.admit("other", "k", 0, 0, "f") == Run()


def test_other_body_under_the_same_key_is_refused():
    # Guards against answering a request with the result of another one.
    table, _ = make_table()
    table.admit("c", "k", 0, 0, "f")
    refused = table.admit("c", "k", 0, 0, "g")
    assert refused == Refuse(RefusalReason.KEY_REUSED, Outcome.NOT_RUN)


def test_resolved_key_runs_only_under_a_later_generation():
    # Guards against a delayed call that runs after its binding was moved.
    table, _ = make_table()
    assert table.resolve("c", "k", 0, 0).state == "cancelled"
    refused = table.admit("c", "k", 0, 0, "f")
    assert refused == Refuse(RefusalReason.CANCELLED, Outcome.NOT_RUN)
    assert table.resolve("c", "k", 0, 1).state == "cancelled"
    assert table.admit("c", "k", 0, 1, "f") == refused
    assert table.admit("c", "k", 0, 2, "f") == Run()
    assert table.resolve("c", "k", 0, 0).state == "running"


def test_expired_key_is_refused_as_unknown():
    # Guards against saying "not run" of a key that ran and was forgotten.
    table, clock = make_table()
    table.admit("c", "k", 0, 0, "f")
    table.finish("c", "k", ANSWER)
    clock.now += KEPT_WINDOWS * WINDOW_SECONDS
    assert isinstance(table.admit("c", "k", 0, 0, "f"), Join)
    clock.now += WINDOW_SECONDS
    refused = table.admit("c", "k", 0, 0, "f")
    assert refused == Refuse(RefusalReason.WINDOW_EXPIRED, Outcome.UNKNOWN)
    assert table.resolve("c", "k", 0, 0).state == "unknown"


def test_running_key_outlives_its_window():
    # Guards against a call longer than the kept windows that loses its joiners.
    table, clock = make_table()
    table.admit("c", "k", 0, 0, "f")
    clock.now += 5 * WINDOW_SECONDS
    joined = table.admit("c", "k", 0, 0, "f")
    table.finish("c", "k", ANSWER)
    assert joined.wait(timeout=0) == ANSWER


def test_full_table_closes_the_window_and_forgets_nothing():
    # Guards against memory without bound, and against a refused call that runs later
    # when there is room again.
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


def test_closed_window_stays_closed_when_there_is_room():
    # Guards against a duplicate of a refused call that runs once older keys expired.
    table, clock = make_table(max_keys=1)
    table.admit("c", "old", 0, 0, "f")
    table.finish("c", "old", ANSWER)
    clock.now += 2 * WINDOW_SECONDS
    closed = Refuse(RefusalReason.WINDOW_CLOSED, Outcome.NOT_RUN)
    assert table.admit("c", "new", 2, 0, "f") == closed
    clock.now += WINDOW_SECONDS
    assert table.admit("c", "new", 2, 0, "f") == closed
    assert table.admit("c", "new", 3, 1, "f") == Run()


def test_key_is_kept_for_the_latest_window_it_was_named_with():
    # Guards against a binding that came back with an older window, ran, was forgotten
    # and runs again for a delayed call of its cancelled generation.
    table, clock = make_table()
    clock.now += WINDOW_SECONDS
    table.resolve("c", "k", 1, 0)
    assert table.admit("c", "k", 0, 2, "f") == Run()
    table.finish("c", "k", ANSWER)
    clock.now += 2 * WINDOW_SECONDS
    assert isinstance(table.admit("c", "k", 1, 0, "f"), Join)


def test_large_result_goes_to_joiners_and_is_not_kept():
    # Guards against results that exhaust the memory of the sidecar.
    table, _ = make_table(max_result_bytes=3)
    table.admit("c", "k", 0, 0, "f")
    joined = table.admit("c", "k", 0, 0, "f")
    table.finish("c", "k", ANSWER)
    assert joined.wait(timeout=0) == ANSWER
    refused = table.admit("c", "k", 0, 0, "f")
    assert refused == Refuse(RefusalReason.RESULT_NOT_KEPT, Outcome.UNKNOWN)
    assert table.resolve("c", "k", 0, 0).state == "unknown"


def test_draining_refuses_new_keys_for_good_and_still_joins():
    # Guards against a call refused while draining that runs from a duplicate later.
    table, _ = make_table()
    table.admit("c", "old", 0, 0, "f")
    assert isinstance(table.admit("c", "old", 0, 0, "f", refuse_new="draining"), Join)
    refused = table.admit("c", "new", 0, 0, "f", refuse_new="draining")
    assert refused == Refuse("draining", Outcome.NOT_RUN)
    assert isinstance(table.admit("c", "new", 0, 0, "f"), Refuse)


STEPS = st.lists(
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
@given(STEPS)
def test_no_run_follows_a_run_or_a_final_refusal(steps):
    # Guards against any order of calls, duplicates, resolutions, a full table and
    # expiry that lets one generation of a key run twice or after it was cancelled.
    table, clock = make_table(max_keys=2)
    running, ended, final = {}, set(), set()
    for action, key, window, generation in steps:
        name = f"k{key}"
        cancelled = False
        match action:
            case "window":
                clock.now += WINDOW_SECONDS
            case "finish" | "not_run" if name in running:
                bound_window = running.pop(name)
                if action == "finish":
                    ended.add((name, bound_window))
                    table.finish("c", name, ANSWER)
                else:
                    table.finish("c", name, CallResult(outcome="not_run"))
            case "resolve":
                state = table.resolve("c", name, window, generation).state
                cancelled = state == "cancelled"
            case "admit":
                answer = table.admit("c", name, window, generation, "f")
                if isinstance(answer, Run):
                    assert name not in running
                    assert not any(
                        name == done and window <= finished for done, finished in ended
                    )
                    assert (name, window, generation) not in final
                    running[name] = window
                cancelled = isinstance(answer, Refuse) and (
                    answer.outcome is Outcome.NOT_RUN
                )
        if cancelled:
            final.add((name, window, generation))
            assert name not in running
        assert len(table._keys) <= 2
