"""Client for the operators' side of an entry."""

import json
import secrets
import time
from typing import Any
from urllib.parse import quote, urlencode

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bulrushdrum._internal.operator.errors import CommandFailed
from bulrushdrum._internal.world.addresses import parse_address

# An entry tries for about 20 s to settle an edit before it answers.
_READ_TIMEOUT_SECONDS = 40.0
_CONNECT_TIMEOUT_SECONDS = 3.0
# An edit carries an id and can be sent again until its outcome is known.
_EDIT_TRIES = 3
_EDIT_PAUSE_SECONDS = 1.0


class OperatorClient:
    """The operators' side of the entry at `address`; raises `CommandFailed`."""

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
        self._pool = urllib3.HTTPConnectionPool(
            host,
            port,
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_SECONDS, read=_READ_TIMEOUT_SECONDS
            ),
        )

    def get(self, *path: str, **query: str) -> dict:
        """Return the JSON object at `/v1/operator/<path>`."""
        given = {name: value for name, value in query.items() if value}
        return self._request("GET", path, f"?{urlencode(given)}" if given else "")

    def edit(self, *path: str, **body: Any) -> dict:
        """Make an edit; it is sent again under the same id while it is not settled."""
        body["edit_id"] = secrets.token_hex(16)
        for attempt in range(_EDIT_TRIES):
            try:
                return self._request("PUT", path, "", json.dumps(body).encode())
            except CommandFailed as error:
                outcome_unknown = error.body["code"] == "outcome_unknown"
                if not outcome_unknown and attempt == 0:
                    raise
                # After an unknown outcome, a refusal says nothing of the first try,
                # except that a conflict means that the edit was not made.
                if error.body["code"] == "conflict":
                    raise
                last = error
            time.sleep(_EDIT_PAUSE_SECONDS)
        raise CommandFailed("outcome_unknown", str(last), edit_id=body["edit_id"])

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
        return _answer(response, method)


def _answer(response, method):
    try:
        answer = json.loads(response.data)
        if response.status == 200:
            return answer
        details = dict(answer["error"])
        code, message = details.pop("code"), details.pop("message")
    except (ValueError, KeyError, TypeError) as error:
        code = "outcome_unknown" if method == "PUT" else "unreachable"
        raise CommandFailed(
            code, f"status {response.status} with an unreadable answer"
        ) from error
    if code == "internal_error" and method == "PUT":
        code = "outcome_unknown"
    raise CommandFailed(code, message, **details)
