"""Sends a request to an upstream and validates the head of its response."""

import time
from typing import NamedTuple

from bulrushdrum._internal.gateway.errors import UpstreamFailed
from bulrushdrum._internal.gateway.messages import (
    ForwardingMetadata,
    Request,
    RequestMetadata,
    encode_head,
    end_to_end,
)
from bulrushdrum._internal.gateway.parsing import ResponseReader
from bulrushdrum._internal.gateway.upstream_connections import (
    ConnectionPool,
    UpstreamConnection,
)
from bulrushdrum._internal.platform.headers import (
    forwarding_headers,
    parse_response_metadata,
)


class ProxiedRequest(NamedTuple):
    """A caller's request with its routing attributes."""

    request: Request
    metadata: RequestMetadata
    deadline: float
    team: str | None
    priority: int | None
    # Identical for all retries of a request by its caller.
    fingerprint: str = ""


class PendingResponse(NamedTuple):
    """A connection on which a request was sent, and the reader of the response."""

    connection: UpstreamConnection
    reader: ResponseReader


def encode_request(
    proxied_request: ProxiedRequest, forwarding: ForwardingMetadata
) -> bytes:
    """Return the serialized request for the upstream."""
    request = proxied_request.request
    headers = end_to_end(proxied_request.metadata.forwarded) + forwarding_headers(
        forwarding
    )
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    first_line = request.method + b" " + request.target + b" HTTP/1.1"
    return encode_head(first_line, headers) + request.body


def send_request(
    pool: ConnectionPool,
    address: str,
    proxied_request: ProxiedRequest,
    forwarding: ForwardingMetadata,
    force_new=False,
) -> PendingResponse:
    """Send a request; raises `UpstreamFailed`."""
    connection = pool.acquire(address, force_new)
    remaining = proxied_request.deadline - time.monotonic()
    if remaining <= 0:
        connection.close()
        raise UpstreamFailed("the deadline passed before sending", False)
    forwarding = forwarding._replace(seconds_left=remaining)
    try:
        reader = connection.send(encode_request(proxied_request, forwarding), remaining)
    except BaseException:
        connection.close()
        raise
    return PendingResponse(connection, reader)


def validate_response_head(reader: ResponseReader, request_id: bytes):
    """Return the metadata of the response.

    Raises `UpstreamFailed` if the response belongs to another request, has a
    content encoding, or is successful but not signed.
    """
    metadata = parse_response_metadata(reader.headers)
    if metadata.request_id is not None and metadata.request_id != request_id:
        raise UpstreamFailed("the answer belongs to another request", True)
    if any(name == b"content-encoding" for name, _ in reader.headers):
        raise UpstreamFailed("the answer is encoded", True)
    if 200 <= reader.status < 300 and not metadata.signed:
        raise UpstreamFailed("the answer is not signed", True)
    return metadata
