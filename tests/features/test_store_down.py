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
    parsers.parse(
        "callers continuously send requests through entry0 and entry1 for {seconds:d} "
        "seconds"
    )
)
def send_continuously(context, seconds):
    until = time.monotonic() + seconds
    context.send_continuously(
        ["entry0", "entry1"], lambda: time.monotonic() > until, max_tokens=12
    )
    context.continuous_tasks = list(context.tasks)


@when("the store goes down")
def store_down(context):
    for name in STORE:
        context.cluster.set_faults(name, down=True)
    gevent.sleep(1)


@when("entry2 dies and restarts")
def restart_entry(context):
    context.cluster.process("entry2").kill()
    gevent.sleep(1)
    context.cluster.start_entry("entry2")


@when(parsers.parse("the VM of {upstream} dies and restarts"))
def restart_upstream(context, upstream):
    context.cluster.kill_vm(upstream)
    gevent.sleep(1)
    context.cluster.start_upstream(upstream)


@then("entry2 and all upstreams are in service again")
def in_service(context):
    # Guards against restarted processes that need the store to begin serving.
    context.cluster.wait_connected()
    answer = context.send(entry="entry2", number=900, max_tokens=8)
    assert answer.outcome == "answered", answer.error


@then("the store has been down throughout")
def was_down(context):
    # Guards against a store that was reachable during the scenario.
    for name in STORE:
        url = f"http://{context.cluster.address(name)}/v1/stats"
        stats = urllib3.request("GET", url).json()
        assert stats["refused"] > 0
        probe = "rows/x" if name == "table" else "objects/x"
        url = f"http://{context.cluster.address(name)}/v1/{probe}"
        assert urllib3.request("GET", url, retries=False).status == 503


@when("the store is restored")
def restore_store(context):
    context.join()
    for name in STORE:
        context.cluster.set_faults(name, down=False)


@then("every request at entry0 and entry1 was answered completely")
def all_answered(context):
    # Guards against entries that stop serving when the store is down.
    kept = [task for task in context.continuous_tasks if task.ready()]
    assert len(kept) == len(context.continuous_tasks)
    own = [a for a in context.answers if a.customer == "warwick"]
    assert len(own) > 20
    for answer in own:
        assert (answer.outcome, answer.error) == ("answered", {})
        assert tuple(answer.texts) == context.expected(answer)


def stored_records(cluster):
    """Return all records in the object store, grouped by request id."""
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
        "within {seconds:d} seconds the store has a record of each request with its "
        "outcome"
    )
)
def all_recorded(context, seconds):
    # Guards against records that are lost in the outage or have a wrong outcome.
    wanted = {a.request_id: a.outcome for a in context.answers if a.request_id}

    def complete():
        records = stored_records(context.cluster)
        return wanted.keys() <= records.keys() and records

    records = wait_for(complete, "all records", seconds, poll=1.0)
    differing = {
        request: [record["outcome"] for record in records[request]]
        for request, outcome in wanted.items()
        if outcome != "broken"
        and {record["outcome"] for record in records[request]} != {outcome}
    }
    assert differing == {}
