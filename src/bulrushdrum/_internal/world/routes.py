"""Router configuration: routes, services, teams and limits.

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
    """Whether and how a request may be retried; see `Route.is_retryable`."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class ServiceShare(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Settings for requests to `host` with path prefix `prefix`; times in seconds."""

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
    """A service; `engine` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineModel | None = None


class Team(NamedTuple):
    """A team and its priority; 0 is highest, None means the priority of the route."""

    name: str
    priority: int | None = None


class CallerLimits(NamedTuple):
    """Limits on requests from callers; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """Finds the route of a host with the longest matching path prefix."""

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
    """One version of the operator's complete configuration.

    `teams_by_key` is None if callers need no API key.
    """

    version: int
    routes: RouteTable
    services: dict[str, Service]
    limits: CallerLimits
    teams_by_key: dict[str, Team] | None
