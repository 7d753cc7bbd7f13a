"""Steps of late_messages.feature."""

import random

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import PREFERRED_CHAIN, wait_until

pytestmark = pytest.mark.slow
scenarios("late_messages.feature")

SEED = 20261204


def peer_links(cluster):
    """Return the links between our processes."""
    vms = {*cluster.entries, *cluster.topology.upstream_names}
    return [pair for pair in cluster.links_of(*vms) if set(pair) <= vms]


@given("every connection doubles 1 message in 5 and swaps 1 in 50")
def shuffle(world):
    for number, pair in enumerate(peer_links(world.cluster)):
        world.cluster.set_link(*pair, cut=True)
        faults = {"double_frames": 0.2, "swap_frames": 0.02, "seed": SEED + number}
        world.cluster.set_link(*pair, **faults)
    world.cluster.wait_connected()


@given("the connections between sidecars are late by up to 60 ms")
def late_sidecars(world):
    draw = random.Random(SEED)
    upstreams = set(world.cluster.topology.upstream_names)
    for pair in peer_links(world.cluster):
        if set(pair) <= upstreams:
            world.cluster.set_link(*pair, delay_up=draw.uniform(0.005, 0.06))


@when(
    parsers.parse(
        "{callers:d} callers ask for {tokens:d} tokens each through all entries"
    )
)
def many_callers(world, callers, tokens):
    entries = world.cluster.entries
    for number in range(callers):
        entry = entries[number % len(entries)]
        world.ask_in_background(entry=entry, number=number, max_tokens=tokens)
    world.join()


@then("messages were doubled and swapped")
def were_shuffled(world):
    # Guards against a scenario whose connections were left alone.
    states = world.cluster.link_states().values()
    assert sum(state["doubled"] for state in states) > 50
    assert sum(state["swapped"] for state in states) > 0


@then(parsers.parse("at least {count:d} answers are whole"))
def some_whole(world, count):
    # Guards against a product that gives up whenever messages are doubled.
    outcomes = [(answer.outcome, answer.error) for answer in world.answers]
    assert sum(outcome == "answered" for outcome, _ in outcomes) >= count, outcomes


def hold_back(world, after, tokens, source, target, direction):
    def hold(answer):
        if len(answer.texts) == after:
            world.cluster.set_link(source, target, stall=direction)

    world.ask_in_background(max_tokens=tokens, on_token=hold)
    world.held = (source, target)


@when(
    parsers.parse(
        "the link from stage 0 to stage 1 holds back everything after {after:d} of "
        "{tokens:d} tokens"
    )
)
def hold_steps(world, after, tokens):
    hold_back(world, after, tokens, PREFERRED_CHAIN[0], PREFERRED_CHAIN[1], "up")


@when(
    parsers.parse(
        "the link from stage 2 to the entry holds back everything after {after:d} of "
        "{tokens:d} tokens"
    )
)
def hold_tokens(world, after, tokens):
    hold_back(world, after, tokens, "entry0", PREFERRED_CHAIN[2], "down")


@when("the link lets everything through once a new attempt has begun")
def let_through(world):
    def new_attempt():
        running = world.cluster.dump("entry0")["frontend"]["running"]
        return any(request["attempt"] > 1 for request in running.values())

    wait_until(new_attempt, "a new attempt", 15)
    gevent.sleep(0.1)
    world.cluster.set_link(*world.held)
    world.join()
