"""Tests of claim rows under conflicts, outages and writes of unknown outcome."""

import gevent
import pytest
from tests.unit.memory_table import MemoryTable

from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.peering.request_messages import CallResult, Header
from bulrushdrum._internal.routing.claim_expiry import (
    EPOCH_SECONDS,
    RETENTION_EPOCHS,
    ClaimExpiry,
)
from bulrushdrum._internal.routing.claim_rows import BindingProposal, claim_row_key
from bulrushdrum._internal.routing.claims import MAX_RESULT_BYTES, ClaimStore
from bulrushdrum._internal.routing.errors import (
    ClaimsUnavailable,
    InvalidIdempotencyKey,
    InvalidIssuedKey,
    KeyReused,
)
from bulrushdrum._internal.routing.issued_keys import issue_key, read_issued_key

HERE = BindingProposal("u1", "u1.1", 4)
THERE = BindingProposal("u2", "u2.1", 7)
RECEIPT = CallResult(
    outcome="answered", status=201, headers=(Header("A", "b"),), body=b"\0receipt"
)


def test_first_claim_binds_the_key_and_later_ones_return_its_binding():
    # Guards against two entries that bind the same key to different sidecars.
    table = MemoryTable()
    first = ClaimStore(table).bind("c", "k/ü", "f", HERE)
    second = ClaimStore(table).bind("c", "k/ü", "f", THERE)
    assert second == first._replace(wrote_row=False) and (
        first.upstream,
        first.window,
    ) == (
        "u1",
        4,
    )
    with pytest.raises(KeyReused):
        ClaimStore(table).bind("c", "k/ü", "g", THERE)
    assert claim_row_key("c", "k/ü") == "claim/c/k%2F%C3%BC"
    with pytest.raises(InvalidIdempotencyKey):
        ClaimStore(table).bind("c", "k" * 513, "f", HERE)


def test_claims_of_a_batch_share_a_transaction_and_conflict_separately():
    # Guards against a write for each claim, and a bound key that fails its whole batch.
    table = MemoryTable()
    ClaimStore(table).bind("c", "k3", "f", THERE)
    store, before = ClaimStore(table), table.transactions
    waiting = [
        gevent.spawn(store.bind, "c", f"k{number % 8}", "f", HERE)
        for number in range(16)
    ]
    bound = [greenlet.get(timeout=5) for greenlet in waiting]
    assert [binding.upstream for binding in bound[:8]] == ["u1"] * 3 + ["u2"] + [
        "u1"
    ] * 4
    assert bound[:8] == bound[8:]
    assert table.transactions - before == 2


@pytest.mark.parametrize("lost", ["lose_answers", "lose_requests"])
def test_write_of_unknown_outcome_is_settled_by_reading_the_row(lost):
    # Guards against an own claim that is mistaken for another entry's, or for absent.
    table = MemoryTable()
    store = ClaimStore(table)
    setattr(table, lost, 1)
    binding = store.bind("c", "k", "f", HERE)
    assert (binding.upstream, binding.version) == ("u1", 1)
    setattr(table, lost, 1)
    moved = store.rebind(binding, THERE)
    assert (moved.upstream, moved.generation, moved.version) == ("u2", 1, 2)
    assert moved.wrote_row and store.find("c", "k") == moved._replace(wrote_row=False)


def test_only_one_entry_replaces_a_binding():
    # Guards against a lost update between entries that both read it as cancelled.
    table = MemoryTable()
    binding = ClaimStore(table).bind("c", "k", "f", HERE)
    racing = [
        gevent.spawn(ClaimStore(table).rebind, binding, proposal)
        for proposal in (HERE, THERE)
    ]
    gevent.joinall(racing, timeout=5)
    moved, same = sorted(
        (greenlet.get() for greenlet in racing), key=lambda b: -b.wrote_row
    )
    assert moved.wrote_row and same == moved._replace(wrote_row=False)
    assert ClaimStore(table).rebind(binding, HERE) == moved._replace(wrote_row=False)
    assert not ClaimStore(table).release(binding).released
    released = ClaimStore(table).release(moved)
    assert released.released and released.wrote_row
    assert ClaimStore(table).find("c", "k") == released._replace(wrote_row=False)
    assert ClaimStore(table).rebind(moved, HERE) == released._replace(wrote_row=False)


