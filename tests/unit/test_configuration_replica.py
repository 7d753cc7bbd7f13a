"""Configuration replica: ordering, gaps, start-up and invalid input."""

import gevent
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from tests.fakes import SETTINGS, FakeHub, FakeTable

from bulrushdrum._internal.configuration.edits import ConfigurationEditor
from bulrushdrum._internal.configuration.log import load_store, log_key, read_head
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.configuration.store import ConfigStore
from bulrushdrum._internal.peering.shared_state_messages import (
    ConfigEntries,
    ConfigEntry,
)
from bulrushdrum._internal.platform.table import Write
from bulrushdrum._internal.world.contracts import hash_api_key


def contract(customer, **fields):
    return {"customer": customer, **fields}


def create_replica(node, table, *others, poll_interval=0.05, **options):
    hub = FakeHub(node)
    for other in others:
        hub.connect(other.hub)
    replica = ConfigurationReplica(
        hub, table, SETTINGS, poll_interval=poll_interval, peer_timeout=0.1, **options
    )
    replica.hub = hub
    replica.start()
    return replica


@pytest.fixture
def start_replica():
    replicas = []

    def start(*args, **options):
        replicas.append(create_replica(*args, **options))
        return replicas[-1]

    yield start
    for replica in replicas:
        replica.stop()


def wait_until(condition, seconds=3.0):
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.01)


def make_edits(table, count, customers=7):
    """Commit `count` edits through a separate editor."""
    replica = create_replica("filler", table)
    replica.wait_for(read_head(table), 2.0)
    editor = ConfigurationEditor(replica.hub, table, replica, confirm_timeout=0)
    store = load_store(table)
    revisions = {
        name: store.revision_of("contract", name) for name in store.keys("contract")
    }
    for n in range(count):
        name = f"c{n % customers}"
        value = contract(name, share=n + 1.0, api_key_hashes=[hash_api_key(f"key{n}")])
        revisions[name] = editor.edit(
            "contract", name, value, revisions.get(name, 0)
        ).revision
    replica.stop()


LOG = [
    ConfigEntry(
        n + 1,
        "contract",
        f"c{n % 3}",
        "" if n % 5 == 4 else f'{{"customer":"c{n % 3}","share":{n + 1}}}',
        f"edit{n}",
    )
    for n in range(12)
]


def store_at(revision):
    store = ConfigStore()
    for entry in LOG[:revision]:
        store.apply(entry)
    return store


OPERATIONS = st.lists(
    st.one_of(
        st.lists(st.sampled_from(LOG), max_size=6),
        st.integers(min_value=0, max_value=len(LOG)),
    ),
    max_size=12,
)


@seed(20261204)
@settings(max_examples=300, deadline=None)
@given(OPERATIONS)
def test_revision_never_regresses_and_state_matches_a_log_prefix(operations):
    # Guards against reverting to an older value when log entries and snapshots are
    # lost, duplicated or reordered, and against applying an entry after a gap.
    replica = ConfigurationReplica(FakeHub("a"), FakeTable(), SETTINGS)
    seen = []
    replica.subscribe(lambda entry: seen.append(entry.revision))
    for operation in operations:
        before = replica.revision
        if isinstance(operation, int):
            replica.install(store_at(operation), "peer")
        else:
            replica.offer(operation)
        assert replica.revision >= before
        expected = store_at(replica.revision)
        for customer in ("c0", "c1", "c2"):
            found = replica.store.get("contract", customer)
            assert found == expected.get("contract", customer)
            shown = replica.contract(customer)
            assert (shown is None) == (found is None)
            assert shown is None or f'"share":{int(shown.share)}' in found[1]
    replica.offer(LOG)
    assert replica.revision == len(LOG)


def test_new_entry_starts_from_a_pruned_log(start_replica):
    # Guards against a start-up that requires the complete log.
    table = FakeTable()
    make_edits(table, 20)
    table.transact([], [Write(log_key(n), None) for n in range(1, 15)])
    replica = start_replica("b", table)
    wait_until(lambda: replica.ready)
    assert replica.revision == 20
    assert replica.contract("c5").share == 20
    assert replica.customer_of_api_key("key19") == "c5"
    assert replica.customer_of_api_key("key12") is None


def test_running_entry_recovers_from_a_pruned_gap(start_replica):
    # Guards against an entry that, after a long disconnection, waits forever for log
    # entries that have been pruned.
    table = FakeTable()
    make_edits(table, 2)
    replica = start_replica("b", table, poll_interval=0.3)
    wait_until(lambda: replica.ready)
    make_edits(table, 10, customers=12)
    table.transact([], [Write(log_key(n), None) for n in range(1, 9)])
    wait_until(lambda: replica.revision == 12)
    assert replica.contract("c9").share == 10


def test_scan_during_edits_is_consistent():
    # Guards against loading a mix of rows from several revisions.
    table = FakeTable()
    make_edits(table, 9)
    extra = iter(range(5))

    def edit_meanwhile(key):
        if key == "contract/" and next(extra, None) == 0:
            table.before_read = lambda key: None
            make_edits(table, 5, customers=20)

    table.before_read = edit_meanwhile
    store = load_store(table)
    assert store.revision == 14
    assert [store.revision_of("contract", f"c{n}") for n in range(7)] == [
        *(10, 11, 12, 13, 14),
        *(6, 7),
    ]


def test_starts_from_the_most_recent_peer_while_the_store_is_down(start_replica):
    # Guards against starting with old contracts although a reachable peer has newer
    # ones, or without any contracts.
    table, old_table = FakeTable(), FakeTable()
    make_edits(table, 20)
    make_edits(old_table, 10)
    low, high = start_replica("low", old_table), start_replica("high", table)
    wait_until(lambda: low.ready and high.ready)
    table.down = old_table.down = True
    lone = start_replica("lone", table)
    replica = start_replica("b", table, low, high)
    wait_until(lambda: replica.ready)
    assert replica.revision == 20
    assert replica.customers() == high.customers()
    assert replica.customer_of_api_key("key19") == "c5"
    assert not lone.ready
    wait_until(lambda: replica.confirmed_seconds_ago() < 0.5)


