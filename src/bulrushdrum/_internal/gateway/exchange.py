"""Sends a request to an upstream and validates the head of its response."""

import time
from typing import NamedTuple

from bulrushdrum._internal.event_stream_bodies import is_cut_event_stream
from bulrushdrum._internal.gateway.embedded_responses import find_status_line
from bulrushdrum._internal.gateway.errors import (
    ResponseLate,
    ResponseTooLarge,
    UpstreamFailed,
)
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
    names_other_request,
    parse_response_metadata,
)

_EXCESS_WAIT_SECONDS = 0.05


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
    request_id = proxied_request.metadata.request_id
    connection = pool.acquire(address, request_id, force_new)
    remaining = proxied_request.deadline - time.monotonic()
    if remaining <= 0:
        connection.close()
        raise UpstreamFailed("the deadline passed before sending", False)
    forwarding = forwarding._replace(seconds_left=remaining)
    try:
        reader = connection.send(
            encode_request(proxied_request, forwarding),
            remaining,
            proxied_request.request.method == b"HEAD",
        )
    except BaseException:
        connection.close()
        raise
    return PendingResponse(connection, reader)


def receive_head(pending: PendingResponse, deadline: float):
    """Receive the head of a response; raises as `receive_body`."""
    connection, reader = pending
    while not reader.has_head:
        remaining = deadline - time.monotonic()
        if remaining <= 0 or not connection.receive(remaining):
            raise ResponseLate


def receive_body(pending: PendingResponse, deadline: float):
    """Receive the rest of a response that is buffered whole.

    Raises `ResponseLate` if it is not complete at `deadline`, a time of
    `time.monotonic`, and may then be called again; or `UpstreamFailed`, also if its
    body exceeds the limit.
    """
    connection, reader = pending
    while not reader.is_complete:
        remaining = deadline - time.monotonic()
        if remaining <= 0 or not connection.receive(remaining):
            raise ResponseLate
        if reader.body_bytes > connection.limits.body_bytes:
            raise ResponseTooLarge("body", connection.limits.body_bytes)


def validate_response_head(pending: PendingResponse, request_id: bytes):
    """Return the metadata of the response.

    Raises `UpstreamFailed` if the response belongs to another request, has a content
    encoding, or is successful but not signed. On a connection that was used before, a
    response without a request id may be a late copy of an earlier one.
    """
    connection, reader = pending
    metadata = parse_response_metadata(reader.status, reader.headers)
    if metadata.request_id is not None and metadata.request_id != request_id:
        raise UpstreamFailed("the answer belongs to another request", True)
    if metadata.request_id is None and not connection.is_new:
        raise UpstreamFailed("the answer does not name its request", True)
    if any(name == b"content-encoding" for name, _ in reader.headers):
        raise UpstreamFailed("the answer is encoded", True)
    if 200 <= reader.status < 300 and not metadata.signed:
        raise UpstreamFailed("the answer is not signed", True)
    return metadata


def validate_body(pending: PendingResponse, request_id: bytes):
    """Raise `UpstreamFailed` if a body is a cut stream or contains another response.

    In the second case the length of the body is right, but its last part is left on the
    connection. Only a connection that was used before can carry a copy of an earlier
    response.
    """
    connection, reader = pending
    body = b"".join(reader.body)
    content_type = dict(reader.headers).get(b"content-type", b"").decode("latin-1")
    if is_cut_event_stream(content_type, body):
        raise UpstreamFailed("the answer ended in the middle of an event", True)
    if connection.is_new:
        return
    start = find_status_line(body)
    if start is None:
        return
    if not names_other_request(body[start:], request_id):
        # The remainder may still be on its way.
        if not reader.has_excess_data:
            connection.receive(_EXCESS_WAIT_SECONDS)
        if not reader.has_excess_data:
            return
    raise UpstreamFailed("the answer contains another answer", True)
