"""Tests of calls that wait for their answer on one connection."""

import gevent
import pytest

from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.request_messages import Call, CallResult
from bulrushdrum._internal.routing.errors import CallTimeout, NotSent
from bulrushdrum._internal.routing.pending_calls import PendingCalls

SIDECAR = PeerIdentity("sidecar", "s", "s.1", "a", "127.0.0.1:1")


class Connection:
    """A fake connection; the test passes the peer's messages to `handle`."""

    def __init__(self):
        self.peer, self.closed, self.sent = SIDECAR, False, []
        self.ended = gevent.event.Event()

    def send(self, message):
        self.sent.append(message)

    def serve(self, handle):
        self.handle = handle
        self.ended.wait()
        return ConnectionLost("reset")

    def close(self):
        self.closed = True
        self.ended.set()


def connect(hub):
    connection = Connection()
    gevent.spawn(hub.serve, connection)
    gevent.sleep(0)
    return connection


def test_answers_and_connection_losses_reach_the_waiting_call():
    # Guards against a call that waits indefinitely when its sidecar is lost or
    # reconnects, and an answer on an old connection that is accepted for a new call.
    hub = PeerHub(PeerIdentity("entry", "e", "e.1", "a", "127.0.0.1:2"))
    calls = PendingCalls(hub)
    with pytest.raises(NotSent):
        calls.send("s.1", Call(call="0"), timeout=1)
    first = connect(hub)
    waiting = gevent.spawn(calls.send, "s.1", Call(call="1"), 1)
    gevent.sleep(0)
    first.handle(first, CallResult(call="other", status=500))
    first.handle(first, CallResult(call="1", status=200))
    assert waiting.get(timeout=1).status == 200
    with pytest.raises(CallTimeout):
        calls.send("s.1", Call(call="2"), timeout=0.01)
    waiting = gevent.spawn(calls.send, "s.1", Call(call="3"), 5)
    gevent.sleep(0)
    second = connect(hub)
    with pytest.raises(ConnectionLost):
        waiting.get(timeout=1)
    waiting = gevent.spawn(calls.send, "s.1", Call(call="4"), 5)
    gevent.sleep(0)
    assert [message.call for message in second.sent] == ["4"]
    first.handle(first, CallResult(call="4", status=500))
    second.close()
    with pytest.raises(ConnectionLost):
        waiting.get(timeout=1)
