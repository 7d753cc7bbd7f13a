"""Steps of entry_dies.feature."""

import gevent
import pytest
from pytest_bdd import parsers, scenarios, then, when

pytestmark = pytest.mark.slow
scenarios("entry_dies.feature")


@when(parsers.parse("entry0 is killed after {after:d} of {tokens:d} tokens"))
def kill_entry(context, after, tokens):
    def kill(answer):
        if len(answer.texts) == after:
            context.cluster.process("entry0").kill()

    context.send(entry="entry0", max_tokens=tokens, on_token=kill)


@then("the caller received a correct but incomplete answer")
def incomplete_answer(context):
    # Guards against an entry that survived the fault, and against misrouted tokens.
    (answer,) = context.answers
    assert answer.outcome == "broken"
    assert 0 < len(answer.texts) < answer.max_tokens
    assert tuple(answer.texts) == context.expected(answer)[: len(answer.texts)]


@then(parsers.parse("after {seconds:d} seconds no engine runs that request"))
def request_cancelled(context, seconds):
    # Guards against engines that keep working for a disconnected caller.
    request = context.answers[0].request_id
    gevent.sleep(seconds)
    before = [run for run in context.history.runs() if run.request == request]
    gevent.sleep(0.5)
    after = [run for run in context.history.runs() if run.request == request]
    assert before == after != []
    last = context.answers[0].prompt_tokens + context.answers[0].max_tokens - 2
    assert max(run.position for run in after) < last, (
        "the request completed before it was cancelled"
    )


@when("the caller resends the request through entry1")
def resend(context):
    first = context.answers[0]
    for engine in context.cluster.topology.engines:
        context.cluster.set_faults(f"{engine.name}/upstream")
    context.send(entry="entry1", max_tokens=first.max_tokens, seed=first.seed)


@then("the second answer is complete and equals the fault-free answer")
def second_complete(context):
    # Guards against a resend that is mixed with the remains of the first request.
    answer = context.answers[1]
    assert (answer.outcome, answer.error) == ("answered", {})
    assert tuple(answer.texts) == context.expected(answer)
