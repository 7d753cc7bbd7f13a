"""Typed messages between processes, and their encoding with Cap'n Proto.

Each message is a `NamedTuple` with the fields of the struct of the same name in
`wire.capnp`. `encode` and `decode` turn them into the bytes of one frame and back:

>>> decode(encode(RecordsAck(batch=7)))
RecordsAck(batch=7)

Undecodable bytes raise `FrameError`.
"""

from pathlib import Path
from typing import NamedTuple, get_args, get_origin

import capnp

from bulrushdrum._internal.peering.errors import FrameError

capnp.remove_import_hook()
_WIRE = capnp.load(str(Path(__file__).with_name("wire.capnp")))


class Hello(NamedTuple):
    """First message of the side that dialled: who it is and a fresh nonce."""

    protocol: int = 0
    kind: str = ""
    node: str = ""
    incarnation: str = ""
    data_centre: str = ""
    address: str = ""
    key_id: str = ""
    nonce: bytes = b""


class Welcome(NamedTuple):
    """Answer to `Hello`: the accepting side, its nonce and its proof of the key."""

    protocol: int = 0
    kind: str = ""
    node: str = ""
    incarnation: str = ""
    data_centre: str = ""
    address: str = ""
    nonce: bytes = b""
    mac: bytes = b""


class Proof(NamedTuple):
    """The dialling side proves that it holds the key."""

    mac: bytes = b""


class Rejected(NamedTuple):
    """The accepting side refuses the connection and says why."""

    reason: str = ""


class Describe(NamedTuple):
    """What a sidecar says of its upstream; sent on connect and on each change."""

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
    """Heartbeat in either direction, with the highest sequence number received."""

    sequence: int = 0
    echoed: int = 0
    state: str = ""
    window: int = 0
    running: int = 0
    queued_tokens: int = 0
    config_revision: int = 0
    entry_set_version: int = 0


class ChainStage(NamedTuple):
    """One stage of a chain and the sidecar incarnation that serves it."""

    upstream: str = ""
    incarnation: str = ""
    address: str = ""
    first_layer: int = 0
    end_layer: int = 0


class Open(NamedTuple):
    """An entry asks a stage to take part in an attempt."""

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
    """A stage's answer to `Open`."""

    request: str = ""
    attempt: int = 0
    stage: int = 0
    accepted: bool = False
    reason: str = ""


class Step(NamedTuple):
    """Input of a stage for `count` positions starting at `position`."""

    request: str = ""
    attempt: int = 0
    position: int = 0
    count: int = 0
    tokens: tuple[int, ...] = ()
    activation: bytes = b""


class Steps(NamedTuple):
    """All steps queued for one peer."""

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
    """All tokens queued for one entry."""

    tokens: tuple[Token, ...] = ()


class Close(NamedTuple):
    """The entry ends an attempt; the stage frees its KV cache."""

    request: str = ""
    attempt: int = 0
    reason: str = ""


class AttemptFailed(NamedTuple):
    """A stage reports that an attempt cannot go on."""

    request: str = ""
    attempt: int = 0
    upstream: str = ""
    cause: str = ""
    ran: bool = False
    suspects: tuple[str, ...] = ()


class Header(NamedTuple):
    """One HTTP header."""

    name: str = ""
    value: str = ""


class Call(NamedTuple):
    """A call to a plain service."""

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
    """Asks what became of a bound key; cancels the key if it has not run.

    Only `generation` and those before it are cancelled.
    """

    call: str = ""
    customer: str = ""
    binding_key: str = ""
    window: int = 0
    generation: int = 0


class Resolved(NamedTuple):
    """State of a bound key: done, running, cancelled or unknown."""

    call: str = ""
    state: str = ""
    result: CallResult | None = None


class ConfigEntry(NamedTuple):
    """One entry of the configuration log."""

    revision: int = 0
    kind: str = ""
    key: str = ""
    value: str = ""
    edit_id: str = ""


class ConfigEntries(NamedTuple):
    """Entries of the configuration log, or a whole snapshot."""

    entries: tuple[ConfigEntry, ...] = ()
    snapshot: bool = False
    head: int = 0


class ConfigQuery(NamedTuple):
    """Asks for the entries after a revision."""

    after: int = 0


class ConfigConfirm(NamedTuple):
    """Confirms that a revision is in force at the sender."""

    revision: int = 0


class PermitBorrow(NamedTuple):
    """Asks the owner of a permit for a loan."""

    loan: str = ""
    customer: str = ""


class PermitLoan(NamedTuple):
    """Answer to `PermitBorrow`."""

    loan: str = ""
    granted: bool = False
    reason: str = ""


class PermitReturn(NamedTuple):
    """Ends a loan."""

    loan: str = ""


class BusyPermit(NamedTuple):
    """A permit that is still in use at a former owner."""

    customer: str = ""
    number: int = 0


class EntrySetAck(NamedTuple):
    """The sender has adopted a version of the entry set."""

    version: int = 0
    busy: tuple[BusyPermit, ...] = ()


class RecordCopies(NamedTuple):
    """Request records for the partner entry to keep; each is JSON."""

    batch: int = 0
    records: tuple[str, ...] = ()


class RecordsAck(NamedTuple):
    """The partner entry holds the batch."""

    batch: int = 0


class RecordsFlushed(NamedTuple):
    """These records are in the object store; the partner may drop them."""

    ids: tuple[str, ...] = ()


class Suspect(NamedTuple):
    """A request that was on board when an engine died."""

    fingerprint: str = ""
    deaths: int = 0
    convicted: bool = False


