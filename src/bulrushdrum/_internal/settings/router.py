"""Settings of the router: addresses, limits and bounds that the platform hands out."""

from dataclasses import dataclass
from enum import StrEnum


class PathPolicyName(StrEnum):
    """How paths are chosen; all but the first are baselines for measurements."""

    LEAST_TIME = "least-time"
    RANDOM = "random"
    LEAST_REPORTED = "least-reported"


@dataclass(frozen=True)
class RouterSettings:
    """Everything that a router process is told at its start.

    Addresses are like `10.0.0.1:8080`, times are in seconds. The bound on repeats is
    `retry_ratio` of the requests of a window plus `retry_extra`, over all routers.
    """

    node: str
    data_centre: str
    ip: str
    caller_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    retry_ratio: float = 0.1
    retry_extra: int = 0
    retry_window_seconds: float = 10.0
    stop_grace_seconds: float = 8.0
    store_timeout: float = 0.8
    feed_wait: float = 1.2
    path_policy: PathPolicyName = PathPolicyName.LEAST_TIME
