"""Error responses for callers: a stable code, an HTTP status and the outcome."""

from typing import TypedDict

from bulrushdrum._internal.caller.receiving import RequestRefused
from bulrushdrum._internal.limits.errors import ConcurrencyExceeded
from bulrushdrum._internal.records.errors import RecordBufferFull
from bulrushdrum._internal.routing.errors import (
    RequestFailed,
    RequestNotRun,
    RequestOutcomeUnknown,
)

_STATUS_BY_CODE = {
    "unauthenticated": 401,
    "not_found": 404,
    "method_not_allowed": 405,
    "request_too_large": 413,
    "request_timeout": 408,
    "invalid_request": 400,
    "idempotency_key_required": 400,
    "model_not_found": 404,
    "service_not_found": 404,
    "key_reused": 422,
    "request_crashes_upstreams": 422,
    "concurrency_exceeded": 429,
    "overloaded": 503,
    "draining": 503,
    "not_ready": 503,
    "no_chain": 503,
    "store_unavailable": 503,
    "records_full": 503,
    "deadline_exceeded": 504,
}


class ErrorBody(TypedDict):
    """The JSON object under `error`.

    `ran` is "no" if the request did not run and "unknown" if it may have run.
    """

    code: str
    message: str
    ran: str
    request_id: str


class CallerError(Exception):
    """An error that is sent to the caller."""

    def __init__(self, code: str, message: str, ran: str = "no"):
        super().__init__(message)
        self.code = code
        self.ran = ran

    @property
    def status(self) -> int:
        default = 503 if self.ran == "no" else 502
        return _STATUS_BY_CODE.get(self.code, default)

    def body(self, request_id: str = "") -> ErrorBody:
        return ErrorBody(
            code=self.code, message=str(self), ran=self.ran, request_id=request_id
        )


def to_caller_error(error: Exception) -> CallerError:
    """Convert an exception from a lower layer to a `CallerError`."""
    match error:
        case CallerError():
            return error
        case RequestRefused():
            return CallerError(error.code, str(error))
        case ConcurrencyExceeded():
            return CallerError("concurrency_exceeded", str(error))
        case RequestNotRun():
            return CallerError(error.code, str(error))
        case RequestOutcomeUnknown():
            return CallerError(error.code, str(error), "unknown")
        case RequestFailed():
            return CallerError(error.code, str(error), "unknown")
        case RecordBufferFull():
            return CallerError("records_full", str(error))
        case _:
            # An unexpected exception does not show whether the request ran.
            return CallerError("internal_error", "internal error", "unknown")
