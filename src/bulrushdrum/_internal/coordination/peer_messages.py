"""Small messages between routers that must not wait for the next announcement.

An announcement holds the whole state of a router, which is too much to send to all
peers for each change. A message is a datagram of its own on the same socket. Messages
can be lost, repeated, reordered and delayed, so no part of a router may depend on one.
Releases that do not know a kind of message drop it.
"""

import json
import time
from collections.abc import Callable

from bulrushdrum._internal.decoding import require_string

# A datagram of this size fits into one packet of usual networks.
MAX_MESSAGE_BYTES = 1400

_Address = tuple[str, int]
_Handler = Callable[[str, str, object], None]


class PeerMessages:
    """Sends messages to the peers of a router, and passes on those received.

    `send_datagram(name, address, data)` sends one datagram to a peer;
    `peer_addresses()` returns the addresses of the live peers by name.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        send_datagram: Callable[[str, _Address, bytes], None],
        peer_addresses: Callable[[], dict[str, _Address]],
        clock=time.monotonic,
    ):
        self._node = node
        self.incarnation = incarnation
        self._send_datagram = send_datagram
        self._peer_addresses = peer_addresses
        self._clock = clock
        self._handlers: dict[str, _Handler] = {}
        self._last_heard = float("-inf")

    @property
    def last_heard(self) -> float:
        """When a datagram of any peer was last received, a time of the clock."""
        return self._last_heard

    @property
    def peers(self) -> list[str]:
        """The names of the live peers."""
        return list(self._peer_addresses())

    def register(self, kind: str, handler: _Handler):
        """Call `handler(name, incarnation, body)` for each message of a kind.

        The handler raises one of `DECODING_ERRORS` for a body that it cannot read.
        """
        self._handlers[kind] = handler

    def broadcast(self, kind: str, body: object):
        """Send a message to all live peers; raises `ValueError` if it is too large."""
        data = self._encode(kind, body)
        for name, address in self._peer_addresses().items():
            self._send_datagram(name, address, data)

    def send(self, name: str, kind: str, body: object) -> bool:
        """Send a message to one peer; return whether this peer is known."""
        data = self._encode(kind, body)
        address = self._peer_addresses().get(name)
        if address is None:
            return False
        self._send_datagram(name, address, data)
        return True

    def record_heard(self):
        """Record that a datagram of a peer was received."""
        self._last_heard = self._clock()

    def receive(self, raw: dict):
        """Pass a decoded message to its handler; raises `DECODING_ERRORS`."""
        name = require_string(raw, "node")
        incarnation = require_string(raw, "incarnation")
        handler = self._handlers.get(require_string(raw, "kind"))
        if handler is not None and name != self._node:
            handler(name, incarnation, raw["body"])

    def _encode(self, kind, body):
        message = {
            "kind": kind,
            "node": self._node,
            "incarnation": self.incarnation,
            "body": body,
        }
        data = json.dumps(message, separators=(",", ":")).encode()
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(
                f"a message {kind!r} of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
            )
        return data
