"""Contract edits on a running system of three entries, with outages of the table."""

import time

import gevent
import pytest
from bench.cluster import Cluster
from bench.processes import wait_for
from bench.topology import EntrySpec, Topology

# The limit within which an accepted change must be in force everywhere.
IN_FORCE_SECONDS = 10.0
ENTRIES = ("entry0", "entry1", "entry2")


@pytest.fixture(scope="module")
def system():
    topology = Topology(
        tuple(EntrySpec(name, "abc"[n]) for n, name in enumerate(ENTRIES)),
        engines=(),
        entry_settings={"store_timeout": 0.5},
        proxied=True,
    )
    with Cluster(topology) as cluster:
        wait_for(
            lambda: all(len(peers(cluster, name)) == 2 for name in ENTRIES),
            "the entries to be connected",
        )
        yield cluster


@pytest.fixture
def cluster(system):
    yield system
    system.repair()
    wait_for(
        lambda: all(len(peers(system, name)) == 2 for name in ENTRIES),
        "the entries to be connected",
    )


def peers(cluster, entry):
    return cluster.dump(entry)["configuration"]["peers"]


def put(cluster, entry, customer, expected_revision=0, **fields):
    body = {
        "contract": {"customer": customer, **fields},
        "expected_revision": expected_revision,
    }
    return cluster.operator(entry, "PUT", f"contracts/{customer}", body, timeout=30.0)


def share(cluster, entry, customer):
    status, answer = cluster.operator(entry, "GET", f"contracts/{customer}")
    return answer["contract"]["share"] if status == 200 else None


def wait_in_force(cluster, customer, value, entries=ENTRIES):
    began = time.monotonic()
    wait_for(
        lambda: all(share(cluster, name, customer) == value for name in entries),
        f"{customer} to have share {value}",
        IN_FORCE_SECONDS,
    )
    return time.monotonic() - began


def test_one_winner_of_edits_at_three_entries(cluster):
    # Guards against two operators who both believe that their contract is in force.
    edits = [
        gevent.spawn(put, cluster, name, "raced", share=n + 1.0)
        for n, name in enumerate(ENTRIES)
    ]
    gevent.joinall(edits, raise_error=True)
    answers = [edit.value for edit in edits]
    assert sorted(status for status, _ in answers) == [200, 409, 409]
    winner = [n for n, (status, _) in enumerate(answers) if status == 200][0]
    for status, answer in answers:
        if status == 409:
            assert answer["error"]["value"]["share"] == winner + 1.0
    assert answers[winner][1]["confirmed"] == list(ENTRIES)
    wait_in_force(cluster, "raced", winner + 1.0)


def test_the_table_goes_down_right_after_an_edit(cluster):
    # Guards against an accepted change that only the accepting entry knows.
    status, answer = put(cluster, "entry1", "kept", share=3.0)
    cluster.set_faults("table", down=True)
    assert status == 200, answer
    wait_in_force(cluster, "kept", 3.0)
    status, answer = put(cluster, "entry1", "kept", answer["revision"], share=4.0)
    assert (status, answer["error"]["code"]) == (503, "store_unavailable")
    assert share(cluster, "entry0", "kept") == 3.0


def test_an_entry_restarts_while_the_table_is_down(cluster):
    # Guards against contracts that are lost or out of date after a restart.
    status, answer = put(cluster, "entry0", "restarted", share=5.0)
    assert status == 200, answer
    cluster.set_faults("table", down=True)
    cluster.process("entry2").kill()
    cluster.start_entry("entry2")
    assert share(cluster, "entry2", "restarted") == 5.0
    assert cluster.dump("entry2")["configuration"]["revision"] >= answer["revision"]


def test_the_answer_of_the_table_is_lost(cluster):
    # Guards against an edit that is reported as failed although it took effect, or that
    # is made twice.
    cluster.set_faults("table", lose_answers=1)
    status, answer = put(cluster, "entry0", "lost", share=6.0)
    assert status == 200, answer
    wait_in_force(cluster, "lost", 6.0)
    status, answer = cluster.operator("entry1", "GET", "contracts/lost")
    assert answer["contract"]["share"] == 6.0


def test_the_accepting_entry_dies(cluster):
    # Guards against a change that dies with the entry that accepted it.
    for source, target in cluster.links_of("entry0"):
        if target in ENTRIES:
            cluster.set_link(source, target, cut=True)
    status, answer = put(cluster, "entry0", "orphan", share=7.0)
    cluster.process("entry0").kill()
    assert status == 200, answer
    wait_in_force(cluster, "orphan", 7.0, ENTRIES[1:])


def test_an_entry_that_is_cut_off_is_named_and_catches_up(cluster):
    # Guards against an answer that counts an entry which cannot have the change.
    cluster.set_links_of("entry2", drop=True)
    wait_for(lambda: not peers(cluster, "entry2"), "the connections to be lost")
    status, answer = put(cluster, "entry0", "cut", share=8.0)
    assert status == 200, answer
    assert answer["confirmed"] == ["entry0", "entry1"]
    assert answer["unconfirmed"] == ["entry2"]
    assert share(cluster, "entry2", "cut") is None
    assert put(cluster, "entry2", "cut", share=9.0)[0] == 503
    cluster.set_links_of("entry2")
    wait_in_force(cluster, "cut", 8.0)
