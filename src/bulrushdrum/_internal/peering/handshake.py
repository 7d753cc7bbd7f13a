"""Authenticated hello between two processes.

Both sides prove that they hold the same shared key by a MAC over both nonces and both
identities, so a recorded handshake cannot be replayed and a message cannot be sent back
to its sender. The key protects who may give orders; it does not encrypt the connection.
"""

import hashlib
import hmac
import secrets
from typing import NamedTuple

from bulrushdrum._internal.peering.errors import HandshakeError
from bulrushdrum._internal.peering.messages import Hello, Proof, Rejected, Welcome

PROTOCOL_VERSION = 1
_NONCE_BYTES = 16


class PeerIdentity(NamedTuple):
    """Who a process is. `incarnation` differs after each restart."""

    kind: str
    node: str
    incarnation: str
    data_centre: str
    address: str


class PeeringKeys(NamedTuple):
    """Shared keys by id; `current` is used for dialling, all are accepted."""

    current: str
    keys: dict[str, bytes]


def _mac(key, role, hello, welcome):
    parts = [role, hello.key_id, hello.nonce.hex(), welcome.nonce.hex()]
    for side in (hello, welcome):
        parts += [
            side.kind,
            side.node,
            side.incarnation,
            side.data_centre,
            side.address,
        ]
    # JSON-like framing by length keeps ("ab", "c") and ("a", "bc") apart.
    text = "".join(f"{len(part)}:{part}," for part in parts)
    return hmac.new(key, text.encode(), hashlib.sha256).digest()


def _identity(side):
    return PeerIdentity(
        side.kind, side.node, side.incarnation, side.data_centre, side.address
    )


def dial_handshake(stream, local: PeerIdentity, keys: PeeringKeys) -> PeerIdentity:
    """Run the dialling side of the handshake on `stream` and return who answered."""
    key = keys.keys[keys.current]
    hello = Hello(
        PROTOCOL_VERSION,
        *local,
        key_id=keys.current,
        nonce=secrets.token_bytes(_NONCE_BYTES),
    )
    stream.write_message(hello)
    match stream.read_message():
        case Welcome() as welcome:
            pass
        case Rejected(reason):
            raise HandshakeError(f"peer refused the connection: {reason}")
        case other:
            raise HandshakeError(
                f"expected welcome, received {type(other).__name__.lower()}"
            )
    expected = _mac(key, "welcome", hello, welcome)
    if not hmac.compare_digest(welcome.mac, expected):
        raise HandshakeError(f"node {welcome.node!r} did not prove the shared key")
    stream.write_message(Proof(_mac(key, "proof", hello, welcome)))
    return _identity(welcome)


def accept_handshake(stream, local: PeerIdentity, keys: PeeringKeys) -> PeerIdentity:
    """Run the accepting side of the handshake on `stream` and return who dialled."""
    hello = stream.read_message()
    if not isinstance(hello, Hello):
        raise HandshakeError(f"expected hello, received {type(hello).__name__.lower()}")
    key = keys.keys.get(hello.key_id)
    if hello.protocol != PROTOCOL_VERSION or key is None:
        reason = (
            f"protocol {hello.protocol} is not {PROTOCOL_VERSION}"
            if hello.protocol != PROTOCOL_VERSION
            else f"key id {hello.key_id!r} is not known"
        )
        stream.write_message(Rejected(reason))
        raise HandshakeError(reason)
    welcome = Welcome(PROTOCOL_VERSION, *local, nonce=secrets.token_bytes(_NONCE_BYTES))
    welcome = welcome._replace(mac=_mac(key, "welcome", hello, welcome))
    stream.write_message(welcome)
    proof = stream.read_message()
    expected = _mac(key, "proof", hello, welcome)
    if not isinstance(proof, Proof) or not hmac.compare_digest(proof.mac, expected):
        raise HandshakeError(f"node {hello.node!r} did not prove the shared key")
    return _identity(hello)
