"""A stage runs each position once and in order, and reports whether a request ran."""

import gevent
import gevent.event
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from tests.unit.stage_fakes import ENGINE_STATE, LAST_STAGE, StageUnderTest

from bulrushdrum._internal.peering.request_messages import (
    AttemptFailed,
    Close,
    Step,
    Token,
)
from bulrushdrum._internal.sidecar.errors import (
    EngineLost,
    EngineRefused,
    EngineUnreachable,
)
from bulrushdrum._internal.sidecar.releases import RELEASE_DELAY_SECONDS
from bulrushdrum._internal.sidecar.sequences import (
    EndedAttempts,
    PendingByteBudget,
    Sequence,
)
from bulrushdrum._internal.sidecar.stages import CLOSE_AND_CONFIRM

arbitrary_steps = st.tuples(
    st.just("step"), st.integers(1, 3), st.integers(0, 5), st.integers(1, 3)
)
opens = st.tuples(st.just("open"), st.integers(1, 3))
closes = st.tuples(st.just("close"), st.integers(1, 3))
# The valid next step, so that examples get past the first position.
next_steps = st.tuples(st.just("next"), st.integers(1, 3))
pauses = st.tuples(st.just("pause"), st.integers(0, 3))


@seed(20261204)
@settings(max_examples=400, deadline=None)
@given(
    st.lists(
        st.one_of(arbitrary_steps, next_steps, opens, closes, pauses), max_size=30
    ),
    st.integers(1, 3),
)
def test_late_duplicate_and_reordered_messages_keep_steps_in_order(messages, chunk):
    # Guards against a position that runs twice, out of order or for an earlier attempt
    # (rules R1 and R3) when messages of three attempts arrive in any order and number.
    stage = StageUnderTest(chunk_tokens=chunk)
    highest_attempt, stale_steps = 0, []
    stage.engine.before_result = lambda steps: stale_steps.extend(
        step for step in steps if step["attempt"] < highest_attempt
    )
    for message in messages:
        match message:
            case "open", attempt:
                if stage.open(attempt=attempt).accepted:
                    assert attempt >= highest_attempt
                    highest_attempt = attempt
            case "close", attempt:
                stage.hub.receive(stage.entry, Close("r", attempt, "finished"))
            case "step", attempt, position, count:
                stage.step(position, range(count), attempt=attempt)
            case "next", count:
                for sequence in stage.stages.sequences():
                    position, attempt = (
                        sequence.next_position,
                        sequence.open_message.attempt,
                    )
                    stage.step(position, range(count), attempt=attempt)
            case "pause", switches:
                for _ in range(switches):
                    gevent.sleep(0)
    stage.settle()
    assert stale_steps == [] and stage.engine.overlaps == []
    for attempt in (1, 2, 3):
        ran = [s for s in stage.engine.steps if s["attempt"] == attempt]
        expected_position = 0
        for step in ran:
            assert step["position"] == expected_position
            assert step["count"] == len(step["tokens"]) <= chunk
            expected_position += step["count"]


def test_split_prompt_yields_one_token():
    # Guards against a token for every chunk of the prompt, and against chunks that the
    # engine runs concurrently because two calls are in flight.
    stage = StageUnderTest(stages=1, chunk_tokens=4)
    stage.open(prompt_tokens=10, max_tokens=3)
    stage.step(0, range(10))
    stage.settle()
    assert stage.engine.overlaps == []
    ran = [(step["position"], step["count"]) for step in stage.engine.steps]
    assert ran == [(0, 4), (4, 4), (8, 2), (10, 1), (11, 1)]
    tokens = stage.entry.messages(Token)
    assert [(t.position, t.final, t.finish_reason) for t in tokens] == [
        (10, False, ""),
        (11, False, ""),
        (12, True, "length"),
    ]


def test_activations_are_forwarded_and_steps_of_other_peers_refused():
    # Guards against a step accepted from a peer that is not the previous stage.
    stage = StageUnderTest()
    stage.open()
    stage.step(0, [1, 2, 3])
    stage.settle()
    forwarded = [
        (s.position, s.count, s.activation) for s in stage.next_hop.messages(Step)
    ]
    assert forwarded == [(0, 3, b"\xab\xab\xab")]
    other_sidecar = type(stage.last_stage)(LAST_STAGE._replace(incarnation="s3.x"))
    stage.step(3, [7], connection=other_sidecar)
    stage.settle()
    assert len(stage.engine.steps) == 1
    stage.step(3, [7], connection=stage.last_stage)
    stage.settle()
    assert stage.engine.steps[-1]["tokens"] == (7,)


