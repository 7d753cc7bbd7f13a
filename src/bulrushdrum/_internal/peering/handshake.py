"""Mutual authentication of two processes with a shared key.

Each side proves that it holds the key with a MAC over its role, both nonces and both
identities, so a recorded handshake cannot be replayed and a proof cannot be reflected
to its sender. The key controls who may give orders; the connection is not encrypted.
"""

import hashlib
import hmac
import secrets
from typing import NamedTuple

from bulrushdrum._internal.peering.errors import HandshakeError
from bulrushdrum._internal.peering.process_messages import (
    Hello,
    Proof,
    Rejected,
    Welcome,
)

PROTOCOL_VERSION = 1
_NONCE_BYTES = 16


class PeerIdentity(NamedTuple):
    """Identifies a process. `incarnation` differs after each restart."""

    kind: str
    node: str
    incarnation: str
    data_centre: str
    address: str


class PeeringKeys(NamedTuple):
    """Shared keys by id.

    `current` is the id of the key used for dialling. All keys are accepted from peers.
    """

    current: str
    keys: dict[str, bytes]


def _compute_mac(key, role, hello, welcome):
    parts = [role, hello.key_id, hello.nonce.hex(), welcome.nonce.hex()]
    for message in (hello, welcome):
        parts += [
            message.kind,
            message.node,
            message.incarnation,
            message.data_centre,
            message.address,
        ]
    # Length prefixes make ("ab", "c") and ("a", "bc") different inputs.
    text = "".join(f"{len(part)}:{part}," for part in parts)
    return hmac.new(key, text.encode(), hashlib.sha256).digest()


def _peer_identity(message):
    return PeerIdentity(
        message.kind,
        message.node,
        message.incarnation,
        message.data_centre,
        message.address,
    )


def dial_handshake(
    stream, local_identity: PeerIdentity, keys: PeeringKeys
) -> PeerIdentity:
    """Run the dialling side of the handshake and return the identity of the peer."""
    key = keys.keys[keys.current]
    hello = Hello(
        PROTOCOL_VERSION,
        *local_identity,
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
    expected = _compute_mac(key, "welcome", hello, welcome)
    if not hmac.compare_digest(welcome.mac, expected):
        raise HandshakeError(f"node {welcome.node!r} did not prove the shared key")
    stream.write_message(Proof(_compute_mac(key, "proof", hello, welcome)))
    return _peer_identity(welcome)


def accept_handshake(
    stream, local_identity: PeerIdentity, keys: PeeringKeys
) -> PeerIdentity:
    """Run the accepting side of the handshake and return the identity of the peer."""
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
    welcome = Welcome(
        PROTOCOL_VERSION, *local_identity, nonce=secrets.token_bytes(_NONCE_BYTES)
    )
    welcome = welcome._replace(mac=_compute_mac(key, "welcome", hello, welcome))
    stream.write_message(welcome)
    proof = stream.read_message()
    expected = _compute_mac(key, "proof", hello, welcome)
    if not isinstance(proof, Proof) or not hmac.compare_digest(proof.mac, expected):
        raise HandshakeError(f"node {hello.node!r} did not prove the shared key")
    return _peer_identity(hello)
