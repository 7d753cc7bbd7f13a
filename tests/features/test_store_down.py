"""Steps of store_down.feature."""

import json
import time
from urllib.parse import quote

import gevent
import pytest
import urllib3
from bench.processes import wait_for
from pytest_bdd import given, parsers, scenarios, then, when

pytestmark = pytest.mark.slow
scenarios("store_down.feature")

STORE = ("table", "objects")


@given(
    parsers.parse("callers keep asking at entry0 and entry1 for {seconds:d} seconds")
)
def keep_asking(world, seconds):
    until = time.monotonic() + seconds
    world.keep_asking(
        ["entry0", "entry1"], lambda: time.monotonic() > until, max_tokens=12
    )
    world.asking = list(world.tasks)


@when("the store goes down")
def store_down(world):
    for name in STORE:
        world.cluster.set_faults(name, down=True)
    gevent.sleep(1)


@when("entry2 dies and starts again")
def restart_entry(world):
    world.cluster.process("entry2").kill()
    gevent.sleep(1)
    world.cluster.start_entry("entry2")


@when(parsers.parse("the VM of {upstream} dies and starts again"))
def restart_upstream(world, upstream):
    world.cluster.kill_vm(upstream)
    gevent.sleep(1)
    world.cluster.start_upstream(upstream)


@then("entry2 and all upstreams are in use again")
def in_use(world):
    # Guards against newcomers that need the store before they can work.
    world.cluster.wait_connected()
    answer = world.ask(entry="entry2", number=900, max_tokens=8)
    assert answer.outcome == "answered", answer.error


@then("the store has been down all the time")
def was_down(world):
    # Guards against a scenario whose store answered.
    for name in STORE:
        url = f"http://{world.cluster.address(name)}/v1/stats"
        stats = urllib3.request("GET", url).json()
        assert stats["refused"] > 0
        probe = "rows/x" if name == "table" else "objects/x"
        url = f"http://{world.cluster.address(name)}/v1/{probe}"
        assert urllib3.request("GET", url, retries=False).status == 503


@when("the store comes back")
def store_up(world):
    world.join()
    for name in STORE:
        world.cluster.set_faults(name, down=False)


@then("every request at entry0 and entry1 was answered whole")
def all_answered(world):
    # Guards against serving that stops with the store.
    kept = [task for task in world.asking if task.ready()]
    assert len(kept) == len(world.asking)
    own = [a for a in world.answers if a.customer == "warwick"]
    assert len(own) > 20
    for answer in own:
        assert (answer.outcome, answer.error) == ("answered", {})
        assert tuple(answer.texts) == world.expected(answer)


def stored_records(cluster):
    """Return all records in the object store by request id."""
    base = f"http://{cluster.address('objects')}/v1/objects"
    records, after = {}, ""
    while True:
        page = urllib3.request("GET", f"{base}?prefix=records/&after={quote(after)}")
        names = page.json()["names"]
        if not names:
            return records
        for name in names:
            lines = urllib3.request("GET", f"{base}/{quote(name)}").data.splitlines()
            for line in lines:
                record = json.loads(line)
                records.setdefault(record["id"], []).append(record)
        after = names[-1]


@then(
    parsers.parse(
        "within {seconds:d} seconds the store has one record of each request with its "
        "outcome"
    )
)
def all_recorded(world, seconds):
    # Guards against records that are lost in the outage or tell another outcome.
    wanted = {a.request_id: a.outcome for a in world.answers if a.request_id}

    def complete():
        records = stored_records(world.cluster)
        return wanted.keys() <= records.keys() and records

    records = wait_for(complete, "all records", seconds, poll=1.0)
    differing = {
        request: [record["outcome"] for record in records[request]]
        for request, outcome in wanted.items()
        if outcome != "broken"
        and {record["outcome"] for record in records[request]} != {outcome}
    }
    assert differing == {}