def raise_on_steps(error):
    """Return a `before_result` hook that raises `error`."""

    def hook(steps):
        raise error

    return hook


def test_engine_crash_fails_open_attempts_and_reports_suspects():
    # Guards against an attempt that never ends, a suspect that is not reported, and a
    # `ran` that is false although a step was sent to the engine.
    stage = StageUnderTest()
    for request in ("r1", "r2", "r3"):
        stage.open(request)
    stage.step(0, [1, 2, 3], "r1")
    stage.settle()
    stage.engine.before_result = raise_on_steps(EngineLost("reset", crashed=True))
    stage.step(0, [1, 2, 3], "r2")
    stage.settle()
    failed = {
        message.request: message for message in stage.entry.messages(AttemptFailed)
    }
    assert {request: message.ran for request, message in failed.items()} == {
        "r1": True,
        "r2": True,
        "r3": False,
    }
    assert {message.suspects for message in failed.values()} == {("f-r2",)}
    assert len({message.incident for message in failed.values()}) == 1
    assert stage.stages.open_count == 0
    assert stage.open("r4").reason == "upstream_lost"


def test_engine_crash_makes_all_calls_in_flight_suspect():
    # Guards against a crash attributed to one call although the other one caused it.
    stage = StageUnderTest()
    unblock_first = gevent.event.Event()

    def block_first_and_lose_second(steps):
        if steps[0]["request"] == "r1":
            unblock_first.wait()
        raise EngineLost("reset", crashed=True)

    stage.engine.before_result = block_first_and_lose_second
    for request in ("r1", "r2"):
        stage.open(request)
        stage.step(0, [1, 2, 3], request)
        gevent.sleep(0)
    stage.settle()
    unblock_first.set()
    stage.settle()
    failed = stage.entry.messages(AttemptFailed)
    assert [sorted(message.suspects) for message in failed] == [["f-r1", "f-r2"]] * 2


def test_engine_timeout_reports_no_suspects():
    # Guards against requests that are quarantined as suspects after a pause of the VM.
    stage = StageUnderTest()
    stage.open()
    stage.engine.before_result = raise_on_steps(EngineLost("timed out", crashed=False))
    stage.step(0, [1, 2, 3])
    stage.settle()
    (failed,) = stage.entry.messages(AttemptFailed)
    assert failed.ran and (failed.suspects, failed.incident) == ((), "")


def test_late_call_failure_does_not_fail_newer_attempts():
    # Guards against attempts on a restarted engine that fail because of an older call.
    stage = StageUnderTest()
    unblock_first = gevent.event.Event()

    def block_first_and_lose_second(steps):
        if steps[0]["request"] == "r1":
            unblock_first.wait()
            raise EngineLost("timed out", crashed=False)
        if steps[0]["request"] == "r2":
            raise EngineLost("reset", crashed=True)

    stage.engine.before_result = block_first_and_lose_second
    for request in ("r1", "r2"):
        stage.open(request)
        stage.step(0, [1, 2, 3], request)
        gevent.sleep(0)
    stage.settle()
    stage.status.update(engine=ENGINE_STATE)
    stage.open("r3")
    unblock_first.set()
    stage.settle()
    assert [message.request for message in stage.entry.messages(AttemptFailed)] == [
        "r1",
        "r2",
    ]
    assert stage.stages.open_count == 1


def test_result_after_close_is_discarded():
    # Guards against a step or token sent for an attempt that its entry has closed.
    stage = StageUnderTest()
    stage.open()
    stage.step(0, [1, 2, 3])
    while not stage.engine.steps:
        gevent.sleep(0)
    stage.hub.receive(stage.entry, Close("r", 1, "cancelled"))
    stage.settle()
    assert not stage.next_hop.messages(Step) and not stage.entry.messages(AttemptFailed)


def test_unsent_call_is_reported_as_not_run():
    # Guards against `ran` for a request whose call could not connect to the engine, and
    # against a suspect that the engine never received.
    stage = StageUnderTest()
    stage.open()
    stage.engine.before_result = raise_on_steps(EngineUnreachable("refused"))
    stage.step(0, [1, 2, 3])
    stage.settle()
    (failed,) = stage.entry.messages(AttemptFailed)
    assert (failed.ran, failed.suspects, failed.incident) == (False, (), "")


