"""Steps of limits.feature."""

import secrets
import time
from collections import Counter

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import most_at_once, standard_system

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


def running(world):
    return [
        name for name in world.cluster.entries if world.cluster.process(name).running
    ]


@then(parsers.parse("at least {count:d} requests of limited ran at once"))
def some_at_once(world, count):
    # Guards against a load that never came near the limit.
    outcomes = Counter((a.outcome, a.error.get("code")) for a in world.answers)
    permits = {name: world.cluster.dump(name)["permits"] for name in running(world)}
    print(outcomes, permits)
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


@given("the customer limited has been served at every entry")
def served_before(world):
    # The first request of a customer may wait for the entries to agree on its permits.
    for number, entry in enumerate(world.cluster.entries):
        answer = world.ask(
            entry=entry, customer=world.limited, number=700 + number, max_tokens=2
        )
        assert answer.outcome == "answered", answer.error
    world.answers.clear()


@when("a new customer asks entry0 and entry1")
def new_customer(world):
    name = f"new-{secrets.token_hex(4)}"
    world.cluster.put_customer("entry0", name)
    for number, entry in enumerate(("entry0", "entry1")):
        world.cluster.wait_customer(entry, name)
        world.ask(entry=entry, customer=name, number=number, max_tokens=4)


@given("a system with 3 entries and engines with 4 slots")
def small_engines(world):
    world.use(standard_system(3, engine={"slots": 4, "iteration_ms": 4.0}))


@given("the customer calm has its answers with nobody else there")
def calm_alone(world):
    world.calm = []
    world.cluster.ensure_customer("calm", concurrency=8)
    calm_seconds(world, 400)
    world.alone = calm_seconds(world, 500)


@when(
    parsers.parse(
        "the customer flood keeps {count:d} requests in progress through all entries"
    )
)
def flood(world, count):
    world.cluster.ensure_customer("flood", concurrency=count)
    entries = [world.cluster.entries[n % 3] for n in range(count)]
    world.flooding = True
    world.keep_asking(
        entries, lambda: not world.flooding, customer="flood", max_tokens=40
    )
    gevent.sleep(2)


@when("the customer calm asks again meanwhile")
def calm_meanwhile(world):
    running = [dump_of(world, name)["in_progress"] for name in world.cluster.entries]
    world.flooded = calm_seconds(world, 600)
    world.flooding = False
    # Without a queue the flood would prove nothing.
    assert sum(running) >= 40, running
    print(f"calm alone {world.alone:.3f} s, flooded {world.flooded:.3f} s")
    world.join()


def dump_of(world, entry):
    return world.cluster.dump(entry)["frontend"]


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
