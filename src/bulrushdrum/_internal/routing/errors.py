"""Errors of the routing layer: how a request can fail."""


class RoutingError(Exception):
    """Base class of every error raised by this package.

    `code` is the stable code that callers see.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class RequestNotRun(RoutingError):
    """The request was refused, and no upstream ran or will run any of it."""


class RequestOutcomeUnknown(RoutingError):
    """The request ended without a whole answer; an upstream may have run some of it."""


class NoChain(RoutingError):
    """No chain of serving upstreams covers the model's layers."""


class AttemptAborted(RoutingError):
    """One attempt failed.

    `ran` says whether a layer may have run in it; `upstream` is at fault, if known.
    """

    def __init__(self, cause: str, ran: bool, upstream: str = "", incident=None):
        super().__init__("attempt_failed", cause)
        self.cause = cause
        self.ran = ran
        self.upstream = upstream
        self.incident = incident
