"""Messages that carry requests: attempts at generations, and calls to services.

Each message mirrors the struct of the same name in `wire.capnp`.
"""

from typing import NamedTuple


class ChainStage(NamedTuple):
    """One stage of a chain and the sidecar incarnation that serves it."""

    upstream: str = ""
    incarnation: str = ""
    address: str = ""
    first_layer: int = 0
    end_layer: int = 0


class Open(NamedTuple):
    """Request from an entry to open an attempt on a stage."""

    request: str = ""
    attempt: int = 0
    stage: int = 0
    chain: tuple[ChainStage, ...] = ()
    customer: str = ""
    weight: float = 0.0
    priority: int = 0
    seed: int = 0
    max_tokens: int = 0
    prompt_tokens: int = 0
    model: str = ""
    model_version: str = ""
    fingerprint: str = ""
    binding_key: str = ""
    window: int = 0
    generation: int = 0
    solo: bool = False


class Opened(NamedTuple):
    """Response from a stage to `Open`."""

    request: str = ""
    attempt: int = 0
    stage: int = 0
    accepted: bool = False
    reason: str = ""
    outcome: str = ""


class Step(NamedTuple):
    """Input of a stage for `count` positions starting at `position`."""

    request: str = ""
    attempt: int = 0
    position: int = 0
    count: int = 0
    tokens: tuple[int, ...] = ()
    activation: bytes = b""


class Steps(NamedTuple):
    """A run of steps that were queued for one peer."""

    steps: tuple[Step, ...] = ()


class Token(NamedTuple):
    """A token produced by the last stage."""

    request: str = ""
    attempt: int = 0
    position: int = 0
    token: int = 0
    text: str = ""
    final: bool = False
    finish_reason: str = ""


class Tokens(NamedTuple):
    """A run of tokens that were queued for one entry."""

    tokens: tuple[Token, ...] = ()


class Close(NamedTuple):
    """Sent by an entry to end an attempt; the stage then frees its KV cache."""

    request: str = ""
    attempt: int = 0
    reason: str = ""


class AttemptFailed(NamedTuple):
    """Report from a stage that an attempt has failed."""

    request: str = ""
    attempt: int = 0
    upstream: str = ""
    cause: str = ""
    ran: bool = False
    suspects: tuple[str, ...] = ()
    incident: str = ""


class Header(NamedTuple):
    """One HTTP header."""

    name: str = ""
    value: str = ""


class Call(NamedTuple):
    """A call to a service that is not a model engine."""

    call: str = ""
    customer: str = ""
    service: str = ""
    method: str = ""
    path: str = ""
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    binding_key: str = ""
    window: int = 0
    generation: int = 0
    fingerprint: str = ""
    timeout_ms: int = 0
    weight: float = 0.0
    priority: int = 0


class CallResult(NamedTuple):
    """The result of a `Call`; `outcome` is answered, not_run or unknown."""

    call: str = ""
    outcome: str = ""
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    reason: str = ""


class Resolve(NamedTuple):
    """Query for the outcome of a bound key, which is cancelled if it has not run.

    Only `generation` and earlier generations are cancelled.
    """

    call: str = ""
    customer: str = ""
    binding_key: str = ""
    window: int = 0
    generation: int = 0


class Resolved(NamedTuple):
    """Response to `Resolve`; `state` is done, running, cancelled or unknown."""

    call: str = ""
    state: str = ""
    result: CallResult | None = None
