"""What the caller of a keyed request is told, and whether it is still there."""

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


def keyed(table, key):
    executor = AtMostOnceExecutor(ClaimStore(table), None, lambda excluded: None)
    return KeyedRequest(executor, "c", key, "f", KEYS, lambda: True)


def test_refusal_before_the_key_was_looked_up_is_true_of_earlier_sendings():
    # Guards against "did not run" for a resend over its limit whose key has run.
    table = MemoryTable()
    assert keyed(table, "new").refuse(BUSY) is BUSY
    ClaimStore(table).bind("c", "sent", "f", BindingProposal("u", "u.1", 0))
    told = keyed(table, "sent").refuse(BUSY)
    assert (told.code, told.ran, told.status) == (BUSY.code, "unknown", 429)
    assert keyed(table, "bd1.a.forged.mac").refuse(BUSY) is BUSY
    table.down = True
    assert keyed(table, "new").refuse(BUSY).ran == "unknown"


def test_paused_entry_cannot_run_a_key_after_its_refusal():
    # Guards against a refused key that a claim of an earlier sending binds afterwards.
    table = MemoryTable()
    keyed(table, "k").refuse(BUSY)
    late = ClaimStore(table).bind("c", "k", "f", BindingProposal("u", "u.1", 0))
    assert late.released


def test_caller_who_left_is_noticed():
    # Guards against a released key that is bound again for nobody.
    entry, caller = socket.socketpair()
    assert is_connected(entry)
    caller.sendall(b"next request")
    assert is_connected(entry)
    entry.recv(100)
    caller.close()
    assert not is_connected(entry)
    entry.close()
    assert not is_connected(entry)
