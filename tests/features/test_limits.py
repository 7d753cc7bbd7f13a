"""Steps of limits.feature."""

import secrets
import time
from collections import Counter

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from running_system import peak_concurrency, standard_system

from bulrushdrum._internal.limits.ownership import EntrySetVersion, Ownership
from bulrushdrum._internal.peering.shared_state_messages import EntryMember

pytestmark = pytest.mark.slow
scenarios("limits.feature")


@when("entry2 is partitioned from everything but its upstreams")
def partition_entry(context):
    for pair in context.cluster.links_of("entry2"):
        if not set(pair) & set(context.cluster.topology.upstream_names):
            context.cluster.set_link(*pair, cut=True)
    gevent.sleep(2)  # lets the other entries detect the partition


def owned_permits(context):
    """Return how many permits of the customer limited each entry owns."""
    node_by_incarnation = {
        context.cluster.dump(name)["incarnation"]: name
        for name in context.cluster.entries
    }
    members = [
        EntryMember(node, incarnation)
        for incarnation, node in node_by_incarnation.items()
    ]
    limit = context.cluster.ensure_customer(context.limited)["concurrency"]
    incarnations, owners = Ownership(EntrySetVersion(1, tuple(members))).owners(
        context.limited, limit, ""
    )
    return Counter(node_by_incarnation[incarnations[index]] for index in owners)


@when("an entry that owns at most half of the permits of limited is paused for 4 s")
def pause(context):
    # The owners depend on the drawn incarnations of the entries. While the entry is
    # paused, only the permits of the others can be used: if it owned nearly all of
    # them, the load would not approach the limit.
    owned = owned_permits(context)
    name = "entry1" if 2 * owned["entry1"] <= owned.total() else "entry0"
    print(f"{name} is paused, permits owned: {dict(owned)}")
    process = context.cluster.process(name)
    process.pause()
    context.tasks.append(gevent.spawn_later(4, process.resume))


def running(context):
    return [
        name
        for name in context.cluster.entries
        if context.cluster.process(name).running
    ]


@then(parsers.parse("at least {count:d} requests of limited ran concurrently"))
def some_concurrent(context, count):
    # Guards against a load that never approached the limit.
    outcomes = Counter((a.outcome, a.error.get("code")) for a in context.answers)
    permits = {name: context.cluster.dump(name)["permits"] for name in running(context)}
    print(outcomes, permits)
    assert peak_concurrency(context) >= count


@then("each request was answered completely or refused as not run")
def answered_or_refused(context):
    # Guards against requests that wait for a permit forever.
    for answer in context.answers:
        assert answer.outcome in ("answered", "not_run"), answer.error
        if answer.outcome == "answered":
            assert tuple(answer.texts) == context.expected(answer)


@then(parsers.parse("at least {count:d} requests were answered"))
def some_answered(context, count):
    # Guards against a limit that holds because nothing is admitted.
    assert sum(a.outcome == "answered" for a in context.answers) >= count


def calm_seconds(context, first):
    """Send 6 requests as the customer calm; return the mean latency in seconds."""
    start = time.monotonic()
    for number in range(first, first + 6):
        entry = context.cluster.entries[number % len(context.cluster.entries)]
        context.calm.append(
            context.send(entry=entry, customer="calm", number=number, max_tokens=12)
        )
    return (time.monotonic() - start) / 6


@given("the customer limited has been served at every entry")
def served_before(context):
    # A customer's first request may wait until the entries agree on its permits.
    for number, entry in enumerate(context.cluster.entries):
        answer = context.send(
            entry=entry, customer=context.limited, number=700 + number, max_tokens=2
        )
        assert answer.outcome == "answered", answer.error
    context.answers.clear()


@when("a new customer sends requests to entry0 and entry1")
def new_customer(context):
    name = f"new-{secrets.token_hex(4)}"
    context.cluster.put_customer("entry0", name)
    for number, entry in enumerate(("entry0", "entry1")):
        context.cluster.wait_customer(entry, name)
        context.send(entry=entry, customer=name, number=number, max_tokens=4)


@given("a system with 3 entries and engines with 4 slots")
def small_engines(context):
    context.use(standard_system(3, engine={"slots": 4, "iteration_ms": 4.0}))


@given("the baseline latency of the customer calm is measured")
def measure_baseline(context):
    context.calm = []
    context.cluster.ensure_customer("calm", concurrency=8)
    calm_seconds(context, 400)
    context.baseline_seconds = calm_seconds(context, 500)


@when(
    parsers.parse(
        "the customer flood keeps {count:d} requests in progress through all entries"
    )
)
def flood(context, count):
    context.cluster.ensure_customer("flood", concurrency=count)
    entries = [context.cluster.entries[n % 3] for n in range(count)]
    context.flooding = True
    context.send_continuously(
        entries, lambda: not context.flooding, customer="flood", max_tokens=40
    )
    gevent.sleep(2)


@when("the latency of the customer calm is measured during the flood")
def measure_during_flood(context):
    running = [
        frontend_dump(context, name)["in_progress"] for name in context.cluster.entries
    ]
    context.flooded_seconds = calm_seconds(context, 600)
    context.flooding = False
    # Without this load the comparison would show nothing.
    assert sum(running) >= 40, running
    print(
        f"calm baseline {context.baseline_seconds:.3f} s, "
        f"during the flood {context.flooded_seconds:.3f} s"
    )
    context.join()


def frontend_dump(context, entry):
    return context.cluster.dump(entry)["frontend"]


@then(
    parsers.parse(
        "the latency of calm during the flood is at most {factor:d} times its baseline"
    )
)
def not_slowed(context, factor):
    # Guards against a single queue shared by all customers.
    assert context.flooded_seconds <= factor * context.baseline_seconds


@then("every answer of calm is complete")
def calm_complete(context):
    # Guards against refusals that are caused by another customer.
    for answer in context.calm:
        assert (answer.outcome, answer.error) == ("answered", {})
        assert tuple(answer.texts) == context.expected(answer)
