"""Answers of the router's own: refusals and failures."""

import json

from bulrushdrum._internal.gateway.messages import Response

# The shortest time, in seconds, after which a refused caller may come back.
_SHORTEST_RETRY_SECONDS = 0.05


def not_run_response(reason: str, retry_after: float) -> Response:
    """Say that the request has not run and never will, and when to come back."""
    return _response(503, reason, "no", retry_after)


def failure_response(status: int, reason: str) -> Response:
    """Say that the request failed; it may have run."""
    return _response(status, reason, "unknown", None)


def rejection_response(status: int, reason: str) -> Response:
    """Say that the request is not allowed; it has not run."""
    return _response(status, reason, "no", None)


def _response(status, reason, ran, retry_after):
    body = json.dumps({"error": {"message": reason, "ran": ran}}).encode()
    headers = [(b"content-type", b"application/json")]
    if retry_after is not None:
        seconds = max(retry_after, _SHORTEST_RETRY_SECONDS)
        headers.append((b"retry-after", b"%.2f" % seconds))
    return Response(status, headers, body)
