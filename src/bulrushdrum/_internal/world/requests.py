"""Chat requests, request ids and request outcomes."""

import hashlib
import secrets
from enum import StrEnum
from typing import NamedTuple

# Idempotency keys are embedded in row keys and URLs, which limits their length.
MAX_KEY_CHARACTERS = 512


class Outcome(StrEnum):
    """The outcome of a request.

    `UNKNOWN` means that the request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ChatRequest(NamedTuple):
    """A validated chat request; `prompt` holds token ids, `seed` is for sampling."""

    request_id: str
    customer: str
    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    seed: int
    kind: str = ""
    idempotency_key: str = ""
    non_idempotent: bool = False
    fingerprint: str = ""


def new_request_id(entry: str) -> str:
    """Return a new request id prefixed with the name of the accepting entry."""
    return f"{entry}-{secrets.token_hex(8)}"


def request_fingerprint(customer: str, body: bytes) -> str:
    """Return a hash of the request that is the same at every entry."""
    return hashlib.sha256(customer.encode() + b"\0" + body).hexdigest()[:32]
