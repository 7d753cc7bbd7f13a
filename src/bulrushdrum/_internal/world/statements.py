"""What an upstream says of its own state in the head of a response."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True)
class NoLimit:
    """The response names no limit on requests."""


@dataclass(frozen=True)
class RequestLimit:
    """The upstream accepts so many requests a second from all routers together."""

    requests_per_second: float


@dataclass(frozen=True)
class UnreadableLimit:
    """The response names a limit that is not a number."""

    text: str


LimitStatement = NoLimit | RequestLimit | UnreadableLimit

_NO_LIMIT = NoLimit()


class UpstreamStatements(NamedTuple):
    """The statements of one response.

    An upstream that `is_leaving` wants no more requests, and one that names
    `pause_seconds` none from the router that it refuses, for so long.
    """

    limit: LimitStatement = _NO_LIMIT
    is_leaving: bool = False
    pause_seconds: float | None = None
