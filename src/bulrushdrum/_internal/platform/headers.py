"""Translates the platform's headers to and from the types of `gateway`.

Names are lower-case bytes, as the parser in `gateway` returns them.
"""

import hashlib
import math
import re

from bulrushdrum._internal.gateway.messages import (
    ForwardingMetadata,
    Generation,
    RequestMetadata,
    ResponseMetadata,
)
from bulrushdrum._internal.world.statements import (
    LimitStatement,
    NoLimit,
    RequestLimit,
    UnreadableLimit,
    UpstreamStatements,
)

_PREFIX = b"bulrushdrum-"
_REQUEST_ID = _PREFIX + b"attempt-id"
_REQUEST_ID_RE = re.compile(
    rb"^" + _REQUEST_ID + rb":[ \t]*([^\s]*)", re.IGNORECASE | re.MULTILINE
)
_DEADLINE_MS = _PREFIX + b"deadline-ms"
_EXPECTED_UPSTREAM = _PREFIX + b"expect-instance"
_TEAM = _PREFIX + b"tenant"
# Despite its name, this lists the upstreams on the request's path and their layers.
_PATH = _PREFIX + b"hop-count"
# The prompt tokens and the maximum number of output tokens, separated by a comma.
_TOKEN_COUNTS = _PREFIX + b"token-count"
# Despite its name, this lists the parts of the prompt, not a hash, each as ID:TOKENS.
_PROMPT_PARTS = _PREFIX + b"prefix-hash"
_EXPECTED_OUTPUT = _PREFIX + b"length-hint"
_PRIORITY = _PREFIX + b"request-priority"
_NOT_EXECUTED = _PREFIX + b"not-executed"
_SIGNATURE = _PREFIX + b"server-stamp"
_UPSTREAM_ID = _PREFIX + b"instance-id"
_RESUME_AFTER = b"last-event-id"
_AUTHORIZATION = b"authorization"
_FAULTY_UPSTREAM = b"at-server"
# The requests a second that the upstream accepts from all routers together.
_REQUEST_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"

# No request has more tokens; estimates are made from numbers that callers state.
_MAX_TOKENS = 1e8
# Longer lists are cut, so that a caller cannot make a request expensive to examine.
_MAX_PROMPT_PARTS = 32
# More digits before the point are no rate or time that an upstream could mean.
_DECIMAL_RE = re.compile(rb"\d{1,9}(\.\d*)?|\.\d+")
_MAX_QUOTED_BYTES = 60
_PART_ID_RE = re.compile(rb"[0-9A-Fa-f]+")
# Longer ids of prompt parts are replaced by a digest, because they are remembered and
# announced to other routers.
_MAX_PART_ID_DIGITS = 32

_NOT_FORWARDED = frozenset(
    (_DEADLINE_MS, _EXPECTED_UPSTREAM, _TEAM, _PATH, _PRIORITY, _RESUME_AFTER)
    + (_AUTHORIZATION, _PREFIX + b"expect-version")
)


def _parse_float(text, default):
    try:
        number = float(text)
    except (TypeError, ValueError):
        return default
    return number if math.isfinite(number) else default


def _parse_tokens(text):
    """Return a number of tokens, or None if it is missing or cannot be one."""
    tokens = _parse_float(text, None)
    if tokens is None or not 0 < tokens <= _MAX_TOKENS:
        return None
    return tokens


def _parse_generation(values):
    counts = values.get(_TOKEN_COUNTS, b"").split(b",")
    prompt = _parse_tokens(counts[0])
    if prompt is None:
        return None
    output = _parse_tokens(counts[1]) if len(counts) > 1 else None
    expected = _parse_tokens(values.get(_EXPECTED_OUTPUT))
    return Generation(prompt, output or 0.0, expected)


def _parse_shared_parts(values):
    """Return what identifies the parts that requests share: all but the last one."""
    entries = values.get(_PROMPT_PARTS, b"").split(b",")[:-1]
    ids = [entry.partition(b":")[0].strip() for entry in entries[:_MAX_PROMPT_PARTS]]
    return tuple(_shorten_part_id(part) for part in ids if _PART_ID_RE.fullmatch(part))


def _shorten_part_id(part):
    part = part.lower()
    if len(part) <= _MAX_PART_ID_DIGITS:
        return part.decode()
    return hashlib.blake2b(part, digest_size=_MAX_PART_ID_DIGITS // 2).hexdigest()


def parse_request_metadata(headers) -> RequestMetadata:
    """Decode the headers of a caller's request."""
    values = dict(headers)
    deadline_ms = _parse_float(values.get(_DEADLINE_MS), None)
    scheme, _, key = values.get(_AUTHORIZATION, b"").partition(b" ")
    return RequestMetadata(
        request_id=values.get(_REQUEST_ID, b""),
        seconds_left=None if deadline_ms is None else deadline_ms / 1000.0,
        api_key=key.strip().decode("latin-1") if scheme.lower() == b"token" else None,
        generation=_parse_generation(values),
        shared_parts=_parse_shared_parts(values),
        resume_after=values.get(_RESUME_AFTER),
        forwarded=[pair for pair in headers if pair[0] not in _NOT_FORWARDED],
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
        headers.append((_PATH, path.encode()))
    if forwarding.resume_after is not None:
        headers.append((_RESUME_AFTER, forwarding.resume_after))
    if forwarding.priority is not None:
        headers.append((_PRIORITY, b"%d" % forwarding.priority))
    return headers


def parse_response_metadata(status: int, headers) -> ResponseMetadata:
    """Decode the headers of an upstream's response."""
    values = dict(headers)
    at_fault = values.get(_FAULTY_UPSTREAM)
    return ResponseMetadata(
        request_id=values.get(_REQUEST_ID),
        signed=_SIGNATURE in values,
        has_not_run=_NOT_EXECUTED in values,
        upstream_id=values.get(_UPSTREAM_ID, b"").decode("latin-1"),
        at_fault=None if at_fault is None else at_fault.decode("latin-1"),
        statements=parse_statements(status, headers),
    )


def parse_statements(status: int, headers) -> UpstreamStatements:
    """Decode what an upstream says of its own state in the head of a response."""
    values = dict(headers)
    return UpstreamStatements(
        limit=_parse_limit(values.get(_REQUEST_LIMIT)),
        is_leaving=values.get(_LEAVING, b"").strip() == b"1",
        pause_seconds=_parse_pause(values) if status == 503 else None,
    )


def _parse_pause(values) -> float | None:
    """Return the seconds of `Retry-After`; None if it is a date or no number."""
    text = values.get(_RETRY_AFTER, b"").strip()
    return float(text) if _DECIMAL_RE.fullmatch(text) else None


def _parse_limit(text: bytes | None) -> LimitStatement:
    if text is None:
        return NoLimit()
    if not _DECIMAL_RE.fullmatch(text.strip()):
        return UnreadableLimit(text[:_MAX_QUOTED_BYTES].decode("latin-1"))
    return RequestLimit(float(text))


def names_other_request(data: bytes, request_id: bytes) -> bool:
    """Whether `data`, part of a body, has the header that names another request."""
    return any(found != request_id for found in _REQUEST_ID_RE.findall(data))


def strip_signature(headers):
    """Remove the upstream's signature, for a response that the router sends itself."""
    return [pair for pair in headers if pair[0] != _SIGNATURE]


def request_id_header(request_id: bytes) -> tuple[bytes, bytes]:
    return (_REQUEST_ID, request_id)
