"""Bindings and the rows of the table that hold them."""

import base64
from typing import NamedTuple
from urllib.parse import quote

from bulrushdrum._internal.peering.messages import CallResult, Header
from bulrushdrum._internal.platform.table import Row
from bulrushdrum._internal.routing.errors import InvalidIdempotencyKey
from bulrushdrum._internal.world.requests import MAX_KEY_CHARACTERS, Outcome

CLAIM_PREFIX = "claim/"
EPOCH_KEY = "claim-epoch"


class BindingProposal(NamedTuple):
    """A sidecar incarnation that could run a key, and the window it last announced."""

    upstream: str
    incarnation: str
    window: int


class Binding(NamedTuple):
    """Which incarnation may run a key, or that the key is released.

    `done` is the result, once it is in the row. A released key did not run under this
    generation or an earlier one, and nothing may run it until it is bound again.
    `version` is the version of the row, 0 for the binding of an issued key. `own` tells
    that the call that returned this binding wrote the row; it is not part of the row.
    """

    customer: str
    key: str
    upstream: str
    incarnation: str
    window: int
    generation: int
    fingerprint: str
    claim_id: str
    done: CallResult | None = None
    released: bool = False
    version: int = 0
    own: bool = False


class ClaimEpoch(NamedTuple):
    """Number of the current retention epoch, with the version of its row."""

    number: int = 0
    version: int = 0


def claim_row_key(customer: str, key: str) -> str:
    """Return the key of the claim row; raises `InvalidIdempotencyKey`."""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise InvalidIdempotencyKey(
            f"an idempotency key has 1 to {MAX_KEY_CHARACTERS} characters, "
            f"this one has {len(key)}"
        )
    return f"{CLAIM_PREFIX}{customer}/{quote(key, safe='')}"


def read_epoch(row: Row | None) -> ClaimEpoch:
    if row is None or row.value is None:
        return ClaimEpoch(0, 0 if row is None else row.version)
    return ClaimEpoch(row.value["epoch"], row.version)


def _encode_result(result: CallResult) -> dict:
    return {
        "status": result.status,
        "headers": [list(header) for header in result.headers],
        "body": base64.b64encode(result.body).decode(),
    }


def _decode_result(raw: dict) -> CallResult:
    return CallResult(
        outcome=Outcome.ANSWERED,
        status=raw["status"],
        headers=tuple(Header(*header) for header in raw["headers"]),
        body=base64.b64decode(raw["body"]),
    )


def encode_binding(binding: Binding, epoch: int) -> dict:
    return {
        "upstream": binding.upstream,
        "incarnation": binding.incarnation,
        "window": binding.window,
        "generation": binding.generation,
        "fingerprint": binding.fingerprint,
        "claim_id": binding.claim_id,
        "released": binding.released,
        "result": None if binding.done is None else _encode_result(binding.done),
        "epoch": epoch,
    }


def decode_binding(customer: str, key: str, row: Row) -> Binding:
    value = row.value
    return Binding(
        customer,
        key,
        value["upstream"],
        value["incarnation"],
        value["window"],
        value["generation"],
        value["fingerprint"],
        value["claim_id"],
        None if value["result"] is None else _decode_result(value["result"]),
        value["released"],
        row.version,
    )


def stored_bytes(result: CallResult) -> int:
    headers = sum(len(header.name) + len(header.value) for header in result.headers)
    return len(result.body) + headers
