"""Steps of entry_dies.feature."""

import gevent
import pytest
from pytest_bdd import parsers, scenarios, then, when

pytestmark = pytest.mark.slow
scenarios("entry_dies.feature")


@when(parsers.parse("entry0 is killed after {after:d} of {tokens:d} tokens"))
def kill_entry(world, after, tokens):
    def kill(answer):
        if len(answer.texts) == after:
            world.cluster.process("entry0").kill()

    world.ask(entry="entry0", max_tokens=tokens, on_token=kill)


@then("the caller has a true beginning of the answer and no end")
def broken_answer(world):
    # Guards against an entry that outlives the fault, and against foreign tokens.
    (answer,) = world.answers
    assert answer.outcome == "broken"
    assert 0 < len(answer.texts) < answer.max_tokens
    assert tuple(answer.texts) == world.expected(answer)[: len(answer.texts)]


@then(parsers.parse("{seconds:d} seconds later no engine runs that request any more"))
def request_cancelled(world, seconds):
    # Guards against work that goes on for a caller who is gone.
    request = world.answers[0].request_id
    gevent.sleep(seconds)
    before = [run for run in world.history.runs() if run.request == request]
    gevent.sleep(0.5)
    after = [run for run in world.history.runs() if run.request == request]
    assert before == after != []
    last = world.answers[0].prompt_tokens + world.answers[0].max_tokens - 2
    assert max(run.position for run in after) < last, "it was whole before the cancel"


@when("the caller sends the request again through entry1")
def resend(world):
    first = world.answers[0]
    for engine in world.cluster.topology.engines:
        world.cluster.set_faults(f"{engine.name}/upstream")
    world.ask(entry="entry1", max_tokens=first.max_tokens, seed=first.seed)


@then("the second answer is whole and identical to the undisturbed one")
def second_whole(world):
    # Guards against a resend that is mixed up with what is left of the first request.
    answer = world.answers[1]
    assert (answer.outcome, answer.error) == ("answered", {})
    assert tuple(answer.texts) == world.expected(answer)
