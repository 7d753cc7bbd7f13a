"""What a peer connection tells about the peer while nothing reads it."""

import time

import gevent
from gevent import socket

from bulrushdrum._internal.peering.connections import FrameStream


def test_a_peer_whose_bytes_wait_to_be_read_is_not_silent():
    # Guards against a process that is late to read what a peer sent, and closes the
    # connection as silent together with the results of all calls on it.
    local, remote = socket.socketpair()
    stream = FrameStream(local)
    remote.sendall(b"\0")
    gevent.sleep(0.05)
    assert time.monotonic() - stream.received_at < 0.04


def test_a_peer_that_sends_nothing_or_has_closed_is_silent():
    # Guards against keeping the connection of a peer that is gone.
    local, remote = socket.socketpair()
    stream = FrameStream(local)
    created_at = stream.received_at
    gevent.sleep(0.05)
    assert stream.received_at == created_at
    remote.close()
    gevent.sleep(0.05)
    assert stream.received_at == created_at
    stream.close()
    assert stream.received_at == created_at
