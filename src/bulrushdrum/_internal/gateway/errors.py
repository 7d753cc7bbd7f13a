"""Exceptions of the gateway."""


class GatewayError(Exception):
    """Base class of all exceptions raised by this package."""


class CallerDisconnected(GatewayError):
    """The caller closed its connection and cannot receive the response."""


class BadRequest(GatewayError):
    """A caller sent a malformed request, or one that exceeds a limit."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class UpstreamFailed(GatewayError):
    """An upstream returned no valid response.

    `may_have_run` is true if the upstream may have started to process the request;
    `unresponsive` is true if it timed out, stalled or restarted.
    """

    def __init__(self, message: str, may_have_run: bool, unresponsive: bool = False):
        super().__init__(message)
        self.may_have_run = may_have_run
        self.unresponsive = unresponsive


class UpstreamError(UpstreamFailed):
    """An upstream returned a status that says that it failed to run the request."""

    def __init__(self, status: int):
        super().__init__(f"the upstream returned status {status}", True)


class ResponseTooLarge(UpstreamFailed):
    """An upstream sent a head, an event or a body larger than the limit, in bytes."""

    def __init__(self, part: str, limit: int):
        super().__init__(f"the {part} exceeds {limit} bytes", True)


class ResponseLate(UpstreamFailed):
    """A buffered response was not complete in time; it may still arrive."""

    def __init__(self):
        super().__init__("no answer in time", True, unresponsive=True)


class DeadlinePassed(UpstreamFailed):
    """The deadline of the request passed while its upstream was at work."""


class UpstreamRestarted(UpstreamFailed):
    """An upstream of the path has restarted and holds no layers."""


class UpstreamSilent(UpstreamFailed):
    """The path of a stream has fallen silent, and the stream moves to another one.

    `candidates` are the ids of the upstreams that may be silent.
    """

    def __init__(self, message: str, candidates: frozenset[str]):
        super().__init__(message, True, True)
        self.candidates = candidates


class ConnectionRefused(UpstreamFailed):
    """Nothing listens at the address of the upstream, so its process has ended."""

    def __init__(self, message: str):
        super().__init__(message, False)
