"""Settings of an entry."""

from dataclasses import dataclass

from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.records.settings import RecordSettings
from bulrushdrum._internal.settings.reading import setting
from bulrushdrum._internal.world.addresses import parse_address


def _check_url(value):
    if not value.startswith("http://"):
        raise ValueError(f"{value!r} is not a URL like 'http://10.0.0.9:9000'")


def _check_policy(value):
    policies = (
        "least_delay",
        "random",
        "round_robin",
        "least_reported",
        "two_choices",
    )
    if value not in policies:
        raise ValueError(f"{value!r} is not one of {', '.join(policies)}")


def _check_operator_key(value):
    if len(value) < 16 or not value.isascii() or not value.isprintable():
        raise ValueError("the value is not 16 or more printable ASCII characters")


@dataclass(frozen=True)
class EntrySettings:
    """Settings of the `entry` role; times are in seconds."""

    node: str = setting(help="name of this VM, unique over all VMs")
    data_centre: str = setting(help="name of the data centre of this VM")
    region: str = setting(help="region of the data centre")
    listen: str = setting(check=parse_address, help="address for other processes")
    http_listen: str = setting(check=parse_address, help="address for callers")
    operator_listen: str = setting(check=parse_address, help="address for operators")
    operator_key: str = setting(
        secret=True, check=_check_operator_key, help="bearer token of operators"
    )
    keys: dict[str, str] = setting(secret=True, help="shared peer keys by key id")
    current_key: str = setting(help="id of the key used when dialling")
    table_url: str = setting(check=_check_url, help="the platform's table service")
    objects_url: str = setting(check=_check_url, help="the platform's object store")
    vm_list_url: str = setting(check=_check_url, help="the platform's VM list")
    advertised: str = setting("", help="address that peers dial; listen if empty")
    watched_data_centres: list[str] = setting(
        [], help="data centres whose sidecars are dialled; empty means the whole region"
    )
    regions: dict[str, str] = setting({}, help="region of each data centre")
    link_delays: dict[str, float] = setting(
        {}, unit="s", help="one-way delay between data centres as {'a|b': 0.02}"
    )
    local_delay: float = setting(0.0002, unit="s", low=0, high=1)
    default_delay: float = setting(0.001, unit="s", low=0, high=10)
    address_map: dict[str, str] = setting(
        {}, help="addresses to dial in place of others"
    )
    heartbeat_interval: float = setting(0.5, unit="s", low=0.05, high=60)
    vm_list_interval: float = setting(2.0, unit="s", low=0.1, high=300)
    vm_list_max_lag: float = setting(
        300.0, unit="s", low=1, high=86400, help="a VM unlisted for so long is dead"
    )
    orphan_grace: float = setting(
        12.0,
        unit="s",
        low=0,
        high=3600,
        help="time after an entry's death until its requests have ended everywhere; "
        "over service_timeout and over three heartbeats plus the sidecars' "
        "entry_lost_after",
    )
    store_timeout: float = setting(2.0, unit="s", low=0.05, high=60)
    request_timeout: float = setting(120.0, unit="s", low=1, high=3600)
    queue_timeout: float = setting(5.0, unit="s", low=0, high=600)
    open_timeout: float = setting(2.0, unit="s", low=0.05, high=60)
    token_timeout: float = setting(
        5.0, unit="s", low=0.1, high=600, help="longest wait for the next token"
    )
    service_timeout: float = setting(10.0, unit="s", low=0.1, high=600)
    retry_ratio: float = setting(
        0.1, low=0, high=1, help="repeated tokens as a part of all tokens"
    )
    retry_reserve: int = setting(
        20_000, unit="tokens", low=0, high=10_000_000, help="retry budget at the start"
    )
    max_body_bytes: int = setting(1_048_576, unit="bytes", low=1024, high=16_777_216)
    max_header_bytes: int = setting(16_384, unit="bytes", low=1024, high=1_048_576)
    max_receiving_bytes: int = setting(
        33_554_432,
        unit="bytes",
        low=1024,
        high=1_073_741_824,
        help="all bodies that are being received; over it, the largest are refused",
    )
    request_read_timeout: float = setting(
        30.0, unit="s", low=1, high=600, help="until the whole request has arrived"
    )
    max_prompt_tokens: int = setting(32_768, unit="tokens", low=1, high=1_000_000)
    max_answer_tokens: int = setting(8_192, unit="tokens", low=1, high=1_000_000)
    max_connections: int = setting(2_000, low=1, high=100_000)
    max_handshakes: int = setting(
        200, low=10, high=100_000, help="connections of peers not yet authenticated"
    )
    max_running: int = setting(
        500, low=1, high=100_000, help="requests in progress and waiting at this entry"
    )
    routing_policy: str = setting("least_delay", check=_check_policy)
    limits: LimitSettings = setting(LimitSettings(), help="permits and entry set")
    records: RecordSettings = setting(RecordSettings(), help="copies and flushes")
    seed: int = setting(0, low=0, high=2**63 - 1, help="0 takes a fresh seed")

    @property
    def advertised_address(self) -> str:
        return self.advertised or self.listen

    def field_conflicts(self) -> list[str]:
        """Return the conflicts between fields that are valid individually."""
        problems = []
        if self.current_key not in self.keys:
            known = ", ".join(self.keys)
            problems.append(f"current_key: {self.current_key!r} is not one of {known}")
        if self.orphan_grace <= self.service_timeout:
            problems.append(
                f"orphan_grace: {self.orphan_grace} s is not over service_timeout, "
                f"{self.service_timeout} s; calls of a dead entry may run that long"
            )
        if self.max_receiving_bytes < self.max_body_bytes:
            problems.append(
                f"max_receiving_bytes: {self.max_receiving_bytes} bytes is under "
                f"max_body_bytes, {self.max_body_bytes} bytes; the largest bodies "
                "would be refused"
            )
        return problems
