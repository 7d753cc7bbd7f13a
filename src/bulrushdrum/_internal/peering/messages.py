"""The type of every message that is a frame of its own.

The `codec` module encodes and decodes them.
"""

from bulrushdrum._internal.peering.process_messages import (
    Beat,
    CacheEvents,
    Describe,
    Dump,
    DumpQuery,
    Hello,
    Proof,
    Rejected,
    Welcome,
)
from bulrushdrum._internal.peering.request_messages import (
    AttemptFailed,
    Call,
    CallResult,
    Close,
    Open,
    Opened,
    Resolve,
    Resolved,
    Steps,
    Tokens,
)
from bulrushdrum._internal.peering.shared_state_messages import (
    ConfigConfirm,
    ConfigEntries,
    ConfigQuery,
    Desired,
    EntrySetAck,
    EntrySetQuery,
    EntrySetValue,
    LoansHeld,
    LoansQuery,
    OrderLease,
    OrderLeaseRequest,
    PermitBorrow,
    PermitLoan,
    PermitReturn,
    RecordCopies,
    RecordsAck,
    RecordsFlushed,
    Suspects,
)

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
