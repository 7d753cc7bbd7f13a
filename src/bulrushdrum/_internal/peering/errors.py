"""Errors of the peering layer."""


class PeeringError(Exception):
    """Base class of the errors of this package."""


class FrameError(PeeringError):
    """A frame is too large or its message cannot be encoded or decoded."""


class HandshakeError(PeeringError):
    """The handshake failed, for example because of a wrong key or protocol version."""


class ConnectionLost(PeeringError):
    """The connection to the peer is closed, has failed or could not be established."""
