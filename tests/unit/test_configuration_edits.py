"""Configuration edits: conflicts, lost responses, invalid input and results."""

import json

import gevent
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from tests.fakes import SETTINGS, FakeHub, FakeTable

from bulrushdrum._internal.configuration.edits import ConfigurationEditor
from bulrushdrum._internal.configuration.errors import (
    EditConflict,
    EditOutcomeUnknown,
    EditRefused,
)
from bulrushdrum._internal.configuration.log import read_head
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.platform.table import Condition, Write


class Entry:
    def __init__(self, node, table):
        hub = FakeHub(node)
        self.replica = ConfigurationReplica(hub, table, SETTINGS, poll_interval=0.05)
        self.editor = ConfigurationEditor(
            hub, table, self.replica, confirm_timeout=0.0, resolve_timeout=1.0
        )
        self.replica.start()
        assert self.replica.wait_for(read_head(table), 2.0)


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def entry(table):
    instance = Entry("a", table)
    yield instance
    instance.replica.stop()


def contract(customer="c1", **fields):
    return {"customer": customer, **fields}


def test_conflict_returns_the_current_value(table, entry):
    # Guards against silently overwriting another operator's edit.
    other = Entry("b", table)
    first = entry.editor.edit("contract", "c1", contract(share=1), 0)
    second = other.editor.edit("contract", "c1", contract(share=2), first.revision)
    with pytest.raises(EditConflict) as caught:
        entry.editor.edit("contract", "c1", contract(share=3), first.revision)
    assert caught.value.revision == second.revision
    assert caught.value.value["share"] == 2
    other.replica.stop()


def test_edits_of_different_customers_do_not_conflict(table):
    # Guards against reporting a conflict with an edit of another customer.
    nodes = [Entry(f"n{n}", table) for n in range(4)]
    edits = [
        gevent.spawn(
            node.editor.edit, "contract", f"c{n}-{k}", contract(f"c{n}-{k}"), 0
        )
        for n, node in enumerate(nodes)
        for k in range(10)
    ]
    gevent.joinall(edits, raise_error=True)
    assert sorted(edit.value.revision for edit in edits) == list(range(1, 41))
    for node in nodes:
        assert node.replica.wait_for(40, 2.0)
        node.replica.stop()


@pytest.mark.parametrize(
    "failures", [["lost"], ["dropped"], ["late"], ["lost", "lost"], ["late", "dropped"]]
)
def test_unknown_write_outcome_is_resolved(table, entry, failures):
    # Guards against misreporting an unknown outcome: an edit that took effect must
    # return its own revision, and one that did not must be committed exactly once.
    table.on_write = list(failures)
    accepted = entry.editor.edit("contract", "c1", contract(share=7), 0)
    assert accepted.revision == 1
    assert read_head(table) == 1
    assert entry.replica.wait_for(1, 1.0)
    assert entry.replica.contract("c1").share == 7


@pytest.mark.parametrize("failure", ["lost", "dropped", "late"])
def test_unknown_write_outcome_followed_by_another_edit(table, entry, failure):
    # Guards against returning the revision of another operator's edit.
    other = Entry("b", table)
    table.on_write = [failure]
    original = table.transact
    calls = []

    def transact(conditions, writes):
        calls.append(1)
        if len(calls) == 2:
            table.transact = original
            seen = table.read("contract/c1")
            known = seen.value["revision"] if seen else 0
            other.editor.edit("contract", "c1", contract(share=2), known)
        return original(conditions, writes)

    table.transact = transact
    took_effect = failure != "dropped"
    try:
        accepted = entry.editor.edit("contract", "c1", contract(share=7), 0)
        assert took_effect
        assert accepted.revision == 1
    except EditConflict as conflict:
        assert not took_effect
        assert conflict.value["share"] == 2
    assert table.read("contract/c1").value["value"]["share"] == 2
    other.replica.stop()


def test_outage_after_unknown_write_outcome(table, entry):
    # Guards against reporting an edit as refused although it took effect, and against
    # applying it twice when it is resent.
    table.on_write = ["lost"]
    original = table.transact

    def transact_then_fail(conditions, writes):
        try:
            return original(conditions, writes)
        finally:
            table.down = True

    table.transact = transact_then_fail
    with pytest.raises(EditOutcomeUnknown) as caught:
        entry.editor.edit("contract", "c1", contract(), 0, edit_id="mine")
    assert caught.value.edit_id == "mine"
    with pytest.raises(EditRefused) as refused:
        entry.editor.edit("contract", "c2", contract("c2"), 0)
    assert refused.value.code == "store_unavailable"
    table.down, table.transact = False, original
    assert entry.editor.edit("contract", "c1", contract(), 0, "mine").revision == 1
    other = entry.editor.edit("contract", "c1", contract(share=5), 1)
    assert entry.editor.edit("contract", "c1", contract(), 0, "mine").revision == 1
    assert read_head(table) == other.revision == 2


