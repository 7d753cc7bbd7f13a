"""Errors of the routing layer."""

from bulrushdrum._internal.peering.errors import ConnectionLost


class RoutingError(Exception):
    """Base class of every error raised by this package."""


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
