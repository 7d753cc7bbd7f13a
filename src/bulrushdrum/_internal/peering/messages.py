"""Typed messages between processes.

Each message is a `NamedTuple` with the fields of the struct of the same name in
`wire.capnp`; `codec` turns them into the bytes of a frame and back.
"""

from typing import NamedTuple


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
    """Heartbeat in either direction."""

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
    incident: str = ""


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
    """Entries of the configuration log, or one part of a snapshot.

    `token` is that of the query, or 0 for a push; `head` is the sender's revision.
    """

    entries: tuple[ConfigEntry, ...] = ()
    snapshot: bool = False
    head: int = 0
    token: int = 0
    part: int = 0
    last: bool = False
    ready: bool = False


class ConfigQuery(NamedTuple):
    """Asks for the entries after a revision."""

    after: int = 0
    token: int = 0


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
    number: int = 0


class PermitReturn(NamedTuple):
    """Ends a loan."""

    loan: str = ""


class BusyPermit(NamedTuple):
    """A permit that is still in use at a former owner."""

    customer: str = ""
    number: int = 0


class EntryMember(NamedTuple):
    """An entry as a member of the entry set."""

    node: str = ""
    incarnation: str = ""
    address: str = ""
    data_centre: str = ""
    region: str = ""


class EntrySetAck(NamedTuple):
    """The sender has adopted a version of the entry set.

    `guests` are entries known to the sender that are not members of that version.
    """

    version: int = 0
    busy: tuple[BusyPermit, ...] = ()
    sequence: int = 0
    guests: tuple[EntryMember, ...] = ()


class EntrySetQuery(NamedTuple):
    """Asks a peer for the entry set; `version` is the one the sender has."""

    version: int = 0


class EntrySetValue(NamedTuple):
    """A version of the entry set as the table holds it."""

    version: int = 0
    members: tuple[EntryMember, ...] = ()


class LoansQuery(NamedTuple):
    """A lender asks which of these loans the peer still holds."""

    loans: tuple[str, ...] = ()


class LoansHeld(NamedTuple):
    """Answer to `LoansQuery`; the loans that are not held will never be used."""

    queried: tuple[str, ...] = ()
    held: tuple[str, ...] = ()


class RecordCopies(NamedTuple):
    """Request records for the partner entry to keep; each is JSON.

    A copy of all records that the sender keeps begins with the batch with `restart` and
    ends with the one with `complete`.
    """

    batch: int = 0
    records: tuple[str, ...] = ()
    restart: bool = False
    complete: bool = False


class RecordsAck(NamedTuple):
    """The partner entry holds the batch."""

    batch: int = 0


class RecordsFlushed(NamedTuple):
    """These records are in the object store; the partner may drop them.

    `all` lets a former partner drop all it holds, because another one holds them now.
    """

    ids: tuple[str, ...] = ()
    all: bool = False


class Incident(NamedTuple):
    """The death of an engine and the fingerprints in the call that it was running."""

    id: str = ""
    fingerprints: tuple[str, ...] = ()


class Suspects(NamedTuple):
    """Incidents to share with all entries.

    One with a `query`, the id of a new incident, asks which of its requests the peer
    runs. The answer names that id in `answers` and those requests in `running`.
    """

    incidents: tuple[Incident, ...] = ()
    query: str = ""
    answers: str = ""
    running: tuple[str, ...] = ()


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
    | EntrySetQuery
    | EntrySetValue
    | LoansQuery
    | LoansHeld
)
