"""Steps of not_run.feature."""

import random

import gevent
import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import wait_until

pytestmark = pytest.mark.slow
scenarios("not_run.feature")


@given(parsers.parse("the customer narrow may run {limit:d} request at a time"))
def narrow_customer(world, limit):
    world.cluster.ensure_customer("narrow", concurrency=limit)


@when(
    parsers.parse(
        "{count:d} requests of narrow for {tokens:d} tokens arrive at both entries at "
        "once"
    )
)
def narrow_requests(world, count, tokens):
    for number in range(count):
        world.ask_in_background(
            entry=f"entry{number % 2}",
            customer="narrow",
            number=number,
            max_tokens=tokens,
        )
    world.join()


@when("a caller asks for a model that nobody has")
def unknown_model(world):
    caller = world.cluster.caller("warwick", model="no-such-model")
    world.cluster.ensure_customer("warwick")
    prompt = world.prompt(50)
    world.answers.append(caller.chat(world.cluster.http("entry0"), prompt))


@when("a caller with a wrong key asks")
def wrong_key(world):
    caller = world.cluster.caller("nobody")
    prompt = world.prompt(51)
    world.answers.append(caller.chat(world.cluster.http("entry0"), prompt))


@when("a caller asks while every engine of stage 1 is dead")
def no_engine(world):
    world.cluster.ensure_customer("warwick")
    engines = world.cluster.topology.stages()[1]
    for engine in engines:
        world.cluster.process(f"{engine}/upstream").kill()
    wait_until(
        lambda: not world.cluster.serving_at("entry0") & set(engines),
        "entry0 to see the dead engines",
    )
    world.ask(number=52, max_tokens=8)
    for engine in engines:
        world.cluster.start_upstream(engine)


@when("a caller asks an entry that is stopping")
def stopping_entry(world):
    # The running request keeps the entry from ending before the other one arrives.
    world.cluster.wait_connected()
    world.ask_in_background(entry="entry1", number=53, max_tokens=40)
    wait_until(
        lambda: world.cluster.dump("entry1")["frontend"]["in_progress"], "a request"
    )
    world.cluster.process("entry1").terminate()
    gevent.sleep(0.2)
    world.ask(entry="entry1", number=54, max_tokens=8)
    world.join()


@then("there are refusals with the codes concurrency_exceeded, no_chain and draining")
def all_codes_seen(world):
    # Guards against a scenario in which nothing was refused.
    refused = [a for a in world.answers if a.outcome == "not_run"]
    codes = {answer.error["code"] for answer in refused}
    assert {"concurrency_exceeded", "no_chain", "draining"} <= codes


@when(
    parsers.parse(
        "{callers:d} callers ask while engines die and links break, seed {seed:d}"
    )
)
def storm(world, callers, seed):
    cluster = world.cluster
    world.caller()
    draw = random.Random(seed)
    engines = [spec.name for spec in cluster.topology.engines]
    links = [
        pair
        for pair in cluster.links_of(*engines)
        if set(pair) <= {*engines, *cluster.entries}
    ]
    for number in range(callers):
        entry = draw.choice(cluster.entries)
        world.ask_in_background(entry=entry, number=number, max_tokens=10)
        gevent.sleep(draw.uniform(0, 0.05))
        if number % 5 == 2:
            engine = draw.choice(engines)
            before = draw.random() < 0.5
            step = draw.randrange(1, 12)
            try:
                cluster.set_faults(
                    f"{engine}/upstream", crash_at_step=step, crash_before_run=before
                )
            except urllib3.exceptions.HTTPError:
                pass  # it is dead or just starting
        if number % 5 == 0:
            # Otherwise both engines of a stage are soon dead and nothing runs any more.
            for name in engines:
                cluster.start_upstream(name, wait=False)
        if number % 5 == 4:
            pair = draw.choice(links)
            cluster.set_link(*pair, cut=True)
            gevent.spawn_later(draw.uniform(0.1, 0.6), cluster.set_link, *pair)
    world.join()
    gevent.sleep(0.7)  # the last links heal
