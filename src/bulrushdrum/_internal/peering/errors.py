"""Errors of the peering layer."""


class PeeringError(Exception):
    """Base class of every error raised by this package."""


class FrameError(PeeringError):
    """A frame is too large, cannot be decoded or is not allowed at this point."""


class HandshakeError(PeeringError):
    """The peer did not prove the shared key, or speaks another protocol."""


class ConnectionLost(PeeringError):
    """The connection to the peer is closed, broken or could not be made."""
