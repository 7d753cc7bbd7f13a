"""HTTP requests to one of the platform's services, with exact failures.

A refused connection, a connection that was not established in time, or a status that
says that the request was not served raises `StoreUnavailable`. If the request may have
reached the service and no usable answer came back, a write raises
`WriteOutcomeUnknown`; a read has no effect, so it raises `StoreUnavailable`.
"""

import json

import gevent
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bulrushdrum._internal.platform.errors import (
    PlatformError,
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.world.addresses import parse_address

# Greenlets of one process that use the service at the same time; more of them open
# connections that are closed after one request.
_POOL_CONNECTIONS = 16
_REQUEST_TIMEOUT = 408


class PlatformService:
    """The service called `name`; `timeout_seconds` bounds each request.

    `address` is like `10.0.0.9:9000`, or a URL like `http://10.0.0.9:9000`.
    """

    def __init__(self, name: str, address: str, timeout_seconds: float):
        host, port = parse_address(address.removeprefix("http://").rstrip("/"))
        self._name = name
        self._timeout_seconds = timeout_seconds
        # The connect timeout is shorter than the whole, so that a connection that was
        # never established is told apart from a request that was sent.
        self._pool = urllib3.HTTPConnectionPool(
            host,
            port,
            maxsize=_POOL_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_seconds / 2, read=timeout_seconds),
        )

    def read(self, path: str, expected: tuple[int, ...], headers=None):
        """Send a GET; a status outside `expected` raises `StoreUnavailable`."""
        response = self._request("GET", path, None, headers, StoreUnavailable)
        if response.status not in expected:
            raise StoreUnavailable(f"{self._name}: {self._describe(response)}")
        return response

    def write(self, method: str, path: str, body: bytes, expected, headers=None):
        """Send a write; a status outside `expected` raises by what it proves."""
        response = self._request(method, path, body, headers, WriteOutcomeUnknown)
        if response.status in expected:
            return response
        message = f"{self._name}: {self._describe(response)}"
        refused = 400 <= response.status < 500 and response.status != _REQUEST_TIMEOUT
        if refused or response.status == 503:
            raise StoreUnavailable(message)
        raise WriteOutcomeUnknown(message)

    def json_of(self, response, error: type[PlatformError]):
        """Return the JSON object in `response`, or raise `error`."""
        try:
            value = json.loads(response.data)
        except (ValueError, RecursionError) as cause:
            raise error(f"{self._name}: the answer is not JSON: {cause}") from cause
        if not isinstance(value, dict):
            raise error(f"{self._name}: the answer is not a JSON object")
        return value

    def _request(self, method, path, body, headers, lost_answer):
        timer = gevent.Timeout(self._timeout_seconds)
        try:
            # Bounds the whole request; urllib3's own timeout restarts with every read.
            with timer:
                return self._pool.urlopen(method, path, body=body, headers=headers)
        except gevent.Timeout as error:
            if error is not timer:
                raise
            raise lost_answer(
                f"{self._name}: no answer within {self._timeout_seconds} s"
            ) from error
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise StoreUnavailable(f"{self._name}: {error}") from error
        except (HTTPError, OSError) as error:
            raise lost_answer(f"{self._name}: {error}") from error

    def _describe(self, response):
        text = " ".join(response.data[:2000].decode(errors="replace").split())
        return f"status {response.status}: {text[:200]}"
