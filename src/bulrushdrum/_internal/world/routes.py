"""Routes, services and teams: what operators configure for the router.

>>> table = RouteTable([Route("r", "h.example", "/a/", RequestKind.IDEMPOTENT,
...                           (ServiceShare("s", 1.0),))])
>>> table.find("h.example", "/a/b").name
'r'
>>> table.find("h.example", "/b") is None
True
"""

from enum import StrEnum
from typing import NamedTuple

from bulrushdrum._internal.world.engines import EngineModel


class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """A service and its weight among those that share a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests to `host` whose path begins with `prefix`; times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout: float = 30.0
    goal: float = 1.0
    gap_goal: float = 1.0
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run may be sent to another upstream."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAMING:
                return self.resumable
            case RequestKind.NON_IDEMPOTENT:
                return False


class Service(NamedTuple):
    """A service; `engine` is None for a plain one."""

    name: str
    max_connections: int
    engine: EngineModel | None = None


class Team(NamedTuple):
    """A team and its rank; 0 is first, None leaves the rank to the route."""

    name: str
    priority: int | None = None


class CallerLimits(NamedTuple):
    """Bounds on what callers may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """Finds the route with the longest prefix of a path among those of a host."""

    def __init__(self, routes):
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        prefixes = self._hosts.get(host)
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class RouterConfiguration(NamedTuple):
    """One version of the whole configuration, as the operator wrote it.

    `teams_by_key` is None if callers need no key.
    """

    version: int
    routes: RouteTable
    services: dict[str, Service]
    limits: CallerLimits
    teams_by_key: dict[str, Team] | None
