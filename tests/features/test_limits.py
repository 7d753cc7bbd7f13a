"""Steps of limits.feature."""

import time

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import most_at_once

pytestmark = pytest.mark.slow
scenarios("limits.feature")


@when("entry2 is cut off from everything but its upstreams")
def cut_off(world):
    for pair in world.cluster.links_of("entry2"):
        if not set(pair) & set(world.cluster.topology.upstream_names):
            world.cluster.set_link(*pair, cut=True)
    gevent.sleep(2)  # the others notice


@when("entry1 is paused for 4 seconds")
def pause(world):
    process = world.cluster.process("entry1")
    process.pause()
    world.tasks.append(gevent.spawn_later(4, process.resume))


@then(parsers.parse("at least {count:d} requests of limited ran at once"))
def some_at_once(world, count):
    # Guards against a load that never came near the limit.
    assert most_at_once(world) >= count


@then("each of them was answered whole or refused as not run")
def answered_or_refused(world):
    # Guards against requests that wait for a permit without an end.
    for answer in world.answers:
        assert answer.outcome in ("answered", "not_run"), answer.error
        if answer.outcome == "answered":
            assert tuple(answer.texts) == world.expected(answer)


@then(parsers.parse("at least {count:d} of them were answered"))
def some_answered(world, count):
    # Guards against a limit that holds because nothing is let through.
    assert sum(a.outcome == "answered" for a in world.answers) >= count


def calm_seconds(world, first):
    """Ask 6 times as the customer calm; return the mean time of an answer."""
    start = time.monotonic()
    for number in range(first, first + 6):
        entry = world.cluster.entries[number % len(world.cluster.entries)]
        world.calm.append(
            world.ask(entry=entry, customer="calm", number=number, max_tokens=12)
        )
    return (time.monotonic() - start) / 6


@given("the customer calm waits for its answers alone")
def calm_alone(world):
    world.calm = []
    world.cluster.ensure_customer("calm", concurrency=8)
    # A slot for 4 sequences makes the engines the bottleneck.
    world.alone = calm_seconds(world, 500)


@when(
    parsers.parse(
        "the customer flood sends {count:d} requests at once through all entries"
    )
)
def flood(world, count):
    world.cluster.ensure_customer("flood", concurrency=100)
    for number in range(count):
        entry = world.cluster.entries[number % len(world.cluster.entries)]
        world.ask_in_background(
            entry=entry, customer="flood", number=number, max_tokens=40
        )
    gevent.sleep(0.5)


@when("the customer calm asks again meanwhile")
def calm_meanwhile(world):
    world.flooded = calm_seconds(world, 600)
    still = sum(not task.ready() for task in world.tasks)
    assert still >= 20, "the flood was over before calm had its answers"
    gevent.killall(world.tasks)
    world.tasks.clear()


@then(parsers.parse("the answers of calm took at most {factor:d} times as long"))
def not_slowed(world, factor):
    # Guards against one queue for all customers.
    assert world.flooded <= factor * world.alone


@then("every answer of calm is whole")
def calm_whole(world):
    # Guards against refusals of one customer because of another.
    for answer in world.calm:
        assert (answer.outcome, answer.error) == ("answered", {})
        assert tuple(answer.texts) == world.expected(answer)
