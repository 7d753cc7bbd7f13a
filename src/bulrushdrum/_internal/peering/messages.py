"""Typed messages between processes.

Each message is a `NamedTuple` that mirrors the struct of the same name in `wire.capnp`.
The `codec` module encodes and decodes them.
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


class ConfigEntry(NamedTuple):
    """One entry of the configuration log."""

    revision: int = 0
    kind: str = ""
    key: str = ""
    value: str = ""
    edit_id: str = ""


class ConfigEntries(NamedTuple):
    """Entries of the configuration log, or one part of a snapshot.

    `token` is that of the query, or 0 if the entries were pushed without a query;
    `head` is the sender's revision.
    """

    entries: tuple[ConfigEntry, ...] = ()
    snapshot: bool = False
    head: int = 0
    token: int = 0
    part: int = 0
    last: bool = False
    ready: bool = False


class ConfigQuery(NamedTuple):
    """Query for the configuration entries after a revision."""

    after: int = 0
    token: int = 0


class ConfigConfirm(NamedTuple):
    """Confirmation that a revision is in force at the sender."""

    revision: int = 0


class PermitBorrow(NamedTuple):
    """Request to borrow a permit from its owner."""

    loan: str = ""
    customer: str = ""


class PermitLoan(NamedTuple):
    """Response to `PermitBorrow`."""

    loan: str = ""
    granted: bool = False
    reason: str = ""
    number: int = 0


class PermitReturn(NamedTuple):
    """Notice that a loan has ended."""

    loan: str = ""


class BusyPermit(NamedTuple):
    """A permit that a former owner still uses."""

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
    """Acknowledgement that the sender has adopted a version of the entry set.

    `guests` are entries known to the sender that are not members of that version.
    """

    version: int = 0
    busy: tuple[BusyPermit, ...] = ()
    sequence: int = 0
    guests: tuple[EntryMember, ...] = ()


class EntrySetQuery(NamedTuple):
    """Query for the entry set; `version` is the version that the sender has."""

    version: int = 0


class EntrySetValue(NamedTuple):
    """A version of the entry set as stored in the table."""

    version: int = 0
    members: tuple[EntryMember, ...] = ()


class LoansQuery(NamedTuple):
    """Query from a lender for which of its loans the peer still holds."""

    loans: tuple[str, ...] = ()


class LoansHeld(NamedTuple):
    """Response to `LoansQuery`; loans that are not in `held` will never be used."""

    queried: tuple[str, ...] = ()
    held: tuple[str, ...] = ()


class RecordCopies(NamedTuple):
    """Request records, each in JSON, that the partner entry is to keep.

    A full copy of the sender's records begins with a batch that has `restart` set and
    ends with one that has `complete` set.
    """

    batch: int = 0
    records: tuple[str, ...] = ()
    restart: bool = False
    complete: bool = False


class RecordsAck(NamedTuple):
    """Acknowledgement that the partner entry holds the batch."""

    batch: int = 0


class RecordsFlushed(NamedTuple):
    """Notice that records are in the object store and the partner may drop them.

    `all` allows a former partner to drop every record of the sender, because another
    entry now holds them.
    """

    ids: tuple[str, ...] = ()
    all: bool = False


class Incident(NamedTuple):
    """A crash of an engine and the fingerprints in the call that it was running."""

    id: str = ""
    fingerprints: tuple[str, ...] = ()


class Suspects(NamedTuple):
    """Incidents to share with all entries.

    If `query` holds the id of a new incident, the peer is queried for which of the
    requests in that incident it runs. The response has that id in `answers` and the
    fingerprints of those requests in `running`.
    """

    incidents: tuple[Incident, ...] = ()
    query: str = ""
    answers: str = ""
    running: tuple[str, ...] = ()


class OrderLeaseRequest(NamedTuple):
    """Request from a sidecar for the lease to give orders.

    An `epoch` of 0 requests a new epoch.
    """

    token: str = ""
    upstream: str = ""
    epoch: int = 0


class OrderLease(NamedTuple):
    """Response to `OrderLeaseRequest`, confirmed from the table."""

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
