"""Messages in which a process states its identity, its state and its caches.

Each message mirrors the struct of the same name in `wire.capnp`.
"""

from typing import NamedTuple


class Hello(NamedTuple):
    """First message of the dialling side: its identity and a fresh nonce."""

    protocol: int = 0
    kind: str = ""
    node: str = ""
    incarnation: str = ""
    data_centre: str = ""
    address: str = ""
    key_id: str = ""
    nonce: bytes = b""


class Welcome(NamedTuple):
    """Response to `Hello`: identity, nonce and MAC of the accepting side."""

    protocol: int = 0
    kind: str = ""
    node: str = ""
    incarnation: str = ""
    data_centre: str = ""
    address: str = ""
    nonce: bytes = b""
    mac: bytes = b""


class Proof(NamedTuple):
    """Response to `Welcome`: the MAC of the dialling side."""

    mac: bytes = b""


class Rejected(NamedTuple):
    """The accepting side refuses the connection for `reason`."""

    reason: str = ""


class Describe(NamedTuple):
    """Description of a sidecar's upstream, sent on connect and on each change."""

    upstream: str = ""
    service: str = ""
    model: str = ""
    model_version: str = ""
    first_layer: int = 0
    end_layer: int = 0
    model_layers: int = 0
    accelerator: str = ""
    tokens_per_second: float = 0.0
    slots: int = 0
    state: str = ""
    window: int = 0


class Beat(NamedTuple):
    """Heartbeat, sent in both directions."""

    state: str = ""
    window: int = 0
    running: int = 0
    queued_tokens: int = 0
    config_revision: int = 0
    entry_set_version: int = 0


class CacheEvent(NamedTuple):
    """A prompt prefix was stored in or evicted from a cache."""

    prefix: str = ""
    stored: bool = False


class CacheEvents(NamedTuple):
    """Cache events of an upstream; a gap in `sequence` means that events were lost."""

    sequence: int = 0
    events: tuple[CacheEvent, ...] = ()


class DumpQuery(NamedTuple):
    """Query for the state dump of a process."""

    token: str = ""


class Dump(NamedTuple):
    """Response to `DumpQuery`: the state of a process as JSON, without secrets."""

    token: str = ""
    state: str = ""
