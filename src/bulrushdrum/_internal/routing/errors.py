"""Errors of the routing layer."""

from bulrushdrum._internal.peering.errors import ConnectionLost


class RoutingError(Exception):
    """Base class of every error raised by this package."""


class RequestFailed(RoutingError):
    """A request ended without a complete answer.

    `code` is a stable error code for callers.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class RequestNotRun(RequestFailed):
    """The request was refused; no upstream has run or will run any part of it."""


class RequestOutcomeUnknown(RequestFailed):
    """The request has no complete answer, and an upstream may have run part of it."""


class NoChain(RequestFailed):
    """No chain of serving upstreams covers the model's layers."""


class AttemptAborted(RoutingError):
    """One attempt failed.

    `ran` is true if any layer may have run in the attempt. `upstream` is the sidecar
    incarnation at fault, or empty if it is not known.
    """

    def __init__(self, cause: str, ran: bool, upstream: str = ""):
        super().__init__(cause)
        self.cause = cause
        self.ran = ran
        self.upstream = upstream


class ClaimsUnavailable(RoutingError):
    """A claim row could not be read or written.

    The row may have been written nevertheless. This is harmless: a row only permits a
    sidecar to run the key, and nothing was sent to the sidecar.
    """


class KeyReused(RoutingError):
    """The idempotency key is bound to a request with another fingerprint."""


class InvalidIdempotencyKey(RoutingError):
    """The idempotency key is malformed."""


class InvalidIssuedKey(InvalidIdempotencyKey):
    """The key looks like an issued key, but its key id is unknown or its MAC wrong."""


class CallTimeout(RoutingError):
    """The sidecar is connected but did not answer in time."""


class NotSent(ConnectionLost):
    """There is no connection, and nothing was sent."""
