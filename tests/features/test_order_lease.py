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
def ordered_system(context, kind):
    topology = standard_system(2, sidecar_settings={"order_lease": 1.5})
    engines = tuple(
        replace(engine, checks_fencing=kind == "checks")
        if engine.name == UPSTREAM
        else engine
        for engine in topology.engines
    )
    context.use(replace(topology, engines=engines))
    context.cluster.ensure_customer("warwick", concurrency=200)


@given(parsers.parse("its engine takes {seconds:d} seconds to apply an order"))
def slow_orders(context, seconds):
    context.cluster.set_faults(f"{UPSTREAM}/upstream", delay_order_seconds=seconds)


def set_desired_version(context, version):
    path = f"upstreams/{UPSTREAM}"
    status, row = context.cluster.operator("entry0", "GET", path)
    assert status == 200, row
    body = {
        "desired": {"model_version": version},
        "expected_revision": row["revision"],
    }
    status, answer = context.cluster.operator("entry0", "PUT", path, body)
    assert status == 200, answer


@when("an operator sets the desired version of s0-1 to 2")
def want_version_2(context):
    context.orders_before = len(events(context, ORDER_GIVEN))
    set_desired_version(context, "2")
    wait_until(
        lambda: UPSTREAM not in context.cluster.serving_at("entry0"),
        "the upstream to stop serving for the order",
    )
    gevent.sleep(0.5)


@when("an operator sets the desired version of s0-1 back to 1")
def want_version_1(context):
    set_desired_version(context, "1")


@when(
    parsers.parse(
        "its sidecar is paused for {seconds:d} seconds while the order is in flight"
    )
)
def pause_sidecar(context, seconds):
    assert engine_version(context) == "1", "the order has already taken effect"
    context.cluster.process(UPSTREAM).pause()
    gevent.spawn_later(seconds, context.cluster.process(UPSTREAM).resume)


@when("its sidecar dies while the order is in flight and a new one starts")
def replace_sidecar(context):
    assert engine_version(context) == "1", "the order has already taken effect"
    context.cluster.process(UPSTREAM).kill()
    context.cluster.set_faults(f"{UPSTREAM}/upstream", delay_order_seconds=0.0)
    context.cluster.start_upstream(UPSTREAM)


@when("a caller requests 60 tokens while s0-1 is the only engine of stage 0")
def send(context):
    wait_until(
        lambda: UPSTREAM in context.cluster.serving_at("entry0"),
        "the upstream to serve again",
        20,
    )
    context.cluster.set_faults(
        f"{UPSTREAM}/upstream", delay_seconds=0.07, delay_order_seconds=0.0
    )
    context.cluster.process("s0-0/upstream").kill()
    gevent.sleep(0.2)
    context.send(max_tokens=60)


def engine_version(context):
    address = context.cluster.address(f"{UPSTREAM}/upstream")
    return urllib3.request("GET", f"http://{address}/v1/engine").json()["model_version"]


def events(context, number):
    return [e for e in context.history.log_events(UPSTREAM) if e["event"] == number]


@then("the order for version 2 was not trusted")
def not_trusted(context):
    # Guards against an order that is accepted although its lease expired meanwhile.
    assert events(context, ORDER_NOT_TRUSTED)


@then("the late order took effect and was reverted")
def order_reverted(context):
    # Guards against a late order that was lost and never took effect.
    later_orders = events(context, ORDER_GIVEN)[context.orders_before :]
    assert later_orders, "the second sidecar had no order to revert"


@then("s0-1 eventually serves version 1")
def serves_version_1(context):
    # Guards against an upstream that stays closed or keeps the stale order's version.
    wait_until(
        lambda: (
            engine_version(context) == "1"
            and UPSTREAM in context.cluster.serving_at("entry0")
        ),
        "the upstream to serve version 1",
        20,
    )
