"""Idempotency keys that carry their own binding.

`issue_key` creates a key for one customer that names the sidecar incarnation and window
it is bound to. `read_issued_key` verifies its MAC and returns the binding. No claim row
is needed, so issued keys work while the table is down:

>>> keys = PeeringKeys("a", {"a": b"secret"})
>>> key = issue_key("warwick", BindingProposal("payments-1", "payments-1.77", 12), keys)
>>> read_issued_key(key, "warwick", keys).incarnation
'payments-1.77'

The binding of an issued key never changes. The key should be used within two windows
(two minutes); later its sidecar refuses it, because the record of whether it ran may
have been discarded. To rotate the secret, add the new one under its own key id, make it
current, and remove the old one after the last key issued under it has expired.
"""

import base64
import hashlib
import hmac
import json
import secrets

from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.routing.claim_rows import Binding, BindingProposal
from bulrushdrum._internal.routing.errors import InvalidIssuedKey

# Reserved: keys chosen by callers must not begin with it.
ISSUED_PREFIX = "bd1."
_NONCE_BYTES = 16
_MAC_BYTES = 16


def _base64url(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _mac(secret, customer, key_id, payload):
    # The length prefixes distinguish ("ab", "c") from ("a", "bc"). The label separates
    # these MACs from those of the handshake, which may use the same secret.
    parts = ("idempotency-key", customer, key_id, payload)
    text = "".join(f"{len(part)}:{part}," for part in parts)
    return hmac.new(secret, text.encode(), hashlib.sha256).digest()[:_MAC_BYTES]


def is_issued_key(key: str) -> bool:
    """Return whether `key` has the prefix of issued keys; its MAC is not verified."""
    return key.startswith(ISSUED_PREFIX)


def issue_key(customer: str, proposal: BindingProposal, keys: PeeringKeys) -> str:
    """Return a new, unguessable key of `customer` that is bound to `proposal`."""
    fields = [*proposal, secrets.token_hex(_NONCE_BYTES)]
    payload = _base64url(json.dumps(fields, separators=(",", ":")).encode())
    mac = _mac(keys.keys[keys.current], customer, keys.current, payload)
    return f"{ISSUED_PREFIX}{keys.current}.{payload}.{_base64url(mac)}"


def read_issued_key(key: str, customer: str, keys: PeeringKeys) -> Binding:
    """Return the binding in an issued key; raises `InvalidIssuedKey`.

    The fingerprint of the binding is empty; the sidecar records that of the first call.
    """
    # A key id can contain dots; the payload and the MAC cannot.
    key_id, _, rest = key.removeprefix(ISSUED_PREFIX).rpartition(".")
    key_id, _, payload = key_id.rpartition(".")
    secret = keys.keys.get(key_id)
    if not is_issued_key(key) or secret is None:
        raise InvalidIssuedKey(
            f"keys that begin with {ISSUED_PREFIX!r} are issued by this service, and "
            f"key id {key_id!r} is not known here"
        )
    expected = _base64url(_mac(secret, customer, key_id, payload))
    if not hmac.compare_digest(rest.encode(), expected.encode()):
        raise InvalidIssuedKey("the issued key was altered or is another customer's")
    padded = payload + "=" * (-len(payload) % 4)
    upstream, incarnation, window, _ = json.loads(base64.urlsafe_b64decode(padded))
    return Binding(customer, key, upstream, incarnation, window, 0, "", "")
