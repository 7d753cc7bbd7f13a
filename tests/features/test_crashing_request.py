"""Steps of crashing_request.feature."""

from dataclasses import replace

import gevent
import pytest
from bench.topology import EngineSpec
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import standard_system

pytestmark = pytest.mark.slow
scenarios("crashing_request.feature")

CRASH_STATUS = 70
# Occurs in no other prompt; its id is above those of all answer tokens.
POISON = "~"


@given(
    parsers.parse(
        "a system with {entries:d} entries and {engines:d} engines in the first stage"
    )
)
def wide_system(context, entries, engines):
    topology = standard_system(entries)
    first = topology.engines[0]
    wide = tuple(
        EngineSpec(f"s0-{n}", "ab"[n % 2], first.first, first.end, 4_000.0)
        for n in range(engines)
    )
    others = tuple(e for e in topology.engines if e.first != first.first)
    context.use(replace(topology, engines=wide + others))
    context.first_stage = [spec.name for spec in wide]


@given("a request that crashes every engine of the first stage")
def poison(context):
    for engine in context.first_stage:
        context.cluster.set_faults(
            f"{engine}/upstream", crash_on_token=ord(POISON), delay_seconds=0.02
        )


@given(parsers.parse("{count:d} other requests are running"))
def others(context, count):
    for number in range(count):
        entry = f"entry{number % len(context.cluster.entries)}"
        context.send_in_background(entry=entry, number=number, max_tokens=60)
    gevent.sleep(0.3)


def send_poison(context, entry):
    context.cluster.ensure_customer("odd")
    prompt = f"{context.prompt()} {POISON}"
    answer = context.caller("odd").chat(
        context.cluster.http(entry), prompt, seed=1, max_tokens=8
    )
    context.poison_answers.append(answer)


@when("the request is sent through every entry in turn")
def send_in_turn(context):
    context.poison_answers = []
    for entry in context.cluster.entries:
        send_poison(context, entry)
    context.join()


@when("the request is sent twice through every entry concurrently")
def send_concurrently(context):
    context.poison_answers = []
    context.cluster.ensure_customer("odd")
    for _ in range(2):
        gevent.joinall(
            [gevent.spawn(send_poison, context, e) for e in context.cluster.entries]
        )
    context.join()


def dead_engines(context):
    return [
        engine
        for engine in context.first_stage
        if context.cluster.process(f"{engine}/upstream").exit_code == CRASH_STATUS
    ]


@then(parsers.parse("at most {count:d} engines have died"))
def few_died(context, count):
    # Guards against one request that crashes the whole pool.
    assert len(dead_engines(context)) <= count


@then(parsers.parse("at least {count:d} engine has died"))
def some_died(context, count):
    # Guards against a request that crashed no engine.
    assert len(dead_engines(context)) >= count


@then("the request was never answered and was finally refused")
def poison_refused(context):
    # Guards against a request that is never quarantined, or only at one entry.
    assert {answer.outcome for answer in context.poison_answers} <= {
        "not_run",
        "unknown",
    }
    last = context.poison_answers[-1]
    assert last.error["code"] == "request_crashes_upstreams"


@then("every other answer is complete and equals the fault-free answer")
def others_complete(context):
    # Guards against other requests that are quarantined or aborted.
    assert len(context.answers) == 12
    for answer in context.answers:
        assert (answer.outcome, answer.error) == ("answered", {}), answer.error
        assert tuple(answer.texts) == context.expected(answer)
