"""Settings of the router: addresses and limits assigned by the platform."""

from dataclasses import dataclass, field, fields
from enum import StrEnum

# The head of an ordinary response does not fit into less.
MIN_RESPONSE_LIMIT_BYTES = 1024
# Memory that is not left to what callers have sent: a router without load takes 36 MB.
_WORK_BYTES = 60_000_000
# Enough for one request of the largest size that the platform's configuration allows.
_MIN_HELD_BYTES = 12_000_000
# Descriptors that the platform reserves for files, and those of listeners, peers, the
# store, reports of engines and idle connections to upstreams. The listener accepts up
# to 100 connections before the first of them is closed for want of descriptors.
_FILE_DESCRIPTORS = 200
_OTHER_DESCRIPTORS = 200
_MIN_CONNECTIONS = 16


class PathPolicyName(StrEnum):
    """Policy for choosing paths.

    `RANDOM` and `LEAST_REPORTED` are baselines for measurements.
    """

    LEAST_TIME = "least-time"
    RANDOM = "random"
    LEAST_REPORTED = "least-reported"


@dataclass(frozen=True)
class ResponseLimits:
    """Limits on a response of an upstream, in bytes.

    `head_bytes` bounds what is received before the head is complete, `event_bytes` one
    event of a stream, and `body_bytes` a body that is buffered whole. A stream may have
    any number of events.
    """

    head_bytes: int = 65_536
    event_bytes: int = 1_048_576
    body_bytes: int = 8_388_608

    def __post_init__(self):
        for limit in fields(self):
            value = getattr(self, limit.name)
            if value < MIN_RESPONSE_LIMIT_BYTES:
                name = limit.name.replace("_", "-")
                raise ValueError(
                    f"{name} is {value}, but must be at least "
                    f"{MIN_RESPONSE_LIMIT_BYTES} bytes"
                )


@dataclass(frozen=True)
class CallerResources:
    """What a process may use; bounds what all caller connections hold together.

    `memory_bytes` is the memory of the VM, and `descriptors` the number of file
    descriptors of the process.
    """

    memory_bytes: int = 256_000_000
    descriptors: int = 4096

    def __post_init__(self):
        for name, unit in (("memory_bytes", "bytes"), ("descriptors", "descriptors")):
            value = getattr(self, name)
            if value <= 0:
                raise ValueError(f"{name} is {value} {unit}, but must be above 0")

    @property
    def held_bytes(self) -> int:
        """What callers' unfinished requests and open connections may take, in bytes.

        A body is in memory a second time while it is sent to an upstream.
        """
        return max((self.memory_bytes - _WORK_BYTES) // 2, _MIN_HELD_BYTES)

    @property
    def connections(self) -> int:
        """How many caller connections may be open at once.

        Each may need another descriptor, for a connection to an upstream.
        """
        descriptors = self.descriptors - _FILE_DESCRIPTORS - _OTHER_DESCRIPTORS
        return max(descriptors // 2, _MIN_CONNECTIONS)


@dataclass(frozen=True)
class RouterSettings:
    """Settings of a router process, fixed at its start.

    Addresses are like `10.0.0.1:8080`, times are in seconds. All routers together may
    retry `retry_ratio` of the requests in each window of `retry_window_seconds`, plus
    `retry_extra` requests. Changes in the store are read once in `feed_spacing`.
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
    feed_spacing: float = 0.0
    path_policy: PathPolicyName = PathPolicyName.LEAST_TIME
    response_limits: ResponseLimits = field(default_factory=ResponseLimits)
    caller_resources: CallerResources = field(default_factory=CallerResources)
