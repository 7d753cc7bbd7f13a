"""A stage runs each position once, in order, and tells truly what ran."""

import gevent
import gevent.event
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from tests.unit.stage_fakes import LAST, STATE, StageUnderTest

from bulrushdrum._internal.peering.messages import AttemptFailed, Close, Step, Token
from bulrushdrum._internal.sidecar.errors import (
    EngineLost,
    EngineRefused,
    EngineUnreachable,
)
from bulrushdrum._internal.sidecar.releases import DELAY_SECONDS
from bulrushdrum._internal.sidecar.sequences import (
    AttemptMemory,
    PendingBytes,
    Sequence,
)
from bulrushdrum._internal.sidecar.stages import CLOSE_AND_CONFIRM

steps_of_any_attempt = st.tuples(
    st.just("step"), st.integers(1, 3), st.integers(0, 5), st.integers(1, 3)
)
opens = st.tuples(st.just("open"), st.integers(1, 3))
closes = st.tuples(st.just("close"), st.integers(1, 3))
# The step that is really next, so that examples get further than the first position.
next_steps = st.tuples(st.just("next"), st.integers(1, 3))
pauses = st.tuples(st.just("pause"), st.integers(0, 3))


@seed(20261204)
@settings(max_examples=400, deadline=None)
@given(
    st.lists(
        st.one_of(steps_of_any_attempt, next_steps, opens, closes, pauses), max_size=30
    ),
    st.integers(1, 3),
)
def test_late_doubled_and_reordered_messages_break_no_rule(messages, chunk):
    # Guards against a position that runs twice, out of order, or for an old attempt:
    # rules R1 and R3. Messages of three attempts arrive in any order and number.
    stage = StageUnderTest(chunk_tokens=chunk)
    highest, old = 0, []
    stage.engine.fail = lambda steps: old.extend(
        step for step in steps if step["attempt"] < highest
    )
    for message in messages:
        match message:
            case "open", attempt:
                if stage.open(attempt=attempt).accepted:
                    assert attempt >= highest
                    highest = attempt
            case "close", attempt:
                stage.hub.receive(stage.entry, Close("r", attempt, "finished"))
            case "step", attempt, position, count:
                stage.step(position, range(count), attempt=attempt)
            case "next", count:
                for sequence in stage.stages.sequences():
                    position, attempt = sequence.next_position, sequence.open.attempt
                    stage.step(position, range(count), attempt=attempt)
            case "pause", switches:
                for _ in range(switches):
                    gevent.sleep(0)
    stage.settle()
    assert old == [] and stage.engine.overlaps == []
    for attempt in (1, 2, 3):
        ran = [s for s in stage.engine.steps if s["attempt"] == attempt]
        expected = 0
        for step in ran:
            assert step["position"] == expected
            assert step["count"] == len(step["tokens"]) <= chunk
            expected += step["count"]


def test_a_prompt_is_split_and_gives_one_token():
    # Guards against a token for every part of the prompt, and against parts that
    # overlap at the engine because two calls are under way.
    stage = StageUnderTest(stages=1, chunk_tokens=4)
    stage.open(prompt_tokens=10, max_tokens=3)
    stage.step(0, range(10))
    stage.settle()
    assert stage.engine.overlaps == []
    ran = [(step["position"], step["count"]) for step in stage.engine.steps]
    assert ran == [(0, 4), (4, 4), (8, 2), (10, 1), (11, 1)]
    tokens = stage.entry.of(Token)
    assert [(t.position, t.final, t.finish_reason) for t in tokens] == [
        (10, False, ""),
        (11, False, ""),
        (12, True, "length"),
    ]


def test_activations_go_to_the_next_stage_and_only_its_tokens_come_back():
    # Guards against a step taken from a peer that is not the stage before this one.
    stage = StageUnderTest()
    stage.open()
    stage.step(0, [1, 2, 3])
    stage.settle()
    forwarded = [(s.position, s.count, s.activation) for s in stage.next.of(Step)]
    assert forwarded == [(0, 3, b"\xab\xab\xab")]
    stranger = type(stage.last)(LAST._replace(incarnation="s3.x"))
    stage.step(3, [7], peer=stranger)
    stage.settle()
    assert len(stage.engine.steps) == 1
    stage.step(3, [7], peer=stage.last)
    stage.settle()
    assert stage.engine.steps[-1]["tokens"] == (7,)


def fails_with(error):
    def fail(steps):
        raise error

    return fail


