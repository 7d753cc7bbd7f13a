"""Errors of the sidecar layer."""


class SidecarError(Exception):
    """Base class of every error raised by this package."""


class EngineUnreachable(SidecarError):
    """No connection to the engine could be made, so nothing was sent to it."""


class EngineLost(SidecarError):
    """The engine did not answer; it may have run what was sent to it.

    `crashed` is false if it only took too long.
    """

    def __init__(self, message: str, crashed: bool):
        super().__init__(message)
        self.crashed = crashed


class EngineRefused(SidecarError):
    """The engine answered with an error; `status` is its HTTP status."""

    def __init__(self, status: int, text: str):
        super().__init__(f"engine answered {status}: {text[:200]}")
        self.status = status


class NextStageUnreachable(SidecarError):
    """The sidecar of the next stage cannot be reached, or it has restarted."""
