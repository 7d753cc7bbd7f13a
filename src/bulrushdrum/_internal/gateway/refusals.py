"""Answers of the router's own: refusals and failures."""

import json

from bulrushdrum._internal.gateway.messages import Answer

# The shortest time, in seconds, after which a refused caller may come back.
_SHORTEST_RETRY_SECONDS = 0.05


def refusal(reason: str, retry_after: float) -> Answer:
    """Say that the request has not run and never will, and when to come back."""
    return _answer(503, reason, "no", retry_after)


def failure(status: int, reason: str) -> Answer:
    """Say that the request failed; it may have run."""
    return _answer(status, reason, "unknown", None)


def rejection(status: int, reason: str) -> Answer:
    """Say that the request is not allowed; it has not run."""
    return _answer(status, reason, "no", None)


def _answer(status, reason, ran, retry_after):
    body = json.dumps({"error": {"message": reason, "ran": ran}}).encode()
    headers = [(b"content-type", b"application/json")]
    if retry_after is not None:
        seconds = max(retry_after, _SHORTEST_RETRY_SECONDS)
        headers.append((b"retry-after", b"%.2f" % seconds))
    return Answer(status, headers, body)
