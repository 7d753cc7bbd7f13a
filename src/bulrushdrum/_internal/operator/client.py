"""HTTP client for the operator API of an entry."""

import json
import secrets
import time
from typing import Any
from urllib.parse import quote, urlencode

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bulrushdrum._internal.bounded_http import BoundedConnectionPool
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.operator.errors import CommandFailed
from bulrushdrum._internal.world.addresses import parse_address

# An entry may take about 20 s to determine the outcome of an edit.
_READ_TIMEOUT_SECONDS = 40.0
_CONNECT_TIMEOUT_SECONDS = 3.0
# Edits carry an id, so they can be repeated safely until their outcome is known.
_MAX_EDIT_ATTEMPTS = 3
_EDIT_RETRY_SECONDS = 1.0


class OperatorClient:
    """Client for the entry at `address`; its methods raise `CommandFailed`."""

    def __init__(self, address: str, key: str):
        if not address:
            raise CommandFailed(
                "usage", "set --operator or BULRUSHDRUM_OPERATOR to an entry's address"
            )
        if not key or not key.isascii() or not key.isprintable():
            raise CommandFailed(
                "usage",
                "set --key or BULRUSHDRUM_OPERATOR_KEY to a key of printable ASCII",
            )
        try:
            host, port = parse_address(address)
        except ValueError as error:
            raise CommandFailed("usage", str(error)) from error
        self._address = address
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }
        self._pool = BoundedConnectionPool(
            host,
            port,
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_SECONDS, read=_READ_TIMEOUT_SECONDS
            ),
        )

    def get(self, *path: str, **query: str) -> dict:
        """Return the JSON object at `/v1/operator/<path>`."""
        parameters = {name: value for name, value in query.items() if value}
        return self._request(
            "GET", path, f"?{urlencode(parameters)}" if parameters else ""
        )

    def edit(self, *path: str, **body: Any) -> dict:
        """Submit an edit, retrying with the same edit id while its outcome is unknown.

        Returns the response of the entry.
        """
        body["edit_id"] = secrets.token_hex(16)
        for attempt in range(_MAX_EDIT_ATTEMPTS):
            try:
                return self._request("PUT", path, "", json.dumps(body).encode())
            except CommandFailed as error:
                outcome_unknown = error.body["code"] == "outcome_unknown"
                if not outcome_unknown and attempt == 0:
                    raise
                # After an unknown outcome, an error of a later attempt does not show
                # whether the first one succeeded. Only a conflict proves that the edit
                # was not applied.
                if error.body["code"] == "conflict":
                    raise
                last_error = error
            time.sleep(_EDIT_RETRY_SECONDS)
        raise CommandFailed("outcome_unknown", str(last_error), edit_id=body["edit_id"])

    def _request(self, method, path, query, body=None):
        url = "/v1/operator/" + "/".join(quote(part, safe="") for part in path) + query
        try:
            response = self._pool.urlopen(method, url, body=body, headers=self._headers)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise CommandFailed(
                "unreachable", f"no entry answers at {self._address}: {error}"
            ) from error
        except (HTTPError, OSError) as error:
            code = "outcome_unknown" if method == "PUT" else "unreachable"
            message = f"the entry at {self._address} did not answer: {error}"
            raise CommandFailed(code, message) from error
        return _decode_response(response, method)


def _decode_response(response, method):
    try:
        body = json.loads(response.data)
        if response.status == 200:
            return body
        details = dict(body["error"])
        code, message = details.pop("code"), details.pop("message")
    except DECODING_ERRORS as error:
        code = "outcome_unknown" if method == "PUT" else "unreachable"
        raise CommandFailed(
            code, f"status {response.status} with an unreadable answer"
        ) from error
    if code == "internal_error" and method == "PUT":
        code = "outcome_unknown"
    raise CommandFailed(code, message, **details)