@pytest.mark.parametrize(
    "fault",
    [
        "refused",
        "version",
        "adapters",
        "role",
        "error",
        "omitted",
        "malformed",
        "unexpected",
    ],
)
def test_invalid_result_fails_the_attempt(fault):
    # Guards against using a result of an engine that was changed by a stale order, and
    # against an attempt that stays open without a result.
    stage = StageUnderTest()
    stage.open()
    run_steps = stage.engine.run_steps

    def return_fault(steps):
        loaded_model, results = run_steps(steps)
        match fault:
            case "refused":
                raise EngineRefused(500, "out of memory")
            case "version":
                return loaded_model._replace(model_version="2"), results
            case "adapters":
                return loaded_model._replace(adapters=("other",)), results
            case "role":
                return loaded_model._replace(role="prefill"), results
            case "error":
                return loaded_model, {("r", 1): {"error": "no_kv_cache"}}
            case "omitted":
                return loaded_model, {}
            case "malformed":
                return loaded_model, {("r", 1): {"activation": "xyz"}}
            case "unexpected":
                return loaded_model, None

    stage.engine.run_steps = return_fault
    stage.step(0, [1, 2, 3])
    stage.settle(2 * RELEASE_DELAY_SECONDS)
    (failed,) = stage.entry.messages(AttemptFailed)
    assert failed.ran and failed.upstream == "s1"
    assert not stage.next_hop.messages(Step)
    assert stage.engine.released == [("r", 1)]


def test_lost_next_stage_is_reported_as_upstream_at_fault():
    # Guards against a retry that avoids this upstream instead of the lost one.
    stage = StageUnderTest()
    stage.open("r1")
    stage.open("r2")
    stage.step(0, [1, 2, 3], "r1")
    stage.next_hop.closed = True
    stage.settle()
    stage.stages.handle_next_hop_loss(LAST_STAGE.incarnation, "reset")
    failed = stage.entry.messages(AttemptFailed)
    assert {(message.request, message.upstream, message.ran) for message in failed} == {
        ("r1", "s2", True),
        ("r2", "s2", False),
    }


def test_refused_attempt_ends_the_previous_one():
    # Guards against an attempt that still runs after a later one was refused (rule R3).
    stage = StageUnderTest()
    stage.open(attempt=1)
    assert stage.open(attempt=3, model="other").reason.startswith("model_mismatch")
    stage.step(0, [1, 2, 3], attempt=1)
    stage.settle()
    assert stage.engine.steps == []
    assert stage.open(attempt=2).reason == "stale_attempt"
    assert stage.open(attempt=3).accepted


def test_pending_activations_are_bounded():
    # Guards against unbounded memory for activations at the sidecar of a slow stage.
    stage = StageUnderTest(max_pending_bytes=65_536)
    message = stage.make_open(stage=1, chain=stage.chain[::-1])
    budget = PendingByteBudget(limit=100)
    sequence = Sequence(message, stage.entry, budget, ENGINE_STATE.loaded_model)
    assert sequence.accept(Step("r", 1, 0, 10, (), bytes(80))) == "accepted"
    too_large = Step("r", 1, 10, 3, (), bytes(24))
    assert sequence.accept(too_large) == "stage_overloaded"
    assert sequence.take_next(4).activation == bytes(32) and budget.used == 48
    assert sequence.accept(too_large) == "accepted"
    sequence.close()
    assert budget.used == 0


def test_open_after_its_close_is_refused():
    # Guards against an attempt that stays open because its `Close` arrived first.
    stage = StageUnderTest()
    stage.hub.receive(stage.entry, Close("r", 2, "finished"))
    assert stage.open(attempt=1).reason == "stale_attempt"
    assert stage.open(attempt=2).reason == "stale_attempt"
    assert stage.open(attempt=3).accepted


@pytest.mark.parametrize("ran", [False, True])
def test_confirming_close_reports_whether_the_attempt_ran(ran):
    # Guards against a request reported as not run although its engine got a step.
    stage = StageUnderTest()
    stage.open()
    if ran:
        stage.step(0, [1, 2, 3])
        stage.settle()
    stage.hub.receive(stage.entry, Close("r", 1, CLOSE_AND_CONFIRM))
    assert stage.entry.messages(AttemptFailed)[-1].ran is ran


