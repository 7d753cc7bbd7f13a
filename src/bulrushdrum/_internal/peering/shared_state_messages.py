"""Messages about state that processes share: configuration, permits and records.

Each message mirrors the struct of the same name in `wire.capnp`.
"""

from typing import NamedTuple


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
