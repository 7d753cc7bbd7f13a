"""Steps of not_run.feature."""

import random

import gevent
import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import wait_until

pytestmark = pytest.mark.slow
scenarios("not_run.feature")


@given(parsers.parse("the customer narrow has a concurrency limit of {limit:d}"))
def narrow_customer(context, limit):
    context.cluster.ensure_customer("narrow", concurrency=limit)


@when(
    parsers.parse(
        "{count:d} requests of narrow for {tokens:d} tokens arrive at both entries "
        "concurrently"
    )
)
def narrow_requests(context, count, tokens):
    for number in range(count):
        context.send_in_background(
            entry=f"entry{number % 2}",
            customer="narrow",
            number=number,
            max_tokens=tokens,
        )
    context.join()


@when("a caller requests a model that no engine serves")
def unknown_model(context):
    caller = context.cluster.caller("warwick", model="no-such-model")
    context.cluster.ensure_customer("warwick")
    prompt = context.prompt(50)
    context.answers.append(caller.chat(context.cluster.http("entry0"), prompt))


@when("a caller sends a request with an invalid key")
def wrong_key(context):
    caller = context.cluster.caller("nobody")
    prompt = context.prompt(51)
    context.answers.append(caller.chat(context.cluster.http("entry0"), prompt))


@when("a caller sends a request while every engine of stage 1 is dead")
def no_engine(context):
    context.cluster.ensure_customer("warwick")
    engines = context.cluster.topology.stages()[1]
    for engine in engines:
        context.cluster.process(f"{engine}/upstream").kill()
    wait_until(
        lambda: not context.cluster.serving_at("entry0") & set(engines),
        "entry0 to detect the dead engines",
    )
    context.send(number=52, max_tokens=8)
    for engine in engines:
        context.cluster.start_upstream(engine)


@when("a caller sends a request to a draining entry")
def stopping_entry(context):
    # The running request keeps the entry draining until the second request arrives.
    context.cluster.wait_connected()
    context.send_in_background(entry="entry1", number=53, max_tokens=40)
    wait_until(
        lambda: context.cluster.dump("entry1")["frontend"]["in_progress"],
        "a request in progress",
    )
    context.cluster.process("entry1").terminate()
    gevent.sleep(0.2)
    context.send(entry="entry1", number=54, max_tokens=8)
    context.join()


@then("there are refusals with the codes concurrency_exceeded, no_chain and draining")
def all_codes_seen(context):
    # Guards against a scenario in which nothing was refused.
    refused = [a for a in context.answers if a.outcome == "not_run"]
    codes = {answer.error["code"] for answer in refused}
    assert {"concurrency_exceeded", "no_chain", "draining"} <= codes


@when(
    parsers.parse(
        "{callers:d} callers send requests while engines die and links fail, "
        "seed {seed:d}"
    )
)
def random_failures(context, callers, seed):
    cluster = context.cluster
    context.caller()
    draw = random.Random(seed)
    engines = [spec.name for spec in cluster.topology.engines]
    links = [
        pair
        for pair in cluster.links_of(*engines)
        if set(pair) <= {*engines, *cluster.entries}
    ]
    for number in range(callers):
        entry = draw.choice(cluster.entries)
        context.send_in_background(entry=entry, number=number, max_tokens=10)
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
                pass  # the engine is dead or still starting
        if number % 5 == 0:
            # Otherwise both engines of a stage would soon be dead.
            for name in engines:
                cluster.start_upstream(name, wait=False)
        if number % 5 == 4:
            pair = draw.choice(links)
            cluster.set_link(*pair, cut=True)
            gevent.spawn_later(draw.uniform(0.1, 0.6), cluster.set_link, *pair)
    context.join()
    gevent.sleep(0.7)  # longer than the last link failure
