"""Steps that all features share.

The features run real processes. A system is started when a scenario asks for another
one than the scenario before; otherwise the running one is repaired and used again.
"""

import gevent
import pytest
from pytest_bdd import given, parsers, then, when
from running_system import Systems, World, largest_overlap, standard_system


@pytest.fixture(scope="session")
def systems():
    systems = Systems()
    yield systems
    systems.close()


@pytest.fixture
def world(systems, request):
    world = World(systems, request.node.name)
    yield world
    gevent.killall(world.tasks)


@given(parsers.parse("a system with {entries:d} entries and three stages of engines"))
def system(world, entries):
    world.use(standard_system(entries))


@given(
    parsers.parse(
        "a system with {entries:d} entries, three stages of engines and a plain service"
    )
)
def system_with_service(world, entries):
    world.use(standard_system(entries, services=2))


@given(parsers.parse("a system with {entries:d} entries and one engine for each stage"))
def narrow_system(world, entries):
    world.use(standard_system(entries, replicas=1))


@given(parsers.parse("each engine takes {milliseconds:d} ms for a step"))
def slow_engines(world, milliseconds):
    for engine in world.cluster.topology.engines:
        world.cluster.set_faults(
            f"{engine.name}/upstream", delay_seconds=milliseconds / 1000
        )


@when("all requests have ended")
def all_ended(world):
    world.join()


@then("the answer is whole and identical to the undisturbed one")
@then("every answer is whole and identical to the undisturbed one")
def answers_whole(world):
    # Guards against lost, doubled and foreign tokens after a failure.
    assert world.answers
    for answer in world.answers:
        assert (answer.outcome, answer.error) == ("answered", {})
        assert tuple(answer.texts) == world.expected(answer)


@then("the journals pass")
def journals_pass(world):
    # Guards against a layer that runs twice, is skipped, or runs for an old attempt.
    verdict = world.check()
    assert verdict.violations == []
    assert verdict.runs > 0


@then(parsers.parse("the request took {attempts:d} attempts"))
def attempts_taken(world, attempts):
    # Guards against a scenario whose fault never happened, and against idle retries.
    assert [answer.attempts for answer in world.answers] == [attempts]


@then("nobody received a token of another answer")
def own_tokens_only(world):
    # Guards against tokens that reach the wrong caller, also in unfinished answers.
    assert world.answers
    for answer in world.answers:
        expected = world.expected(answer)
        assert tuple(answer.texts) == expected[: len(answer.texts)]
        assert answer.outcome != "answered" or len(answer.texts) == len(expected)


@given(parsers.parse("the customer limited may run {limit:d} requests at a time"))
def limited_customer(world, limit):
    world.limited = f"limited-{limit}"
    world.cluster.ensure_customer(world.limited, concurrency=limit)


@when(
    parsers.parse(
        "{count:d} requests of limited for {tokens:d} tokens arrive at all entries "
        "within a second"
    )
)
def many_limited(world, count, tokens):
    tasks = []
    for number in range(count):
        entry = world.cluster.entries[number % len(world.cluster.entries)]
        task = world.ask_in_background(
            entry=entry, customer=world.limited, number=number, max_tokens=tokens
        )
        tasks.append(task)
        gevent.sleep(1 / count)
    world.join(tasks)


@then(parsers.parse("never more than {limit:d} requests of limited ran at once"))
def never_over(world, limit):
    # Guards against permits that two entries believe to be theirs.
    running = largest_overlap(world)
    assert len(running) <= limit, running


@then("the journals have no run of a request that was refused as not run")
def refused_did_not_run(world):
    # Guards against a refusal that tempts the caller to run the request twice.
    ran = {run.request for run in world.history.runs()}
    refused = [a for a in world.answers if a.outcome == "not_run"]
    assert [a for a in refused if a.request_id in ran] == []
    # Without an id the journals could not show that the request ran.
    assert [a.error for a in refused if not a.request_id and a.status != 401] == []


@then(parsers.parse("the request took at least {attempts:d} attempts"))
def at_least_attempts(world, attempts):
    # Guards against a scenario whose fault did not hit the request.
    assert all(answer.attempts >= attempts for answer in world.answers)
