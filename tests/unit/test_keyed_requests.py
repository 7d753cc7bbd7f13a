"""Errors of requests with an idempotency key, and detection of disconnects."""

from gevent import socket
from tests.unit.memory_table import MemoryTable

from bulrushdrum._internal.caller.errors import CallerError
from bulrushdrum._internal.caller.http import is_connected
from bulrushdrum._internal.caller.keyed_requests import KeyedRequest
from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.routing.at_most_once import AtMostOnceExecutor
from bulrushdrum._internal.routing.claim_rows import BindingProposal
from bulrushdrum._internal.routing.claims import ClaimStore

KEYS = PeeringKeys("a", {"a": b"secret"})
BUSY = CallerError("concurrency_exceeded", "no permit became free")


def make_request(table, key):
    executor = AtMostOnceExecutor(ClaimStore(table), None, lambda excluded: None)
    return KeyedRequest(executor, "c", key, "f", KEYS, lambda: True)


def test_refusal_accounts_for_earlier_requests_with_the_same_key():
    # Guards against "did not run" for a request refused over its concurrency limit when
    # an earlier request with the same key may have run.
    table = MemoryTable()
    assert make_request(table, "new").refuse(BUSY) is BUSY
    ClaimStore(table).bind("c", "sent", "f", BindingProposal("u", "u.1", 0))
    error = make_request(table, "sent").refuse(BUSY)
    assert (error.code, error.ran, error.status) == (BUSY.code, "unknown", 429)
    assert make_request(table, "bd1.a.forged.mac").refuse(BUSY) is BUSY
    table.down = True
    assert make_request(table, "new").refuse(BUSY).ran == "unknown"


def test_refused_key_cannot_be_bound_later():
    # Guards against a paused entry that binds the key of an earlier request after
    # another entry has refused the key.
    table = MemoryTable()
    make_request(table, "k").refuse(BUSY)
    late_binding = ClaimStore(table).bind("c", "k", "f", BindingProposal("u", "u.1", 0))
    assert late_binding.released


def test_caller_disconnect_is_detected():
    # Guards against binding a released key again for a caller that has disconnected.
    entry, caller = socket.socketpair()
    assert is_connected(entry)
    caller.sendall(b"next request")
    assert is_connected(entry)
    entry.recv(100)
    caller.close()
    assert not is_connected(entry)
    entry.close()
    assert not is_connected(entry)