def test_a_dead_engine_fails_everything_open_and_names_the_suspects():
    # Guards against an attempt that waits for ever, a suspect that goes unreported, and
    # a `ran` that is false although the engine was given a step.
    stage = StageUnderTest()
    for request in ("r1", "r2", "r3"):
        stage.open(request)
    stage.step(0, [1, 2, 3], "r1")
    stage.settle()
    stage.engine.fail = fails_with(EngineLost("reset", crashed=True))
    stage.step(0, [1, 2, 3], "r2")
    stage.settle()
    failed = {one.request: one for one in stage.entry.of(AttemptFailed)}
    assert {name: one.ran for name, one in failed.items()} == {
        "r1": True,
        "r2": True,
        "r3": False,
    }
    assert {one.suspects for one in failed.values()} == {("f-r2",)}
    assert len({one.incident for one in failed.values()}) == 1
    assert stage.stages.open_count == 0
    assert stage.open("r4").reason == "upstream_lost"


def test_all_calls_in_flight_are_suspect_when_the_engine_dies():
    # Guards against a crash blamed on one call while the other one caused it.
    stage = StageUnderTest()
    released = gevent.event.Event()

    def block_first_and_lose_second(steps):
        if steps[0]["request"] == "r1":
            released.wait()
        raise EngineLost("reset", crashed=True)

    stage.engine.fail = block_first_and_lose_second
    for request in ("r1", "r2"):
        stage.open(request)
        stage.step(0, [1, 2, 3], request)
        gevent.sleep(0)
    stage.settle()
    released.set()
    stage.settle()
    failed = stage.entry.of(AttemptFailed)
    assert [sorted(one.suspects) for one in failed] == [["f-r1", "f-r2"]] * 2


def test_a_stalled_engine_makes_no_suspects():
    # Guards against innocent requests that are kept apart after a pause of their VM.
    stage = StageUnderTest()
    stage.open()
    stage.engine.fail = fails_with(EngineLost("timed out", crashed=False))
    stage.step(0, [1, 2, 3])
    stage.settle()
    (failed,) = stage.entry.of(AttemptFailed)
    assert failed.ran and (failed.suspects, failed.incident) == ((), "")


def test_a_late_failure_spares_what_was_opened_after_the_loss():
    # Guards against attempts on a new engine that fail with a call to the old one.
    stage = StageUnderTest()
    released = gevent.event.Event()

    def block_first_and_lose_second(steps):
        if steps[0]["request"] == "r1":
            released.wait()
            raise EngineLost("timed out", crashed=False)
        if steps[0]["request"] == "r2":
            raise EngineLost("reset", crashed=True)

    stage.engine.fail = block_first_and_lose_second
    for request in ("r1", "r2"):
        stage.open(request)
        stage.step(0, [1, 2, 3], request)
        gevent.sleep(0)
    stage.settle()
    stage.status.update(engine=STATE)
    stage.open("r3")
    released.set()
    stage.settle()
    assert [one.request for one in stage.entry.of(AttemptFailed)] == ["r1", "r2"]
    assert stage.stages.open_count == 1


def test_a_result_after_the_close_goes_nowhere():
    # Guards against a step or token of an attempt that its entry has ended.
    stage = StageUnderTest()
    stage.open()
    stage.step(0, [1, 2, 3])
    while not stage.engine.steps:
        gevent.sleep(0)
    stage.hub.receive(stage.entry, Close("r", 1, "cancelled"))
    stage.settle()
    assert not stage.next.of(Step) and not stage.entry.of(AttemptFailed)


def test_a_call_that_was_not_sent_did_not_run():
    # Guards against `ran` for a request whose call found no connection to the engine,
    # and against a suspect that never reached it.
    stage = StageUnderTest()
    stage.open()
    stage.engine.fail = fails_with(EngineUnreachable("refused"))
    stage.step(0, [1, 2, 3])
    stage.settle()
    (failed,) = stage.entry.of(AttemptFailed)
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
        "unforeseen",
    ],
)
def test_a_bad_result_fails_the_attempt(fault):
    # Guards against a result of an engine that a stale order has changed, and against
    # an attempt that stays open without a result.
    stage = StageUnderTest()
    stage.open()
    run = stage.engine.run_steps

    def answer(steps):
        loaded_model, results = run(steps)
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
            case "unforeseen":
                return loaded_model, None

    stage.engine.run_steps = answer
    stage.step(0, [1, 2, 3])
    stage.settle(2 * DELAY_SECONDS)
    (failed,) = stage.entry.of(AttemptFailed)
    assert failed.ran and failed.upstream == "s1"
    assert not stage.next.of(Step)
    assert stage.engine.released == [("r", 1)]


def test_a_lost_next_stage_is_named_as_the_one_at_fault():
    # Guards against a retry that avoids this upstream instead of the broken one.
    stage = StageUnderTest()
    stage.open("r1")
    stage.open("r2")
    stage.step(0, [1, 2, 3], "r1")
    stage.next.closed = True
    stage.settle()
    stage.stages.next_hop_lost(LAST.incarnation, "reset")
    failed = stage.entry.of(AttemptFailed)
    assert {(one.request, one.upstream, one.ran) for one in failed} == {
        ("r1", "s2", True),
        ("r2", "s2", False),
    }


