"""Requests and how they end."""

import hashlib
import secrets
from enum import StrEnum
from typing import NamedTuple

# Idempotency keys become part of a row's key and of a URL.
MAX_KEY_CHARACTERS = 512


class Outcome(StrEnum):
    """The three ways a request can end."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ChatRequest(NamedTuple):
    """A checked chat completion. `prompt` holds token ids; `seed` drives sampling."""

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
    """Return a fresh id that names the entry which accepted the request."""
    return f"{entry}-{secrets.token_hex(8)}"


def request_fingerprint(customer: str, body: bytes) -> str:
    """Return the same value for the same request, whichever entry receives it."""
    return hashlib.sha256(customer.encode() + b"\0" + body).hexdigest()[:32]