class Suspects(NamedTuple):
    """Suspects to share with all entries."""

    suspects: tuple[Suspect, ...] = ()


class OrderLeaseRequest(NamedTuple):
    """A sidecar asks to be allowed to give orders; epoch 0 asks for a new one."""

    token: str = ""
    upstream: str = ""
    epoch: int = 0


class OrderLease(NamedTuple):
    """Answer to `OrderLeaseRequest`, confirmed from the table."""

    token: str = ""
    granted: bool = False
    epoch: int = 0
    desired_revision: int = 0
    desired: str = ""
    reason: str = ""


class Desired(NamedTuple):
    """The desired state of an upstream as JSON, from the operators' configuration."""

    upstream: str = ""
    revision: int = 0
    value: str = ""


class CacheEvent(NamedTuple):
    """A prompt prefix was stored in or evicted from a cache."""

    prefix: str = ""
    stored: bool = False


class CacheEvents(NamedTuple):
    """Cache events of an upstream; gaps in `sequence` mean lost events."""

    sequence: int = 0
    events: tuple[CacheEvent, ...] = ()


class DumpQuery(NamedTuple):
    """Asks a process for a dump of its state."""

    token: str = ""


class Dump(NamedTuple):
    """The state of a process as JSON, without secrets."""

    token: str = ""
    state: str = ""


Message = (
    Hello
    | Welcome
    | Proof
    | Describe
    | Beat
    | Open
    | Opened
    | Steps
    | Tokens
    | Close
    | AttemptFailed
    | Call
    | CallResult
    | Resolve
    | ConfigEntries
    | ConfigQuery
    | ConfigConfirm
    | PermitBorrow
    | PermitLoan
    | PermitReturn
    | EntrySetAck
    | RecordCopies
    | RecordsAck
    | RecordsFlushed
    | Suspects
    | OrderLeaseRequest
    | OrderLease
    | Desired
    | Rejected
    | Resolved
    | CacheEvents
    | DumpQuery
    | Dump
)

_UNION_NAMES: dict[type, str] = {
    Hello: "hello",
    Welcome: "welcome",
    Proof: "proof",
    Describe: "describe",
    Beat: "beat",
    Open: "open",
    Opened: "opened",
    Steps: "steps",
    Tokens: "tokens",
    Close: "close",
    AttemptFailed: "attemptFailed",
    Call: "call",
    CallResult: "callResult",
    Resolve: "resolve",
    ConfigEntries: "configEntries",
    ConfigQuery: "configQuery",
    ConfigConfirm: "configConfirm",
    PermitBorrow: "permitBorrow",
    PermitLoan: "permitLoan",
    PermitReturn: "permitReturn",
    EntrySetAck: "entrySetAck",
    RecordCopies: "recordCopies",
    RecordsAck: "recordsAck",
    RecordsFlushed: "recordsFlushed",
    Suspects: "suspects",
    OrderLeaseRequest: "orderLeaseRequest",
    OrderLease: "orderLease",
    Desired: "desired",
    Rejected: "rejected",
    Resolved: "resolved",
    CacheEvents: "cacheEvents",
    DumpQuery: "dumpQuery",
    Dump: "dump",
}
_MESSAGE_TYPES = {name: kind for kind, name in _UNION_NAMES.items()}


def _camel(name):
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


class _Field(NamedTuple):
    name: str
    wire_name: str
    item: type | None  # message type of a nested value
    many: bool


def _fields(kind):
    fields = []
    for name, annotation in kind.__annotations__.items():
        args = get_args(annotation)
        many = get_origin(annotation) is tuple
        nested = [arg for arg in args if hasattr(arg, "_fields")]
        fields.append(_Field(name, _camel(name), nested[0] if nested else None, many))
    return tuple(fields)


_FIELDS = {
    kind: _fields(kind)
    for kind in list(globals().values())
    if isinstance(kind, type) and hasattr(kind, "_fields") and kind is not _Field
}


def _to_wire(message):
    values = {}
    for field, value in zip(_FIELDS[type(message)], message, strict=True):
        if field.item is None:
            values[field.wire_name] = list(value) if field.many else value
        elif field.many:
            values[field.wire_name] = [_to_wire(item) for item in value]
        elif value is not None:
            values[field.wire_name] = _to_wire(value)
    return values


def _from_wire(kind, reader):
    values = []
    for field in _FIELDS[kind]:
        value = getattr(reader, field.wire_name)
        if field.many and field.item is not None:
            value = tuple(_from_wire(field.item, item) for item in value)
        elif field.many:
            value = tuple(value)
        elif field.item is not None:
            value = _from_wire(field.item, value)
        values.append(value)
    return kind._make(values)


def encode(message: Message) -> bytes:
    """Return the bytes of the frame that carries `message`.

    A field whose value does not fit its type in `wire.capnp` raises `FrameError`.
    """
    try:
        name = _UNION_NAMES[type(message)]
        return _WIRE.Frame.new_message(**{name: _to_wire(message)}).to_bytes()
    except (capnp.KjException, TypeError, OverflowError, KeyError) as error:
        raise FrameError(f"cannot encode {message!r}: {error}") from error


def decode(data: bytes) -> Message:
    """Return the message in `data`, or raise `FrameError`."""
    try:
        with _WIRE.Frame.from_bytes(data) as frame:
            name = frame.which()
            return _from_wire(_MESSAGE_TYPES[str(name)], getattr(frame, str(name)))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise FrameError(
            f"frame of {len(data)} bytes cannot be decoded: {error}"
        ) from error
