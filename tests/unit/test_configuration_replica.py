"""The replica of the configuration: order, gaps, start-up and corrupt input."""

import gevent
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from tests.fakes import SETTINGS, FakeHub, FakeTable

from bulrushdrum._internal.configuration.edits import ConfigurationEditor
from bulrushdrum._internal.configuration.log import load_store, log_key, read_head
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.configuration.store import ConfigStore
from bulrushdrum._internal.peering.messages import ConfigEntries, ConfigEntry
from bulrushdrum._internal.platform.table import Write
from bulrushdrum._internal.world.contracts import hash_api_key


def contract(customer, **fields):
    return {"customer": customer, **fields}


def make(node, table, *others, poll_interval=0.05, **options):
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
def entries():
    made = []

    def start(*args, **options):
        made.append(make(*args, **options))
        return made[-1]

    yield start
    for replica in made:
        replica.stop()


def eventually(condition, seconds=3.0):
    with gevent.Timeout(seconds):
        while not condition():
            gevent.sleep(0.01)


def fill(table, count, customers=7):
    """Make `count` edits by an editor of their own."""
    replica = make("filler", table)
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
def test_never_goes_back_and_equals_a_prefix_of_the_log(operations):
    # Guards against an old value that returns after loss, repetition or reordering of
    # entries and snapshots, and against an entry that is applied over a gap.
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


def test_new_entry_starts_from_a_pruned_log(entries):
    # Guards against an entry that needs the log from its beginning.
    table = FakeTable()
    fill(table, 20)
    table.transact([], [Write(log_key(n), None) for n in range(1, 15)])
    replica = entries("b", table)
    eventually(lambda: replica.ready)
    assert replica.revision == 20
    assert replica.contract("c5").share == 20
    assert replica.customer_of_api_key("key19") == "c5"
    assert replica.customer_of_api_key("key12") is None


def test_running_entry_survives_a_pruned_gap(entries):
    # Guards against an entry that was cut off for long and then waits for entries that
    # the log no longer has.
    table = FakeTable()
    fill(table, 2)
    replica = entries("b", table, poll_interval=0.3)
    eventually(lambda: replica.ready)
    fill(table, 10, customers=12)
    table.transact([], [Write(log_key(n), None) for n in range(1, 9)])
    eventually(lambda: replica.revision == 12)
    assert replica.contract("c9").share == 10


def test_scan_during_edits_is_consistent():
    # Guards against a start-up that mixes rows of several revisions.
    table = FakeTable()
    fill(table, 9)
    extra = iter(range(5))

    def edit_meanwhile(key):
        if key == "contract/" and next(extra, None) == 0:
            table.before_read = lambda key: None
            fill(table, 5, customers=20)

    table.before_read = edit_meanwhile
    store = load_store(table)
    assert store.revision == 14
    assert [store.revision_of("contract", f"c{n}") for n in range(7)] == [
        *(10, 11, 12, 13, 14),
        *(6, 7),
    ]


def test_starts_from_the_highest_peer_while_the_store_is_down(entries):
    # Guards against an entry that starts with old contracts although a reachable peer
    # has newer ones, or that starts empty.
    table, old_table = FakeTable(), FakeTable()
    fill(table, 20)
    fill(old_table, 10)
    low, high = entries("low", old_table), entries("high", table)
    eventually(lambda: low.ready and high.ready)
    table.down = old_table.down = True
    lone = entries("lone", table)
    replica = entries("b", table, low, high)
    eventually(lambda: replica.ready)
    assert replica.revision == 20
    assert replica.customers() == high.customers()
    assert replica.customer_of_api_key("key19") == "c5"
    assert not lone.ready
    eventually(lambda: replica.confirmed_seconds_ago() < 0.5)


def test_a_slow_table_does_not_delay_the_start(entries):
    # Guards against a start that takes minutes because each read takes almost as long
    # as its timeout, while other entries could answer.
    table = FakeTable()
    fill(table, 3)
    first = entries("a", table)
    eventually(lambda: first.ready)
    table.before_read = lambda key: gevent.sleep(2.0)
    second = entries("b", table, first, peer_fallback_seconds=0.2)
    eventually(lambda: second.ready, seconds=1.5)
    assert second.revision == 3


def make_three(entries, table):
    fill(table, 1)
    first = entries("a", table)
    second = entries("b", table, first)
    third = entries("c", table, first, second)
    eventually(lambda: first.ready and second.ready and third.ready)
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


def test_an_edit_is_pushed(entries):
    # Guards against edits that wait for the next poll, or for the table, which may go
    # down right after the edit.
    table = FakeTable()
    first = entries("a", table, poll_interval=60.0)
    second = entries("b", table, first, poll_interval=60.0)
    eventually(lambda: first.ready and second.ready)
    editor = ConfigurationEditor(first.hub, table, first, confirm_timeout=1.0)
    accepted = editor.edit("contract", "c0", contract("c0"), 0)
    assert accepted == (1, ("a", "b"), ())
    assert second.contract("c0") is not None


def test_lost_push_is_filled_by_a_peer_while_the_store_is_down(entries):
    # Guards against an edit that was pushed and lost and then the store went down.
    first, _, third, editor = make_three(entries, FakeTable())
    first.hub.links["c#1"].drop = lambda message: isinstance(message, ConfigEntries)
    accepted = editor.edit("contract", "c0", contract("c0", share=9.0), 1)
    assert accepted == (2, ("a", "b", "c"), ())
    assert third.contract("c0").share == 9


def test_entry_that_is_cut_off_is_named(entries):
    # Guards against an answer that claims an entry which cannot have the edit, and
    # against an entry that stays behind when a heartbeat shows the newer revision.
    first, second, third, editor = make_three(entries, FakeTable())
    for peer in (first, second):
        peer.hub.links["c#1"].drop = lambda message: True
    accepted = editor.edit("contract", "c0", contract("c0", share=9.0), 1)
    assert accepted == (2, ("a", "b"), ("c",))
    assert third.contract("c0").share == 1
    assert third.confirmed_seconds_ago() > 0.5
    second.hub.links["c#1"].drop = lambda message: False
    third.observe_revision("b#1", 2)
    eventually(lambda: third.revision == 2)


def test_a_gap_is_filled_although_the_best_peer_is_silent(entries):
    # Guards against waiting for a peer that was cut off, while the table is down and
    # another peer has the entry.
    first, second, third, editor = make_three(entries, FakeTable())
    for peer in (first, second):
        peer.hub.links["c#1"].drop = lambda message: True
    assert editor.edit("contract", "c0", contract("c0"), 1).unconfirmed == ("c",)
    second.hub.links["c#1"].drop = lambda message: False
    third.observe_revision("a#1", 3)
    eventually(lambda: third.revision == 2, seconds=1.5)


def test_confirmation_is_counted_from_the_question(entries):
    # Guards against a paused entry that takes an old answer for a fresh one.
    table = FakeTable()
    replica = entries("a", table)
    eventually(lambda: replica.ready)
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
def test_any_value_in_the_log_is_survived(value, kind):
    # Guards against one bad row, or one of a newer release, that stops the replica.
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
