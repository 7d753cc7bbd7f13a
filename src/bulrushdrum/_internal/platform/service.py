"""HTTP requests to the platform's services, with a precise error for each failure.

A refused connection, a connect timeout, or a status which states that the request was
not processed raises `StoreUnavailable`. If the request may have reached the service but
there is no usable response, a write raises `WriteOutcomeUnknown`. A read has no effect,
so it raises `StoreUnavailable`.
"""

import json
from collections.abc import Mapping
from typing import NamedTuple

import gevent
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from bulrushdrum._internal.bounded_http import BoundedConnectionPool, read_body
from bulrushdrum._internal.platform.errors import (
    PlatformError,
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.world.addresses import parse_address

# Concurrent requests beyond this number use connections that are closed afterwards.
_MAX_POOLED_CONNECTIONS = 16
_REQUEST_TIMEOUT_STATUS = 408
# A page of rows is about 1.4 MB and an object at most 8 MiB; a feed that waited out an
# outage may hold the changes of all upstreams.
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class ServiceResponse(NamedTuple):
    """A complete response of a service."""

    status: int
    headers: Mapping[str, str]
    data: bytes


class PlatformService:
    """HTTP client for one service; `timeout_seconds` bounds each request.

    `name` appears in error messages. `address` has the form `10.0.0.9:9000` or
    `http://10.0.0.9:9000`.
    """

    def __init__(self, name: str, address: str, timeout_seconds: float):
        host, port = parse_address(address.removeprefix("http://").rstrip("/"))
        self._name = name
        self._timeout_seconds = timeout_seconds
        # The connect timeout is shorter than the total, so that a connection that was
        # never established is distinguished from a request that was sent.
        self._pool = BoundedConnectionPool(
            host,
            port,
            maxsize=_MAX_POOLED_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_seconds / 2, read=timeout_seconds),
        )

    def read(
        self, path: str, expected: tuple[int, ...], headers=None, timeout_seconds=None
    ):
        """Send a GET; a status outside `expected` raises `StoreUnavailable`.

        `timeout_seconds` replaces the timeout of the client, which it must not exceed.
        """
        response = self._request(
            "GET", path, None, headers, StoreUnavailable, timeout_seconds
        )
        if response.status not in expected:
            raise StoreUnavailable(f"{self._name}: {self._describe_response(response)}")
        return response

    def write(self, method: str, path: str, body: bytes, expected, headers=None):
        """Send a write; a status outside `expected` raises an exception.

        It is `StoreUnavailable` if the status proves that nothing was written, and
        `WriteOutcomeUnknown` otherwise.
        """
        response = self._request(method, path, body, headers, WriteOutcomeUnknown)
        if response.status in expected:
            return response
        message = f"{self._name}: {self._describe_response(response)}"
        is_refused = (
            400 <= response.status < 500 and response.status != _REQUEST_TIMEOUT_STATUS
        )
        if is_refused or response.status == 503:
            raise StoreUnavailable(message)
        raise WriteOutcomeUnknown(message)

    def decode_json(self, response, error: type[PlatformError]):
        """Return the JSON object in `response`, or raise `error`."""
        try:
            value = json.loads(response.data)
        except (ValueError, RecursionError) as cause:
            raise error(f"{self._name}: the answer is not JSON: {cause}") from cause
        if not isinstance(value, dict):
            raise error(f"{self._name}: the answer is not a JSON object")
        return value

    def _request(
        self, method, path, body, headers, error_after_send, timeout_seconds=None
    ):
        timeout_seconds = timeout_seconds or self._timeout_seconds
        timer = gevent.Timeout(timeout_seconds)
        try:
            # Bounds the entire request: urllib3's timeout restarts with every read.
            with timer:
                return self._exchange(method, path, body, headers)
        except gevent.Timeout as error:
            if error is not timer:
                raise
            raise error_after_send(
                f"{self._name}: no answer within {timeout_seconds:.1f} s"
            ) from error
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise StoreUnavailable(f"{self._name}: {error}") from error
        except (HTTPError, OSError) as error:
            raise error_after_send(f"{self._name}: {error}") from error

    def _exchange(self, method, path, body, headers):
        response = self._pool.urlopen(
            method, path, body=body, headers=headers, preload_content=False
        )
        try:
            data = read_body(response, _MAX_RESPONSE_BYTES)
        except BaseException:
            response.close()
            raise
        finally:
            response.release_conn()
        return ServiceResponse(response.status, response.headers, data)

    def _describe_response(self, response):
        text = " ".join(response.data[:2000].decode(errors="replace").split())
        return f"status {response.status}: {text[:200]}"
