"""Bindings of idempotency keys and their encoding as rows of the table."""

import base64
from typing import NamedTuple
from urllib.parse import quote

from bulrushdrum._internal.peering.request_messages import CallResult, Header
from bulrushdrum._internal.platform.table import Row
from bulrushdrum._internal.routing.errors import InvalidIdempotencyKey
from bulrushdrum._internal.world.requests import MAX_KEY_CHARACTERS, Outcome

CLAIM_PREFIX = "claim/"
EPOCH_KEY = "claim-epoch"


class BindingProposal(NamedTuple):
    """A sidecar incarnation that can run a key, and the window it last reported."""

    upstream: str
    incarnation: str
    window: int


class Binding(NamedTuple):
    """The only incarnation that may run a key, or the fact that the key is released.

    A released key has not run under this generation or an earlier one, and no sidecar
    may run it until it is bound again. `stored_result` is the result, once the row
    holds it. `version` is the version of the row, 0 for the binding of an issued key.
    `wrote_row` is true if the call that returned this binding wrote the row; it is not
    stored in the row.
    """

    customer: str
    key: str
    upstream: str
    incarnation: str
    window: int
    generation: int
    fingerprint: str
    claim_id: str
    stored_result: CallResult | None = None
    released: bool = False
    version: int = 0
    wrote_row: bool = False


class ClaimEpoch(NamedTuple):
    """The current retention epoch and the version of its row."""

    number: int = 0
    version: int = 0


def claim_row_key(customer: str, key: str) -> str:
    """Return the key of the claim row; raises `InvalidIdempotencyKey`."""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise InvalidIdempotencyKey(
            f"an idempotency key must have 1 to {MAX_KEY_CHARACTERS} characters, "
            f"but this one has {len(key)}"
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
        "result": None
        if binding.stored_result is None
        else _encode_result(binding.stored_result),
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


def result_size_bytes(result: CallResult) -> int:
    headers = sum(len(header.name) + len(header.value) for header in result.headers)
    return len(result.body) + headers