def test_outage_while_resolving_write_outcome(table, entry):
    # Guards against "refused" when the table fails between the conflict, which shows
    # that the revision exists, and the read of the log entry that created it.
    table.on_write = ["lost"]
    original = table.transact

    def transact(conditions, writes):
        try:
            return original(conditions, writes)
        finally:
            table.down = table.transactions == 2

    table.transact = transact
    with pytest.raises(EditOutcomeUnknown):
        entry.editor.edit("contract", "c1", contract(), 0)


def test_outage_after_resolving_write_outcome(table, entry):
    # Guards against "refused" when the table fails after the log has shown that the
    # edit was committed.
    table.on_write = ["lost"]
    log_reads = []

    def go_down_after_log_read(key):
        table.down = bool(log_reads)
        if key.startswith("config/log/0"):
            log_reads.append(key)

    table.before_read = go_down_after_log_read
    entry.replica.stop()
    assert entry.editor.edit("contract", "c1", contract(), 0).revision == 1
    assert log_reads


def test_api_key_belongs_to_one_customer(entry):
    # Guards against attributing requests to the wrong customer.
    digest = "ab" * 32
    entry.editor.edit("contract", "c1", contract(api_key_hashes=[digest]), 0)
    twice = contract("c2", api_key_hashes=[digest])
    with pytest.raises(EditRefused, match="belongs to 'c1'"):
        entry.editor.edit("contract", "c2", twice, 0)
    entry.editor.edit("contract", "c1", contract(), 1)
    entry.editor.edit("contract", "c2", twice, 0)


def test_edit_compares_the_version_of_the_row(table, entry):
    # Guards against overwriting a row that changed between the read and the write.
    entry.editor.edit("contract", "c1", contract(), 0)
    row = table.read("contract/c1")
    original = table.transact

    def transact(conditions, writes):
        table.transact = original
        original(
            [Condition(row.key, 1)], [Write(row.key, {**row.value, "revision": 1})]
        )
        return original(conditions, writes)

    table.transact = transact
    assert entry.editor.edit("contract", "c1", contract(share=2), 1).revision == 2
    assert table.transactions == 4


def test_edit_of_a_table_behind_the_replica_is_refused(table, entry):
    # Guards against accepting and confirming an edit that never comes into force. After
    # the table is restored to an older state, entries have already applied a revision
    # with the next number.
    for revision in range(3):
        entry.editor.edit("contract", "c1", contract(), revision)
    table.state = FakeTable().state
    with pytest.raises(EditRefused) as refused:
        entry.editor.edit("contract", "c2", contract("c2"), 0)
    assert refused.value.code == "store_behind"
    gevent.sleep(0.1)
    assert entry.replica.revision == 3
    assert entry.replica.contract("c1") is not None


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
CONTRACTS = st.fixed_dictionaries(
    {"customer": st.just("c1") | JSON},
    optional={
        "share": st.floats() | JSON,
        "priority": st.integers(-2, 12) | JSON,
        "concurrency": st.integers(-1, 20_000) | JSON,
        "non_idempotent": st.lists(st.text() | st.just("chat:pay")) | JSON,
        "api_key_hashes": st.lists(st.just("cd" * 32) | st.text()) | JSON,
        "home_region": st.text() | st.just("\ud800"),
        "unknown": JSON,
    },
)


@seed(20261204)
@settings(max_examples=200, deadline=None)
@given(st.sampled_from(["contract", "upstream"]), JSON | CONTRACTS)
def test_input_is_accepted_completely_or_refused(kind, value):
    # Guards against writing an invalid value to the table, which every entry reads.
    table = FakeTable()
    instance = Entry("a", table)
    try:
        instance.editor.edit(kind, "c1", value, 0)
    except EditRefused as refused:
        assert refused.code == "invalid"
        assert table.transactions == 0
    else:
        instance.replica.wait_for(1, 1.0)
        read = (
            instance.replica.contract
            if kind == "contract"
            else instance.replica.desired
        )
        assert read("c1") is not None
        json.dumps(table.read(f"{kind}/c1").value, allow_nan=False)
    finally:
        instance.replica.stop()
