"""Errors of the sidecar layer."""


class SidecarError(Exception):
    """Base class of every error raised by this package."""


class EngineUnreachable(SidecarError):
    """Connecting to the engine failed, so nothing was sent to it."""


class EngineLost(SidecarError):
    """The engine did not answer and may have run what was sent to it.

    `crashed` is False if the call timed out.
    """

    def __init__(self, message: str, crashed: bool):
        super().__init__(message)
        self.crashed = crashed


class EngineRefused(SidecarError):
    """The engine answered with an error; `status` is the HTTP status code."""

    def __init__(self, status: int, text: str):
        super().__init__(f"engine answered {status}: {text[:200]}")
        self.status = status


class NextStageUnreachable(SidecarError):
    """The sidecar of the next stage is unreachable or has restarted."""