def test_key_without_a_proposal_is_released_at_once():
    # Guards against a paused entry that binds a key after the key was refused.
    table = MemoryTable()
    released = ClaimStore(table).bind("c", "k", "f", None)
    assert released.released and released.wrote_row
    late = ClaimStore(table).bind("c", "k", "f", HERE)
    assert late == released._replace(wrote_row=False)


def test_outage_is_raised_to_every_waiting_claim():
    # Guards against a request that waits indefinitely for its claim.
    table = MemoryTable()
    table.down = True
    store = ClaimStore(table)
    waiting = [gevent.spawn(store.bind, "c", key, "f", HERE) for key in "ab"]
    for greenlet in waiting:
        with pytest.raises(ClaimsUnavailable):
            greenlet.get(timeout=5)


def test_results_are_written_in_batches_and_survive_an_outage():
    # Guards against a result that is lost in an outage, and unbounded memory.
    table = MemoryTable()
    store = ClaimStore(table)
    bindings = [store.bind("c", f"k{number}", "f", HERE) for number in range(3)]
    issued = bindings[0]._replace(key="issued", version=0)
    for binding in (*bindings, issued):
        store.queue_result(binding, RECEIPT)
    store.queue_result(
        bindings[0]._replace(key="big"), RECEIPT._replace(body=b"x" * 20000)
    )
    table.down = True
    with pytest.raises(ClaimsUnavailable):
        store.write_results()
    table.down, table.lose_answers, before = False, 1, table.transactions
    with pytest.raises(ClaimsUnavailable):
        store.write_results()
    for greenlet in [gevent.spawn(store.drain) for _ in range(2)]:
        greenlet.get(timeout=5)
    assert table.transactions - before <= 3
    for key in ("k0", "k1", "k2", "issued"):
        assert store.find("c", key).stored_result == RECEIPT
    assert store.find("c", "big") is None and MAX_RESULT_BYTES < 20000
    assert store.dump()["result_bytes_waiting"] == 0


def test_expired_rows_are_removed_and_a_paused_entry_claims_in_the_current_epoch():
    # Guards against rows that accumulate, and a row that is removed early because its
    # entry was paused with an old epoch.
    table, now = MemoryTable(), [0.0]
    expiry = ClaimExpiry(table, clock=lambda: now[0], pause=lambda seconds: None)
    paused = ClaimStore(table)
    paused.bind("c", "old", "f", HERE)
    removed = []
    for epoch in range(RETENTION_EPOCHS + 1):
        if epoch == RETENTION_EPOCHS:
            paused.bind("c", "new", "f", HERE)
        removed.append(expiry.check())
        now[0] += EPOCH_SECONDS
        removed.append(expiry.check())
        expiry.check()
    assert sum(removed) == 1 and removed[-1] == 1
    assert paused.find("c", "old") is None and paused.find("c", "new") is not None


def test_stale_binding_does_not_replace_a_recreated_row():
    # Guards against a match by version alone: versions restart when a row has expired.
    table = MemoryTable()
    stale = ClaimStore(table).bind("c", "k", "f", HERE)
    table.state.transact([], [{"key": claim_row_key("c", "k"), "value": None}])
    recreated = ClaimStore(table).bind("c", "k", "f", THERE)
    assert recreated.version == stale.version
    assert ClaimStore(table).rebind(stale, HERE).claim_id == recreated.claim_id


def test_issued_keys_are_bound_to_customer_and_content():
    # Guards against keys that were altered, guessed or issued to another customer, and
    # a rotation of the secret that invalidates keys in use.
    old, both = PeeringKeys("a.1", {"a.1": b"1"}), {"a.1": b"1", "b": b"2"}
    key = issue_key("c", HERE, old)
    assert key != issue_key("c", HERE, old)
    binding = read_issued_key(key, "c", PeeringKeys("b", both))
    assert (binding.upstream, binding.incarnation, binding.window) == HERE
    payload = key.split(".")[-2]
    altered = [key.replace(payload, payload[:-1]), key[:-1], "bd1.", "bd1.a.1.."]
    for customer, text in [("d", key), *(("c", text) for text in altered)]:
        with pytest.raises(InvalidIssuedKey):
            read_issued_key(text, customer, old)
