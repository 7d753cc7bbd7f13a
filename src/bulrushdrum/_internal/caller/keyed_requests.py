"""Requests with an idempotency key, from admission to their outcome."""

from collections.abc import Callable

from bulrushdrum._internal.caller.errors import CallerError
from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.peering.messages import CallResult
from bulrushdrum._internal.routing.at_most_once import AtMostOnceExecutor
from bulrushdrum._internal.routing.errors import InvalidIssuedKey
from bulrushdrum._internal.routing.issued_keys import is_issued_key, read_issued_key
from bulrushdrum._internal.world.requests import Outcome


class KeyedRequest:
    """One sending of a key. `caller_waits()` tells whether its caller is connected."""

    def __init__(
        self,
        executor: AtMostOnceExecutor,
        customer: str,
        key: str,
        fingerprint: str,
        keys: PeeringKeys,
        caller_waits: Callable[[], bool],
    ):
        self._executor = executor
        self._customer = customer
        self._key = key
        self._fingerprint = fingerprint
        self._keys = keys
        self._caller_waits = caller_waits
        self._begun = False

    def run(self, timeout: float) -> CallResult:
        """Run the request at most once for its key; raises `CallerError`."""
        try:
            issued = self._issued()
        except InvalidIssuedKey as error:
            raise CallerError("invalid_request", str(error)) from error
        self._begun = True
        ended = self._executor.run(
            self._customer,
            self._key,
            self._fingerprint,
            timeout,
            issued,
            self._caller_waits,
        )
        match ended.outcome:
            case Outcome.ANSWERED:
                return ended.result
            case Outcome.NOT_RUN:
                code = ended.reason or "not_run"
                raise CallerError(code, f"the request did not run: {ended.reason}")
            case _:
                # An earlier request with the same key may have run, so "no" would be
                # wrong even if nothing was sent for this one.
                sent = "" if ended.sent else "; nothing was sent for this request"
                text = f"it is not known whether the key ran: {ended.reason}{sent}"
                raise CallerError(ended.reason, text, "unknown")

    def refused(self, error: CallerError) -> CallerError:
        """Return the error to tell the caller when `error` refuses the request.

        A refusal before the key was looked up says nothing of earlier sendings, so the
        key is released first. If that cannot be done, the key may have run.
        """
        if self._begun or error.ran != "no":
            return error
        try:
            issued = self._issued()
        except InvalidIssuedKey:
            return error  # no sidecar can have run it
        ended = self._executor.refuse(
            self._customer, self._key, self._fingerprint, error.code, issued
        )
        if ended.outcome is Outcome.NOT_RUN:
            return error
        text = f"{error}; an earlier request with the same key may have run"
        return CallerError(error.code, text, "unknown")

    def _issued(self):
        if not is_issued_key(self._key):
            return None
        return read_issued_key(self._key, self._customer, self._keys)
