"""Peer connections: one TCP connection and two greenlets per peer.

A `PeerConnection` reads frames in the greenlet that calls `serve` and writes them in a
separate greenlet. Messages queued during a write are sent as one batch, in which each
run of steps or of tokens is merged into one frame to save the cost per frame.
"""

import struct
import time

import gevent
from gevent import socket
from gevent.event import Event as Signal
from gevent.server import StreamServer

from bulrushdrum._internal.event_loop import run_other_tasks_if_due
from bulrushdrum._internal.observability.events import Event
from bulrushdrum._internal.observability.refusal_log import RefusalLog
from bulrushdrum._internal.peering.codec import decode, encode
from bulrushdrum._internal.peering.errors import (
    ConnectionLost,
    FrameError,
    HandshakeError,
    PeeringError,
)
from bulrushdrum._internal.peering.handshake import (
    PeerIdentity,
    PeeringKeys,
    accept_handshake,
    dial_handshake,
)
from bulrushdrum._internal.peering.messages import Message
from bulrushdrum._internal.peering.request_messages import Step, Steps, Token, Tokens
from bulrushdrum._internal.world.addresses import parse_address

MAX_FRAME_BYTES = 16 * 1024 * 1024
# Activations take tens of KB per token. The limit keeps a batch of long prompts below
# the largest frame that a peer accepts.
MAX_MERGED_BYTES = 4 * 1024 * 1024
# Handshake frames are a few hundred bytes, and their sender is not yet authenticated.
MAX_HANDSHAKE_FRAME_BYTES = 4096
# Bounds the memory used for a peer that has stopped reading.
MAX_QUEUED_MESSAGES = 20_000
HANDSHAKE_TIMEOUT_SECONDS = 3.0
MAX_HANDSHAKES = 200
WRITE_TIMEOUT_SECONDS = 10.0
# Other tasks may run after each part of a frame.
_PART_BYTES = 256 * 1024
_LENGTH_PREFIX = struct.Struct("!I")


