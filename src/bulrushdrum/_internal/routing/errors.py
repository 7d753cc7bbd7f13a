"""Errors of the routing layer."""

from bulrushdrum._internal.peering.errors import ConnectionLost


class RoutingError(Exception):
    """Base class of every error raised by this package."""


class RequestFailed(RoutingError):
    """A request ended without a whole answer. `code` is the stable code for callers."""

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class RequestNotRun(RequestFailed):
    """The request was refused, and no upstream ran or will run any of it."""


class RequestOutcomeUnknown(RequestFailed):
    """The request ended without a whole answer; an upstream may have run some of it."""


class NoChain(RequestFailed):
    """No chain of serving upstreams covers the model's layers."""


class AttemptAborted(RoutingError):
    """One attempt failed.

    `ran` says whether a layer may have run in it; `upstream` is the sidecar incarnation
    at fault, if known.
    """

    def __init__(self, cause: str, ran: bool, upstream: str = ""):
        super().__init__(cause)
        self.cause = cause
        self.ran = ran
        self.upstream = upstream


class ClaimsUnavailable(RoutingError):
    """The table could not settle a claim.

    A claim row may have been written all the same. It is harmless: a row permits a
    sidecar to run the key and nothing was sent to the sidecar.
    """


class KeyReused(RoutingError):
    """The idempotency key belongs to a request with another body."""


class InvalidIdempotencyKey(RoutingError):
    """The idempotency key cannot be used at all."""


class InvalidIssuedKey(InvalidIdempotencyKey):
    """The key looks like an issued one and its MAC does not match."""


class CallTimeout(RoutingError):
    """The sidecar is connected and has not answered in time."""


class NotSent(ConnectionLost):
    """There is no connection, and nothing was handed to one."""
