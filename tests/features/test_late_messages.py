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
    """Return the links between entries and sidecars."""
    vms = {*cluster.entries, *cluster.topology.upstream_names}
    return [pair for pair in cluster.links_of(*vms) if set(pair) <= vms]


@given("every connection duplicates 1 message in 5 and reorders 1 in 50")
def duplicate_and_reorder(context):
    for number, pair in enumerate(peer_links(context.cluster)):
        context.cluster.set_link(*pair, cut=True)
        faults = {"double_frames": 0.2, "swap_frames": 0.02, "seed": SEED + number}
        context.cluster.set_link(*pair, **faults)
    context.cluster.wait_connected()


@given("the connections between sidecars are delayed by up to 60 ms")
def delay_sidecar_links(context):
    draw = random.Random(SEED)
    upstreams = set(context.cluster.topology.upstream_names)
    for pair in peer_links(context.cluster):
        if set(pair) <= upstreams:
            context.cluster.set_link(*pair, delay_up=draw.uniform(0.005, 0.06))


@when(
    parsers.parse(
        "{callers:d} callers request {tokens:d} tokens each through all entries"
    )
)
def many_callers(context, callers, tokens):
    entries = context.cluster.entries
    for number in range(callers):
        entry = entries[number % len(entries)]
        context.send_in_background(entry=entry, number=number, max_tokens=tokens)
    context.join()


@then("messages were duplicated and reordered")
def messages_disturbed(context):
    # Guards against faults that were never injected.
    states = context.cluster.link_states().values()
    assert sum(state["doubled"] for state in states) > 50
    assert sum(state["swapped"] for state in states) > 0


@then(parsers.parse("at least {count:d} answers are complete"))
def some_complete(context, count):
    # Guards against a router that aborts requests whenever messages are duplicated.
    outcomes = [(answer.outcome, answer.error) for answer in context.answers]
    assert sum(outcome == "answered" for outcome, _ in outcomes) >= count, outcomes


def stall_after(context, after, tokens, source, target, direction):
    def stall(answer):
        if len(answer.texts) == after:
            context.cluster.set_link(source, target, stall=direction)

    context.send_in_background(max_tokens=tokens, on_token=stall)
    context.stalled_link = (source, target)


@when(
    parsers.parse(
        "the link from stage 0 to stage 1 stalls after {after:d} of {tokens:d} tokens"
    )
)
def stall_steps(context, after, tokens):
    stall_after(context, after, tokens, PREFERRED_CHAIN[0], PREFERRED_CHAIN[1], "up")


@when(
    parsers.parse(
        "the link from stage 2 to the entry stalls after {after:d} of {tokens:d} tokens"
    )
)
def stall_tokens(context, after, tokens):
    stall_after(context, after, tokens, "entry0", PREFERRED_CHAIN[2], "down")


@when("the link recovers once a new attempt has begun")
def restore_link(context):
    def new_attempt():
        running = context.cluster.dump("entry0")["frontend"]["running"]
        return any(request["attempt"] > 1 for request in running.values())

    wait_until(new_attempt, "a new attempt", 15)
    gevent.sleep(0.1)
    context.cluster.set_link(*context.stalled_link)
    context.join()