class FrameStream:
    """Length-prefixed frames on a socket.

    `read_message` raises `ConnectionLost` at the end of the stream and `FrameError` for
    a frame that is larger than `max_frame_bytes` or cannot be decoded. Frames are
    decoded in a native thread until `mark_authenticated` is called, because decoding
    malformed bytes in a greenlet can crash the process.
    """

    def __init__(self, sock, max_frame_bytes=MAX_FRAME_BYTES):
        self._sock = sock
        self._max_frame_bytes = max_frame_bytes
        self._reader = sock.makefile("rb")
        self._authenticated = False
        self._closed = False
        self._received_at = time.monotonic()

    @property
    def received_at(self) -> float:
        """When bytes of the peer were last received, on the monotonic clock.

        Bytes that wait to be read count as received now. A process that is short of
        processor time reads them late, which does not make its peer silent.
        """
        if self._has_unread_input():
            self._received_at = time.monotonic()
        return self._received_at

    def _has_unread_input(self):
        try:
            # gevent's sockets are non-blocking below.
            return self._sock._sock.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False

    def mark_authenticated(self):
        """Decode the following frames in the calling greenlet.

        Call this once the peer has proved that it holds the shared key.
        """
        self._authenticated = True

    def _read_exactly(self, size):
        data = bytearray()
        while len(data) < size:
            try:
                received = self._reader.read1(min(size - len(data), _PART_BYTES))
            except (OSError, ValueError) as error:
                raise ConnectionLost(f"read failed: {error}") from error
            if not received:
                raise ConnectionLost("peer closed the connection")
            self._received_at = time.monotonic()
            data += received
            # A connection that was closed meanwhile still returns what the kernel had
            # received.
            if run_other_tasks_if_due(is_connection=True) and self._closed:
                raise ConnectionLost("connection was closed")
        return bytes(data)

    def read_message(self) -> Message:
        (size,) = _LENGTH_PREFIX.unpack(self._read_exactly(_LENGTH_PREFIX.size))
        limit = self._max_frame_bytes
        if not self._authenticated:
            limit = min(limit, MAX_HANDSHAKE_FRAME_BYTES)
        if size > limit:
            raise FrameError(f"frame of {size} bytes is over the limit of {limit}")
        data = self._read_exactly(size)
        if self._authenticated:
            return decode(data)
        return gevent.get_hub().threadpool.apply(decode, (data,))

    def write_message(self, message: Message) -> int:
        """Write one frame and return its size in bytes with the length prefix."""
        data = encode(message)
        if len(data) > self._max_frame_bytes:
            raise FrameError(
                f"frame of {len(data)} bytes is over the limit of "
                f"{self._max_frame_bytes}"
            )
        data = memoryview(_LENGTH_PREFIX.pack(len(data)) + data)
        try:
            for start in range(0, len(data), _PART_BYTES):
                self._sock.sendall(data[start : start + _PART_BYTES])
                run_other_tasks_if_due(is_connection=True)
        except OSError as error:
            raise ConnectionLost(f"write failed: {error}") from error
        return len(data)

    def end_writing(self):
        """Let the peer read the end of the stream after what was written."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise ConnectionLost(f"write failed: {error}") from error

    def close(self):
        self._closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # already closed by the peer
        self._sock.close()


def merge_queued(messages: list[Message | Step | Token]) -> list[Message]:
    """Merge runs of steps and runs of tokens into single messages, keeping the order.

    A merged `Steps` holds at most `MAX_MERGED_BYTES` of activations, unless it has only
    one step.
    """
    merged, run, run_bytes = [], [], 0
    for message in messages:
        size = len(message.activation) if isinstance(message, Step) else 0
        extends_run = run and type(message) is type(run[0])
        if not extends_run or run_bytes + size > MAX_MERGED_BYTES:
            _append_merged(merged, run)
            run, run_bytes = [], 0
        if isinstance(message, (Step, Token)):
            run.append(message)
            run_bytes += size
        else:
            merged.append(message)
    _append_merged(merged, run)
    return merged


def _append_merged(merged, run):
    if run:
        frame = Steps if isinstance(run[0], Step) else Tokens
        merged.append(frame(tuple(run)))


class PeerConnection:
    """An authenticated connection to one peer.

    `send` queues a message, or a single `Step` or `Token`, and returns without waiting.
    It raises `ConnectionLost` if the connection is closed; a full queue closes it.
    `serve` calls `handle(connection, message)` for each received message until the
    connection ends, and returns the error that ended it.
    """

    def __init__(self, stream: FrameStream, peer: PeerIdentity):
        self._stream = stream
        self._peer = peer
        self._queue = []
        self._queue_filled = Signal()
        self._closed = False
        self._finishing = False
        self._sent_bytes = 0
        self._writer = gevent.spawn(self._write_queued)

    @property
    def peer(self) -> PeerIdentity:
        return self._peer

    @property
    def closed(self) -> bool:
        return self._closed

    @property
    def sent_bytes(self) -> int:
        return self._sent_bytes

    @property
    def received_at(self) -> float:
        """When bytes of the peer were last received, on the monotonic clock.

        A large message takes longer than the interval of heartbeats on a slow link, and
        the heartbeats of its sender follow it.
        """
        return self._stream.received_at

    def send(self, message):
        if self._closed or self._finishing:
            raise ConnectionLost(f"connection to {self._peer.node!r} is closed")
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self.close()
            raise ConnectionLost(f"{self._peer.node!r} does not read its messages")
        self._queue.append(message)
        self._queue_filled.set()

    def serve(self, handle) -> PeeringError:
        try:
            while True:
                handle(self, self._stream.read_message())
        except PeeringError as error:
            return error
        finally:
            self.close()

    def finish(self):
        """Send what is queued, and then let the peer close the connection.

        A process that exits with unread input resets its connections, which discards
        what the peer has not received. `serve` returns once the peer has closed.
        """
        self._finishing = True
        self._queue_filled.set()

    def close(self):
        if self._closed:
            return
        self._closed = True
        self._queue_filled.set()
        self._stream.close()

    def _write_queued(self):
        try:
            while not self._closed:
                self._queue_filled.wait()
                self._queue_filled.clear()
                batch, self._queue = self._queue, []
                with gevent.Timeout(
                    WRITE_TIMEOUT_SECONDS, ConnectionLost("write timed out")
                ):
                    for message in merge_queued(batch):
                        self._sent_bytes += self._stream.write_message(message)
                if self._finishing and not self._queue:
                    self._stream.end_writing()
                    return
        except PeeringError:
            self.close()  # serve() returns the error that ended the connection
        finally:
            if not self._finishing:
                self.close()


def dial(
    address: str,
    local_identity: PeerIdentity,
    keys: PeeringKeys,
    address_map: dict[str, str] | None = None,
) -> PeerConnection:
    """Connect to the peer at `address` and authenticate.

    `address_map` replaces peer addresses that are reachable only through another
    address, such as one behind NAT or a fault-injecting proxy in tests. Raises
    `ConnectionLost`, `FrameError` or `HandshakeError`.
    """
    target = (address_map or {}).get(address, address)
    try:
        sock = socket.create_connection(
            parse_address(target), timeout=HANDSHAKE_TIMEOUT_SECONDS
        )
    except OSError as error:
        raise ConnectionLost(f"cannot connect to {target}: {error}") from error
    return _authenticate(sock, dial_handshake, local_identity, keys)


def _authenticate(sock, handshake, local_identity, keys):
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = FrameStream(sock)
    try:
        with gevent.Timeout(
            HANDSHAKE_TIMEOUT_SECONDS, HandshakeError("handshake timed out")
        ):
            peer = handshake(stream, local_identity, keys)
    except PeeringError:
        stream.close()
        raise
    stream.mark_authenticated()
    return PeerConnection(stream, peer)


class PeerServer:
    """Accepts peer connections on one address, each in its own greenlet.

    `on_connect(connection)` is called after the handshake and must return only when the
    connection has ended. `on_refused(address, error)` is called when the handshake with
    a peer fails. While over `max_handshakes` are in progress, the oldest are closed: a
    peer that holds the key completes its own within milliseconds.
    """

    def __init__(
        self,
        address,
        local_identity,
        keys,
        on_connect,
        on_refused,
        max_handshakes=MAX_HANDSHAKES,
    ):
        self._local_identity = local_identity
        self._keys = keys
        self._on_connect = on_connect
        self._on_refused = on_refused
        self._max_handshakes = max_handshakes
        # Ordered by when they were accepted.
        self._handshakes: dict[socket.socket, None] = {}
        self._closed_handshakes = RefusalLog(Event.PEER_HANDSHAKES_CLOSED)
        self._server = StreamServer(parse_address(address), self._accept)

    def start(self):
        """Start to listen. Raises `OSError` if the address is in use."""
        self._server.start()

    def stop(self):
        self._server.close()

    def dump(self) -> dict:
        return {
            "handshakes": len(self._handshakes),
            "closed": self._closed_handshakes.dump(),
        }

    def _accept(self, sock, remote):
        self._handshakes[sock] = None
        if len(self._handshakes) > self._max_handshakes:
            self._close_oldest_handshake()
        try:
            connection = _authenticate(
                sock, accept_handshake, self._local_identity, self._keys
            )
        except PeeringError as error:
            # Closed handshakes are counted, and would fill the log one by one.
            if sock in self._handshakes:
                self._on_refused(f"{remote[0]}:{remote[1]}", error)
            return
        finally:
            self._handshakes.pop(sock, None)
        self._on_connect(connection)

    def _close_oldest_handshake(self):
        oldest = next(iter(self._handshakes))
        del self._handshakes[oldest]
        self._closed_handshakes.add("handshakes")
        try:
            oldest.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # the peer has disconnected
