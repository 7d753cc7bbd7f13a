"""Steps of order_lease.feature."""

from dataclasses import replace

import gevent
import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import standard_system, wait_until

pytestmark = pytest.mark.slow
scenarios("order_lease.feature")

UPSTREAM = "s0-1"
ORDER_GIVEN = 5003
ORDER_NOT_TRUSTED = 5004


@given(parsers.re(r"a system in which s0-1 (?P<kind>\w+) fencing numbers"))
def ordered_system(world, kind):
    topology = standard_system(2, sidecar_settings={"order_lease": 1.5})
    engines = tuple(
        replace(engine, checks_fencing=kind == "checks")
        if engine.name == UPSTREAM
        else engine
        for engine in topology.engines
    )
    world.use(replace(topology, engines=engines))
    world.cluster.ensure_customer("warwick", concurrency=200)


@given(parsers.parse("its engine takes {seconds:d} seconds to obey an order"))
def slow_orders(world, seconds):
    world.cluster.set_faults(f"{UPSTREAM}/upstream", delay_order_seconds=seconds)


def want_version(world, version):
    path = f"upstreams/{UPSTREAM}"
    status, row = world.cluster.operator("entry0", "GET", path)
    assert status == 200, row
    body = {
        "desired": {"model_version": version},
        "expected_revision": row["revision"],
    }
    status, answer = world.cluster.operator("entry0", "PUT", path, body)
    assert status == 200, answer


@when("operators want version 2 on s0-1")
def want_second(world):
    world.orders_before = len(events(world, ORDER_GIVEN))
    want_version(world, "2")
    wait_until(
        lambda: UPSTREAM not in world.cluster.serving_at("entry0"),
        "the upstream to be closed for the order",
    )
    gevent.sleep(0.5)


@when("operators want version 1 on s0-1 again")
def want_first(world):
    want_version(world, "1")


@when(
    parsers.parse(
        "its sidecar is paused for {seconds:d} seconds while the order is under way"
    )
)
def pause_sidecar(world, seconds):
    assert engine_version(world) == "1", "the order has taken effect already"
    world.cluster.process(UPSTREAM).pause()
    gevent.spawn_later(seconds, world.cluster.process(UPSTREAM).resume)


@when("its sidecar dies while the order is under way and another one starts")
def replace_sidecar(world):
    assert engine_version(world) == "1", "the order has taken effect already"
    world.cluster.process(UPSTREAM).kill()
    world.cluster.set_faults(f"{UPSTREAM}/upstream", delay_order_seconds=0.0)
    world.cluster.start_upstream(UPSTREAM)


@when("a caller asks for 60 tokens while s0-1 is the only engine of stage 0")
def ask(world):
    wait_until(
        lambda: UPSTREAM in world.cluster.serving_at("entry0"),
        "the upstream to serve again",
        20,
    )
    world.cluster.set_faults(
        f"{UPSTREAM}/upstream", delay_seconds=0.07, delay_order_seconds=0.0
    )
    world.cluster.process("s0-0/upstream").kill()
    gevent.sleep(0.2)
    world.ask(max_tokens=60)


def engine_version(world):
    address = world.cluster.address(f"{UPSTREAM}/upstream")
    return urllib3.request("GET", f"http://{address}/v1/engine").json()["model_version"]


def events(world, number):
    return [e for e in world.history.log_events(UPSTREAM) if e["event"] == number]


@then("the order of version 2 was not trusted")
def not_trusted(world):
    # Guards against an order that counts although its lease lapsed meanwhile.
    assert events(world, ORDER_NOT_TRUSTED)


@then("the late order took effect and was taken back")
def taken_back(world):
    # Guards against a scenario in which the late order was lost on its way.
    given_now = events(world, ORDER_GIVEN)[world.orders_before :]
    assert given_now, "the second sidecar had nothing to take back"


@then("s0-1 serves version 1 in the end")
def serves_first(world):
    # Guards against an upstream that stays closed, or as the stale order left it.
    wait_until(
        lambda: (
            engine_version(world) == "1"
            and UPSTREAM in world.cluster.serving_at("entry0")
        ),
        "the upstream to serve version 1",
        20,
    )
