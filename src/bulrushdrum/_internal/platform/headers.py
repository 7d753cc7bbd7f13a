"""Translates the platform's headers to and from the product's descriptions.

Names are lower-case bytes, as the parser of `gateway` hands them over.
"""

from bulrushdrum._internal.gateway.messages import (
    ForwardingMetadata,
    Generation,
    RequestMetadata,
    ResponseMetadata,
)

_PREFIX = b"bulrushdrum-"
_REQUEST_ID = _PREFIX + b"attempt-id"
_DEADLINE_MS = _PREFIX + b"deadline-ms"
_EXPECTED_UPSTREAM = _PREFIX + b"expect-instance"
_TEAM = _PREFIX + b"tenant"
# A list of the upstreams on the request's path, in spite of its name.
_HOPS = _PREFIX + b"hop-count"
# Prompt tokens and the largest number of output tokens, separated by a comma.
_TOKENS = _PREFIX + b"token-count"
_EXPECTED_OUTPUT = _PREFIX + b"length-hint"
_PRIORITY = _PREFIX + b"request-priority"
_NOT_EXECUTED = _PREFIX + b"not-executed"
_SIGNATURE = _PREFIX + b"server-stamp"
_INSTANCE = _PREFIX + b"instance-id"
_RESUME_AFTER = b"last-event-id"
_AUTHORIZATION = b"authorization"
_AT_FAULT = b"at-server"

_SET_BY_ROUTER = frozenset(
    (_DEADLINE_MS, _EXPECTED_UPSTREAM, _TEAM, _HOPS, _PRIORITY, _RESUME_AFTER)
    + (_AUTHORIZATION, _PREFIX + b"expect-version")
)


def _number(text, default):
    try:
        return float(text)
    except (TypeError, ValueError):
        return default


def _generation(values):
    sizes = values.get(_TOKENS, b"").split(b",")
    prompt = _number(sizes[0], None)
    if prompt is None:
        return None
    output = _number(sizes[1], 0.0) if len(sizes) > 1 else 0.0
    expected = _number(values.get(_EXPECTED_OUTPUT), None)
    return Generation(prompt, output, expected)


def parse_request_metadata(headers) -> RequestMetadata:
    """Return what the headers of a caller's request say."""
    values = dict(headers)
    deadline_ms = _number(values.get(_DEADLINE_MS), None)
    scheme, _, key = values.get(_AUTHORIZATION, b"").partition(b" ")
    return RequestMetadata(
        request_id=values.get(_REQUEST_ID, b""),
        seconds_left=None if deadline_ms is None else deadline_ms / 1000.0,
        api_key=key.strip().decode("latin-1") if scheme.lower() == b"token" else None,
        generation=_generation(values),
        resume_after=values.get(_RESUME_AFTER),
        forwarded=[pair for pair in headers if pair[0] not in _SET_BY_ROUTER],
    )


def forwarding_headers(forwarding: ForwardingMetadata) -> list[tuple[bytes, bytes]]:
    """Return the headers that the router adds to a request to an upstream."""
    remaining_ms = max(int(forwarding.seconds_left * 1000), 1)
    headers = [
        (_DEADLINE_MS, b"%d" % remaining_ms),
        (_EXPECTED_UPSTREAM, forwarding.upstream_id.encode()),
    ]
    if forwarding.team is not None:
        headers.append((_TEAM, forwarding.team.encode()))
    if forwarding.hops:
        path = ",".join(
            f"{hop.address}={hop.layers.first}-{hop.layers.end}"
            for hop in forwarding.hops
        )
        headers.append((_HOPS, path.encode()))
    if forwarding.resume_after is not None:
        headers.append((_RESUME_AFTER, forwarding.resume_after))
    if forwarding.priority is not None:
        headers.append((_PRIORITY, b"%d" % forwarding.priority))
    return headers


def parse_response_metadata(headers) -> ResponseMetadata:
    """Return what the headers of an upstream's answer say."""
    values = dict(headers)
    at_fault = values.get(_AT_FAULT)
    return ResponseMetadata(
        request_id=values.get(_REQUEST_ID),
        signed=_SIGNATURE in values,
        has_not_run=_NOT_EXECUTED in values,
        upstream_id=values.get(_INSTANCE, b"").decode("latin-1"),
        at_fault=None if at_fault is None else at_fault.decode("latin-1"),
    )


def strip_signature(headers):
    """Return the headers that may stand on an answer of the router's own."""
    return [pair for pair in headers if pair[0] != _SIGNATURE]


def request_id_header(request_id: bytes) -> tuple[bytes, bytes]:
    return (_REQUEST_ID, request_id)