def test_a_refused_attempt_ends_the_one_before():
    # Guards against an old attempt that goes on because the new one was refused (R3).
    stage = StageUnderTest()
    stage.open(attempt=1)
    assert stage.open(attempt=3, model="other").reason.startswith("model_mismatch")
    stage.step(0, [1, 2, 3], attempt=1)
    stage.settle()
    assert stage.engine.steps == []
    assert stage.open(attempt=2).reason == "stale_attempt"
    assert stage.open(attempt=3).accepted


def test_waiting_activations_are_bounded():
    # Guards against a slow stage whose sidecar holds the activations of all prompts.
    stage = StageUnderTest(max_pending_bytes=65_536)
    asked = stage.make_open(stage=1, chain=stage.chain[::-1])
    pending = PendingBytes(limit=100)
    sequence = Sequence(asked, stage.entry, pending, STATE.loaded_model)
    assert sequence.accept(Step("r", 1, 0, 10, (), bytes(80))) == "accepted"
    too_much = Step("r", 1, 10, 3, (), bytes(24))
    assert sequence.accept(too_much) == "stage_overloaded"
    assert sequence.take(4).activation == bytes(32) and pending.used == 48
    assert sequence.accept(too_much) == "accepted"
    sequence.close()
    assert pending.used == 0


def test_a_close_before_its_open_keeps_the_attempt_closed():
    # Guards against an attempt that nobody will close, because its messages overtook.
    stage = StageUnderTest()
    stage.hub.receive(stage.entry, Close("r", 2, "finished"))
    assert stage.open(attempt=1).reason == "stale_attempt"
    assert stage.open(attempt=2).reason == "stale_attempt"
    assert stage.open(attempt=3).accepted


@pytest.mark.parametrize("ran", [False, True])
def test_a_close_can_ask_whether_the_attempt_ran(ran):
    # Guards against a request reported as not run although its engine had a step.
    stage = StageUnderTest()
    stage.open()
    if ran:
        stage.step(0, [1, 2, 3])
        stage.settle()
    stage.hub.receive(stage.entry, Close("r", 1, CLOSE_AND_CONFIRM))
    assert stage.entry.of(AttemptFailed)[-1].ran is ran


def test_steps_of_an_unknown_attempt_are_answered_to_the_entry():
    # Guards against an entry that waits for a stage which has forgotten its request.
    stage = StageUnderTest()
    stage.step(0, [1, 2, 3])
    assert stage.entry.of(AttemptFailed)[-1].ran is False
    stage.open()
    stage.step(0, [1, 2, 3])
    stage.settle()
    stage.hub.receive(stage.entry, Close("r", 1, "finished"))
    stage.step(3, [4])
    assert stage.entry.of(AttemptFailed)[-1].ran is True


def test_a_bound_key_opens_once():
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
def test_an_open_that_cannot_be_served_is_refused(changes, reason):
    # Guards against a chain that skips or doubles layers, and against bad values that
    # would end the greenlet which serves the entry.
    stage = StageUnderTest()
    if "chain" in changes:
        changes = {"chain": changes["chain"](stage.chain)}
    refused = stage.open(**changes)
    assert (refused.accepted, refused.outcome) == (False, "not_run")
    assert refused.reason.startswith(reason)


def test_limits_and_suspects_refuse_an_open():
    # Guards against unbounded memory, and against two suspects on one engine.
    stage = StageUnderTest(open_limit=2)
    assert stage.open("r1", solo=True).accepted
    assert stage.open("r2", solo=True).reason == "suspect_running"
    assert stage.open("r3").accepted
    assert stage.open("r4").reason == "upstream_full"
    stage.status.update(draining=True)
    assert stage.open("r5").reason == "upstream_draining"


def test_a_leaving_sidecar_takes_what_entries_sent_before_they_heard_of_it():
    # Guards against a planned stop that costs a request another attempt.
    stage = StageUnderTest()
    stage.status.update(leaving=True)
    assert stage.status.describe(0).state == "draining"
    assert stage.open("r1").accepted
    stage.status.update(draining=True)
    assert stage.open("r2").reason == "upstream_draining"


def test_the_memory_of_attempts_never_claims_too_much():
    # Guards against "did not run" for a request that was evicted from the memory.
    memory = AttemptMemory(limit=2)
    assert not memory.may_have_run("r0")
    for number in range(3):
        memory.remember(f"r{number}", 1, ran=number == 0)
    assert memory.may_have_run("r0") and not memory.may_have_run("r2")
    memory.remember("r2", 3, ran=True)
    memory.remember("r2", 2, ran=False)
    assert memory.is_stale("r2", 3) and memory.may_have_run("r2")
