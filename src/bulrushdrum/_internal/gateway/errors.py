"""Errors of the gateway."""


class GatewayError(Exception):
    """Base class of every error raised by this package."""


class CallerDisconnected(GatewayError):
    """The caller closed its connection; nobody waits for the answer."""


class BadRequest(GatewayError):
    """A caller sent what is no request, or more than is allowed."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class UpstreamFailed(GatewayError):
    """An upstream gave no usable answer.

    `may_have_run` says whether it may have begun the request; `silent` whether it gave
    no sign at all in time.
    """

    def __init__(self, message: str, may_have_run: bool, silent: bool = False):
        super().__init__(message)
        self.may_have_run = may_have_run
        self.silent = silent
