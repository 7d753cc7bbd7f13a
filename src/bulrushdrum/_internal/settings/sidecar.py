"""Settings of a sidecar, the process that runs next to one upstream."""

from dataclasses import dataclass

from bulrushdrum._internal.settings.reading import setting
from bulrushdrum._internal.world.addresses import parse_address

KINDS = ("engine", "service")
MIN_SECRET_LENGTH = 16


def _check_address_map(addresses):
    for address, target in addresses.items():
        parse_address(address)
        parse_address(target)


def _check_keys(keys):
    if not keys:
        raise ValueError("at least one key is needed")
    for key_id, secret in keys.items():
        if len(secret) < MIN_SECRET_LENGTH:
            raise ValueError(
                f"the secret of {key_id!r} has fewer than {MIN_SECRET_LENGTH} letters"
            )


def _check_kind(kind):
    if kind not in KINDS:
        raise ValueError(f"{kind!r} is not one of {', '.join(KINDS)}")


def _check_name(name):
    if not name or len(name) > 64 or any(c.isspace() for c in name):
        raise ValueError(f"{name!r} is not a name of 1 to 64 letters without spaces")


def _check_url(url):
    if not url.startswith("http://"):
        raise ValueError(f"{url!r} is not like 'http://127.0.0.1:9000'")
    parse_address(url.removeprefix("http://").rstrip("/"))


@dataclass(frozen=True, kw_only=True)
class SidecarSettings:
    """Settings of the `sidecar` role; times are in seconds."""

    node: str = setting(help="name of this VM's sidecar", check=_check_name)
    data_centre: str = setting(help="data centre of this VM", check=_check_name)
    region: str = setting("", help="region of the data centre")
    listen: str = setting(help="address to accept peers on", check=parse_address)
    advertise: str = setting("", help="address that peers dial; empty: as `listen`")
    kind: str = setting("engine", help="engine or service", check=_check_kind)
    upstream_url: str = setting(help="URL of the upstream", check=_check_url)
    upstream: str = setting("", help="id of the upstream; empty: as `node`")
    service: str = setting("", help="name of the plain service, for kind service")
    keys: dict[str, str] = setting(
        help="shared secrets of all processes by key id", check=_check_keys, secret=True
    )
    current_key: str = setting(help="id of the key used for dialling")
    address_map: dict[str, str] = setting(
        {}, help="peer addresses to replace when dialling", check=_check_address_map
    )
    heartbeat_interval: float = setting(
        0.5,
        unit="s",
        help="time between heartbeats, the same in all processes",
        low=0.05,
        high=60.0,
    )
    missed_heartbeats: int = setting(
        3, help="heartbeats missed until a peer counts as lost", low=2, high=20
    )
    entry_lost_after: float = setting(
        3.0,
        unit="s",
        help="time after the loss of an entry until its requests are cancelled",
        low=0.1,
        high=600.0,
    )
    order_lease: float = setting(
        5.0, unit="s", help="validity of an order lease", low=0.5, high=60.0
    )
    order_timeout: float = setting(
        120.0, unit="s", help="time an engine may take to obey", low=0.5, high=3600.0
    )
    engine_timeout: float = setting(
        4.0,
        unit="s",
        help="time one engine call may take; less than the entries' token_timeout",
        low=0.1,
        high=600.0,
    )
    engine_poll_interval: float = setting(
        0.5, unit="s", help="time between load reports", low=0.05, high=60.0
    )
    open_limit: int = setting(
        512, unit="attempts", help="attempts open at once", low=1, high=100_000
    )
    chunk_tokens: int = setting(
        256,
        unit="tokens",
        help="largest part of a prompt in one engine call",
        low=1,
        high=65_536,
    )
    call_tokens: int = setting(
        1024, unit="tokens", help="tokens in one engine call", low=1, high=262_144
    )
    call_seconds: float = setting(
        0.025,
        unit="s",
        help="time one engine call should take, by the engine's stated speed",
        low=0.001,
        high=10.0,
    )
    max_pending_bytes: int = setting(
        8 * 1024 * 1024,
        unit="bytes",
        help="activations that wait for the engine; more fail their attempt",
        low=65_536,
        high=1024 * 1024 * 1024,
    )
    service_concurrency: int = setting(
        32, unit="calls", help="calls running at once", low=1, high=10_000
    )
    service_queue_limit: int = setting(
        512, unit="calls", help="calls waiting at once", low=1, high=100_000
    )
    bound_call_timeout: float = setting(
        60.0,
        unit="s",
        help="time a call with a bound key may take, whatever its caller waits",
        low=0.1,
        high=3600.0,
    )
    max_answer_bytes: int = setting(
        8 * 1024 * 1024,
        unit="bytes",
        help="largest answer of a plain service",
        low=1024,
        high=15 * 1024 * 1024,
    )
    max_engine_answer_bytes: int = setting(
        64 * 1024 * 1024,
        unit="bytes",
        help="largest answer of an engine",
        low=65_536,
        high=1024 * 1024 * 1024,
    )
    max_handshakes: int = setting(
        200, low=10, high=100_000, help="connections of peers not yet authenticated"
    )
    next_hop_idle: float = setting(
        60.0,
        unit="s",
        help="time until an unused connection to a next stage is closed",
        low=1.0,
        high=3600.0,
    )
    drain_timeout: float = setting(
        600.0, unit="s", help="longest wait for running work", low=0.0, high=86_400.0
    )

    def field_conflicts(self) -> list[str]:
        """Return the conflicts between fields that are valid individually."""
        problems = []
        if self.current_key not in self.keys:
            known = ", ".join(self.keys)
            problems.append(f"current_key: {self.current_key!r} is not one of {known}")
        if (self.kind == "service") != bool(self.service):
            problems.append(
                f"service: {self.service!r} does not fit kind {self.kind!r}; a plain "
                "service needs a name and an engine has none"
            )
        return problems

    @property
    def upstream_id(self) -> str:
        return self.upstream or self.node

    @property
    def advertised_address(self) -> str:
        return self.advertise or self.listen
