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
# Not in any other prompt, and above the ids of all answer tokens.
POISON = "~"


@given(
    parsers.parse(
        "a system with {entries:d} entries and {engines:d} engines in the first stage"
    )
)
def wide_system(world, entries, engines):
    topology = standard_system(entries)
    first = topology.engines[0]
    wide = tuple(
        EngineSpec(f"s0-{n}", "ab"[n % 2], first.first, first.end, 4_000.0)
        for n in range(engines)
    )
    others = tuple(e for e in topology.engines if e.first != first.first)
    world.use(replace(topology, engines=wide + others))
    world.first_stage = [spec.name for spec in wide]


@given("a request that crashes every engine of the first stage")
def poison(world):
    for engine in world.first_stage:
        world.cluster.set_faults(
            f"{engine}/upstream", crash_on_token=ord(POISON), delay_seconds=0.02
        )


@given(parsers.parse("{count:d} other requests are running"))
def others(world, count):
    for number in range(count):
        entry = f"entry{number % len(world.cluster.entries)}"
        world.ask_in_background(entry=entry, number=number, max_tokens=60)
    gevent.sleep(0.3)


def send_poison(world, entry):
    world.cluster.ensure_customer("odd")
    prompt = f"{world.prompt()} {POISON}"
    answer = world.caller("odd").chat(
        world.cluster.http(entry), prompt, seed=1, max_tokens=8
    )
    world.poisoned.append(answer)


@when("the request is sent through every entry, one after another")
def send_in_turn(world):
    world.poisoned = []
    for entry in world.cluster.entries:
        send_poison(world, entry)
    world.join()


@when("the request is sent through every entry at once, and then again")
def send_at_once(world):
    world.poisoned = []
    world.cluster.ensure_customer("odd")
    for _ in range(2):
        gevent.joinall(
            [gevent.spawn(send_poison, world, e) for e in world.cluster.entries]
        )
    world.join()


def dead_engines(world):
    return [
        engine
        for engine in world.first_stage
        if world.cluster.process(f"{engine}/upstream").exit_code == CRASH_STATUS
    ]


@then(parsers.parse("at most {count:d} engines have died"))
def few_died(world, count):
    # Guards against one request that takes the whole pool down.
    assert len(dead_engines(world)) <= count


@then(parsers.parse("at least {count:d} engine has died"))
def some_died(world, count):
    # Guards against a request that crashed nothing.
    assert len(dead_engines(world)) >= count


@then("the request never got an answer, and was refused at the end")
def poison_refused(world):
    # Guards against a conviction that never comes, or that other entries never learn.
    assert {answer.outcome for answer in world.poisoned} <= {"not_run", "unknown"}
    last = world.poisoned[-1]
    assert last.error["code"] == "request_crashes_upstreams"


@then("every other answer is whole and identical to the undisturbed one")
def others_whole(world):
    # Guards against innocent requests that are convicted or cut off.
    assert len(world.answers) == 12
    for answer in world.answers:
        assert (answer.outcome, answer.error) == ("answered", {}), answer.error
        assert tuple(answer.texts) == world.expected(answer)