def test_slow_table_does_not_delay_the_start(start_replica):
    # Guards against a start-up that takes minutes because each read takes almost as
    # long as its timeout, although other entries could serve a snapshot.
    table = FakeTable()
    make_edits(table, 3)
    first = start_replica("a", table)
    wait_until(lambda: first.ready)
    table.before_read = lambda key: gevent.sleep(2.0)
    second = start_replica("b", table, first, peer_fallback_seconds=0.2)
    wait_until(lambda: second.ready, seconds=1.5)
    assert second.revision == 3


def start_three_replicas(start_replica, table):
    make_edits(table, 1)
    first = start_replica("a", table)
    second = start_replica("b", table, first)
    third = start_replica("c", table, first, second)
    wait_until(lambda: first.ready and second.ready and third.ready)
    original = table.transact

    def transact_then_fail(conditions, writes):
        versions = original(conditions, writes)
        table.down = True
        return versions

    table.transact = transact_then_fail
    editor = ConfigurationEditor(
        first.hub, table, first, entry_names=lambda: "abc", confirm_timeout=1.0
    )
    return first, second, third, editor


def test_edit_is_pushed(start_replica):
    # Guards against edits that reach other entries only with the next poll, or only
    # through the table, which may fail right after the edit.
    table = FakeTable()
    first = start_replica("a", table, poll_interval=60.0)
    second = start_replica("b", table, first, poll_interval=60.0)
    wait_until(lambda: first.ready and second.ready)
    editor = ConfigurationEditor(first.hub, table, first, confirm_timeout=1.0)
    accepted = editor.edit("contract", "c0", contract("c0"), 0)
    assert accepted == (1, ("a", "b"), ())
    assert second.contract("c0") is not None


def test_lost_push_is_filled_by_a_peer_while_the_store_is_down(start_replica):
    # Guards against losing an edit whose push is lost just before the store fails.
    first, _, third, editor = start_three_replicas(start_replica, FakeTable())
    first.hub.links["c#1"].drop = lambda message: isinstance(message, ConfigEntries)
    accepted = editor.edit("contract", "c0", contract("c0", share=9.0), 1)
    assert accepted == (2, ("a", "b", "c"), ())
    assert third.contract("c0").share == 9


def test_unreachable_entry_is_reported_as_unconfirmed(start_replica):
    # Guards against reporting an unreachable entry as confirmed, and against an entry
    # that does not catch up when a heartbeat carries a newer revision.
    first, second, third, editor = start_three_replicas(start_replica, FakeTable())
    for peer in (first, second):
        peer.hub.links["c#1"].drop = lambda message: True
    accepted = editor.edit("contract", "c0", contract("c0", share=9.0), 1)
    assert accepted == (2, ("a", "b"), ("c",))
    assert third.contract("c0").share == 1
    assert third.confirmed_seconds_ago() > 0.5
    second.hub.links["c#1"].drop = lambda message: False
    third.observe_revision("b#1", 2)
    wait_until(lambda: third.revision == 2)


def test_gap_is_filled_despite_a_silent_peer(start_replica):
    # Guards against waiting only for an unreachable peer while the table is down and
    # another peer has the missing log entry.
    first, second, third, editor = start_three_replicas(start_replica, FakeTable())
    for peer in (first, second):
        peer.hub.links["c#1"].drop = lambda message: True
    assert editor.edit("contract", "c0", contract("c0"), 1).unconfirmed == ("c",)
    second.hub.links["c#1"].drop = lambda message: False
    third.observe_revision("a#1", 3)
    wait_until(lambda: third.revision == 2, seconds=1.5)


def test_confirmation_age_is_measured_from_the_query(start_replica):
    # Guards against a paused entry that treats a stale response as a fresh one.
    table = FakeTable()
    replica = start_replica("a", table)
    wait_until(lambda: replica.ready)
    assert replica.confirm(1.0)
    table.before_read = lambda key: gevent.sleep(0.2)
    assert replica.confirm(1.0)
    assert replica.confirmed_seconds_ago() > 0.19
    table.down = True
    gevent.sleep(0.2)
    assert replica.confirmed_seconds_ago() > 0.15
    assert not replica.confirm(0.2)
    hub = FakeHub("b")
    ConfigurationReplica(hub, table, SETTINGS)
    hub.connect(replica.hub)
    assert not replica.confirm(0.2), "a peer that is not ready confirms nothing"


@seed(20261204)
@settings(max_examples=200, deadline=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=8,
    ),
    st.sampled_from(["contract", "upstream", "later-kind"]),
)
def test_any_value_in_the_log_is_handled(value, kind):
    # Guards against a replica that stops at an invalid row or one of a newer release.
    table = FakeTable()
    key = "k"
    row = {"revision": 1, "edit_id": "e", "kind": kind, "key": key, "value": value}
    writes = [
        Write(f"{kind}/{key}", row),
        Write("config/head", {"revision": 1}),
        Write(log_key(1), row),
    ]
    replica = ConfigurationReplica(FakeHub("a"), table, SETTINGS)
    replica._poll_table()
    table.transact([], writes)
    replica._poll_table()
    assert replica.revision == 1
    replica.contract(key)
    replica.desired(key)
    other = ConfigurationReplica(FakeHub("b"), table, SETTINGS)
    other._poll_table()
    assert other.ready and other.revision == 1
    assert other.contract(key) == replica.contract(key)