def test_steps_of_an_unknown_attempt_are_reported_to_the_entry():
    # Guards against an entry that waits for a stage that no longer knows the request.
    stage = StageUnderTest()
    stage.step(0, [1, 2, 3])
    assert stage.entry.messages(AttemptFailed)[-1].ran is False
    stage.open()
    stage.step(0, [1, 2, 3])
    stage.settle()
    stage.hub.receive(stage.entry, Close("r", 1, "finished"))
    stage.step(3, [4])
    assert stage.entry.messages(AttemptFailed)[-1].ran is True


def test_bound_key_opens_once():
    # Guards against a non-idempotent model request that runs in two attempts.
    stage = StageUnderTest()
    bound = {"binding_key": "k", "fingerprint": "f"}
    assert stage.open("r1", **bound).accepted
    refused = stage.open("r2", **bound)
    assert (refused.accepted, refused.outcome) == (False, "unknown")
    stage.hub.receive(stage.entry, Close("r1", 1, "cancelled"))
    assert stage.open("r3", **bound).outcome == "not_run"
    assert stage.open("r4", **bound, generation=1).accepted
    stage.step(0, [1, 2, 3], "r4")
    stage.settle()
    stage.hub.receive(stage.entry, Close("r4", 1, "finished"))
    assert stage.open("r5", **bound, generation=2).outcome == "unknown"


def chain_with(position, **changes):
    """Return a function that changes fields of the stage at `position` of a chain."""

    def change(chain):
        replaced = chain[position]._replace(**changes)
        return (*chain[:position], replaced, *chain[position + 1 :])

    return change


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"model": "n"}, "model_mismatch"),
        ({"model_version": "0"}, "model_mismatch"),
        ({"attempt": 0}, "malformed_open"),
        ({"weight": 0.0}, "malformed_open"),
        ({"weight": float("nan")}, "malformed_open"),
        ({"max_tokens": 0}, "malformed_open"),
        ({"priority": 10}, "malformed_open"),
        ({"stage": 2}, "malformed_open"),
        ({"chain": chain_with(1, first_layer=5)}, "malformed_open"),
        ({"chain": chain_with(1, first_layer=3)}, "malformed_open"),
        ({"chain": chain_with(1, end_layer=7)}, "chain_ends_early"),
        ({"chain": chain_with(0, incarnation="s1.old")}, "wrong_incarnation"),
        ({"chain": chain_with(0, upstream="s9")}, "wrong_upstream"),
    ],
)
def test_invalid_open_is_refused(changes, reason):
    # Guards against a chain that skips or repeats layers, and against invalid values
    # that would end the greenlet that serves the entry.
    stage = StageUnderTest()
    if "chain" in changes:
        changes = {"chain": changes["chain"](stage.chain)}
    refused = stage.open(**changes)
    assert (refused.accepted, refused.outcome) == (False, "not_run")
    assert refused.reason.startswith(reason)


def test_open_is_refused_for_limit_second_suspect_or_drain():
    # Guards against unbounded memory, and against two suspects running on one engine.
    stage = StageUnderTest(open_limit=2)
    assert stage.open("r1", solo=True).accepted
    assert stage.open("r2", solo=True).reason == "suspect_running"
    assert stage.open("r3").accepted
    assert stage.open("r4").reason == "upstream_full"
    stage.status.update(draining=True)
    assert stage.open("r5").reason == "upstream_draining"


def test_leaving_sidecar_accepts_opens_until_it_drains():
    # Guards against a planned stop that costs another attempt for a request that its
    # entry sent before it received the announcement.
    stage = StageUnderTest()
    stage.status.update(leaving=True)
    assert stage.status.describe_message(0).state == "draining"
    assert stage.open("r1").accepted
    stage.status.update(draining=True)
    assert stage.open("r2").reason == "upstream_draining"


def test_evicted_request_may_have_run():
    # Guards against "did not run" for a request that ran and was evicted since.
    attempts = EndedAttempts(limit=2)
    assert not attempts.may_have_run("r0")
    for number in range(3):
        attempts.record(f"r{number}", 1, ran=number == 0)
    assert attempts.may_have_run("r0") and not attempts.may_have_run("r2")
    attempts.record("r2", 3, ran=True)
    attempts.record("r2", 2, ran=False)
    assert attempts.is_stale("r2", 3) and attempts.may_have_run("r2")
