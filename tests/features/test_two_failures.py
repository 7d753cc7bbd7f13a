"""Steps of two_failures.feature.

`BULRUSHDRUM_SEED=n` overrides the seed of all its scenarios.
"""

import os
import random
import time

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

pytestmark = pytest.mark.slow
scenarios("two_failures.feature")


def engine_dies(cluster, draw):
    engine = draw.choice(cluster.topology.upstream_names)
    cluster.process(f"{engine}/upstream").kill()
    return f"engine of {engine} dies"


def vm_dies(cluster, draw):
    upstream = draw.choice(cluster.topology.upstream_names)
    cluster.kill_vm(upstream)
    return f"VM of {upstream} dies"


def sidecar_paused(cluster, draw):
    upstream = draw.choice(cluster.topology.upstream_names)
    process = cluster.process(upstream)
    process.pause()
    gevent.spawn_later(2.5, process.resume)
    return f"sidecar of {upstream} is paused"


def entry_dies(cluster, draw):
    entry = draw.choice(cluster.entries)
    cluster.process(entry).kill()
    return f"{entry} dies"


def entry_paused(cluster, draw):
    entry = draw.choice(cluster.entries)
    process = cluster.process(entry)
    process.pause()
    gevent.spawn_later(2.5, process.resume)
    return f"{entry} is paused"


def upstream_stops(cluster, draw):
    upstream = draw.choice(cluster.topology.upstream_names)
    cluster.process(upstream).terminate()
    return f"sidecar of {upstream} receives SIGTERM"


def link_cut(cluster, draw):
    pair = draw.choice(sorted(cluster.links_of(*cluster.topology.upstream_names)))
    cluster.set_link(*pair, cut=True)
    return f"link {pair} is cut"


def link_one_way(cluster, draw):
    pair = draw.choice(sorted(cluster.links_of(*cluster.entries)))
    direction = draw.choice(["up", "down"])
    cluster.set_link(*pair, stall=direction)
    return f"link {pair} is cut {direction}"


def links_slow(cluster, draw):
    upstream = draw.choice(cluster.topology.upstream_names)
    cluster.set_links_of(upstream, delay_up=0.05, delay_down=0.05, rate=200_000.0)
    return f"links of {upstream} degrade"


def store_down(cluster, draw):
    cluster.set_faults("table", down=True)
    cluster.set_faults("objects", down=True)
    return "the store is down"


def vm_list_wrong(cluster, draw):
    upstream = draw.choice(cluster.topology.upstream_names)
    cluster.list_vm(upstream, "gone")
    return f"the VM list lacks {upstream}"


FAILURES = (
    engine_dies,
    vm_dies,
    sidecar_paused,
    entry_dies,
    entry_paused,
    upstream_stops,
    link_cut,
    link_one_way,
    links_slow,
    store_down,
    vm_list_wrong,
)


@given(parsers.parse("two failures drawn with seed {seed:d}"))
def draw_failures(context, seed):
    chosen = os.environ.get("BULRUSHDRUM_SEED")
    context.draw = random.Random(int(chosen) if chosen else seed)
    context.failures = context.draw.sample(FAILURES, 2)
    names = " and ".join(failure.__name__ for failure in context.failures)
    print(f"seed {chosen or seed}: {names}")


@when(
    parsers.parse(
        "{count:d} requests of limited for {tokens:d} tokens arrive while both "
        "failures occur"
    )
)
def requests_and_failures(context, count, tokens):
    for number in range(count):
        entry = context.draw.choice(context.cluster.entries)
        context.send_in_background(
            entry=entry, customer=context.limited, number=number, max_tokens=tokens
        )
        gevent.sleep(context.draw.uniform(0.02, 0.1))
        if number in (8, 12):
            failure = context.failures[number == 12]
            print(failure(context.cluster, context.draw))
    context.join()


@when("all faults are repaired")
def repaired(context):
    context.cluster.repair()


@then("within 5 seconds a new request is answered completely at every entry")
def serves_again(context):
    # Guards against permits, links or engines that stay unusable after the failures.
    # The bound is the default of queue_timeout, which the features shorten.
    until = time.monotonic() + 5
    for number, entry in enumerate(context.cluster.entries):
        answer = None
        while answer is None or answer.outcome == "not_run":
            if answer is not None:
                print(f"{entry}: {answer.error}")
                assert time.monotonic() < until, answer.error
            answer = context.send(
                entry=entry, customer=context.limited, number=800 + number, max_tokens=8
            )
        assert (answer.outcome, answer.error) == ("answered", {})
        assert tuple(answer.texts) == context.expected(answer)
