"""Execution and refusal of requests that carry an idempotency key."""

from collections.abc import Callable

from bulrushdrum._internal.caller.errors import CallerError
from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.peering.request_messages import CallResult
from bulrushdrum._internal.routing.at_most_once import AtMostOnceExecutor
from bulrushdrum._internal.routing.errors import InvalidIssuedKey
from bulrushdrum._internal.routing.issued_keys import is_issued_key, read_issued_key
from bulrushdrum._internal.world.requests import Outcome


class KeyedRequest:
    """One request with an idempotency key.

    The same key may have been sent before, to this entry or to another one.
    `is_caller_connected()` returns whether the caller's connection is still open.
    """

    def __init__(
        self,
        executor: AtMostOnceExecutor,
        customer: str,
        key: str,
        fingerprint: str,
        keys: PeeringKeys,
        is_caller_connected: Callable[[], bool],
    ):
        self._executor = executor
        self._customer = customer
        self._key = key
        self._fingerprint = fingerprint
        self._keys = keys
        self._is_caller_connected = is_caller_connected
        self._started = False

    def run(self, timeout: float) -> CallResult:
        """Run the request unless its key has run already; raises `CallerError`.

        If the key has run already, the stored result is returned.
        """
        try:
            issued = self._issued_binding()
        except InvalidIssuedKey as error:
            raise CallerError("invalid_request", str(error)) from error
        self._started = True
        result = self._executor.run(
            self._customer,
            self._key,
            self._fingerprint,
            timeout,
            issued,
            self._is_caller_connected,
        )
        match result.outcome:
            case Outcome.ANSWERED:
                return result.result
            case Outcome.NOT_RUN:
                code = result.reason or "not_run"
                raise CallerError(code, f"the request did not run: {result.reason}")
            case _:
                # An earlier request with the same key may have run, so "no" would be
                # wrong even if this request was never sent to a sidecar.
                sent = "" if result.sent else "; nothing was sent for this request"
                text = f"it is not known whether the key ran: {result.reason}{sent}"
                raise CallerError(result.reason, text, "unknown")

    def refuse(self, error: CallerError) -> CallerError:
        """Return the error to send to the caller when the request fails with `error`.

        If the request failed before its key was looked up, an earlier request with the
        same key may have run. The key is therefore released or, if it is an issued key,
        cancelled at its sidecar. If that fails, the returned error has the outcome
        "unknown".
        """
        if self._started or error.ran != "no":
            return error
        try:
            issued = self._issued_binding()
        except InvalidIssuedKey:
            return error  # no sidecar can have run a key with an invalid MAC
        result = self._executor.refuse(
            self._customer, self._key, self._fingerprint, error.code, issued
        )
        if result.outcome is Outcome.NOT_RUN:
            return error
        text = f"{error}; an earlier request with the same key may have run"
        return CallerError(error.code, text, "unknown")

    def _issued_binding(self):
        if not is_issued_key(self._key):
            return None
        return read_issued_key(self._key, self._customer, self._keys)
