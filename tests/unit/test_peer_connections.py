"""What a peer connection tells about the peer while nothing reads it."""

import io
import time

import gevent
import pytest
from gevent import socket
from gevent.monkey import get_original

from bulrushdrum._internal.peering.codec import encode
from bulrushdrum._internal.peering.connections import FrameStream, PeerConnection
from bulrushdrum._internal.peering.errors import ConnectionLost
from bulrushdrum._internal.peering.handshake import PeerIdentity
from bulrushdrum._internal.peering.request_messages import CallResult

PEER = PeerIdentity("sidecar", "ledger-0", "ledger-0.1", "dc1", "127.0.0.1:1")
# What reading and handling one part of the input takes.
PART_SECONDS = 0.002
# Parts that are read between two turns of another task.
MAX_PARTS_PER_TURN = 8
PARTS = 40


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


def compute():
    """Use the processor for `PART_SECONDS`, without a turn of another task."""
    get_original("time", "sleep")(PART_SECONDS)


class FullSocket:
    """A socket that never waits. It returns `parts`, and then the end of the stream."""

    def __init__(self, parts):
        self._parts = iter(parts)
        self._buffer = io.BytesIO()
        self.read_parts = 0
        self.written_parts = 0

    def makefile(self, mode):
        return self

    def read1(self, size):
        data = self._buffer.read(size)
        if not data:
            compute()
            self.read_parts += 1
            self._buffer = io.BytesIO(next(self._parts, b""))
            data = self._buffer.read(size)
        return data

    def sendall(self, data):
        compute()
        self.written_parts += 1

    def shutdown(self, how):
        pass

    def close(self):
        pass


def connection_with(parts):
    """Return an authenticated connection and its `FullSocket`."""
    full = FullSocket(parts)
    stream = FrameStream(full)
    stream.mark_authenticated()
    return PeerConnection(stream, PEER), full


def framed(message):
    data = encode(message)
    return len(data).to_bytes(4, "big") + data


def many_frames():
    return [framed(CallResult("c", "answered"))] * PARTS


def parts_of_a_large_frame():
    data = framed(CallResult("c", "answered", body=b"x" * 400_000))
    return [data[start : start + 10_000] for start in range(0, len(data), 10_000)]


def many_results():
    return [CallResult("c", "answered")] * PARTS


def large_result():
    # Sent in parts of 256 KiB.
    return [CallResult("c", "answered", body=b"x" * PARTS * 262_144)]


def wait_for_timer(_sock):
    gevent.sleep(0.001)


def wait_for_data(sock):
    sock.recv(1)


@pytest.mark.parametrize("make_parts", [many_frames, parts_of_a_large_frame])
@pytest.mark.parametrize("wait", [wait_for_timer, wait_for_data])
def test_a_peer_that_sends_faster_than_it_is_read_lets_other_tasks_run(
    make_parts, wait
):
    # Guards against a process that reads for seconds, sends no heartbeat meanwhile, and
    # is taken for silent by the peer that it reads from.
    connection, full = connection_with(make_parts())
    ours, theirs = socket.socketpair()
    with ours, theirs:
        other = gevent.spawn(wait, ours)
        parts_before = []
        other.link(lambda _: parts_before.append(full.read_parts))
        gevent.sleep(0)
        # Both the timer and the data are ready once the first parts are read.
        theirs.sendall(b"x")
        connection.serve(lambda connection, message: None)
        gevent.sleep(0)
        assert parts_before and parts_before[0] <= MAX_PARTS_PER_TURN


@pytest.mark.parametrize("make_messages", [many_results, large_result])
@pytest.mark.parametrize("wait", [wait_for_timer, wait_for_data])
def test_a_peer_that_reads_faster_than_it_is_sent_to_lets_other_tasks_run(
    make_messages, wait
):
    # Guards against a process that writes results for seconds, and meanwhile neither
    # sends the heartbeats of other connections nor runs any other task.
    connection, full = connection_with([])
    ours, theirs = socket.socketpair()
    with ours, theirs:
        other = gevent.spawn(wait, ours)
        parts_before = []
        other.link(lambda _: parts_before.append(full.written_parts))
        gevent.sleep(0)
        theirs.sendall(b"x")
        for message in make_messages():
            connection.send(message)
        connection.finish()
        gevent.sleep(1.0)
        assert full.written_parts >= PARTS
        assert parts_before and parts_before[0] <= MAX_PARTS_PER_TURN


def test_a_connection_closed_by_another_task_dispatches_no_further_messages():
    # Guards against messages of a connection that a newer one of the same peer has
    # replaced, which the kernel still returns.
    connection, _ = connection_with(many_frames())
    handled = []
    gevent.spawn(connection.close)
    error = connection.serve(lambda connection, message: handled.append(message))
    assert isinstance(error, ConnectionLost)
    assert len(handled) <= MAX_PARTS_PER_TURN
