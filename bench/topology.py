"""Specifications of test systems: entries, engines, services and settings."""

from dataclasses import dataclass, field

MODEL = "warwick-7b"
SERVICE = "ledger"


@dataclass(frozen=True)
class EntrySpec:
    """One entry VM."""

    name: str
    data_centre: str


@dataclass(frozen=True)
class EngineSpec:
    """One VM with a model engine that holds the layers from `first` up to `end`.

    `end` is exclusive.
    """

    name: str
    data_centre: str
    first: int
    end: int
    tokens_per_second: float = 0.0  # 0: tokens take no time
    iteration_ms: float = 2.0
    slots: int = 64
    accelerator: str = "a"
    checks_fencing: bool = True
    prefix_blocks: int = 0


@dataclass(frozen=True)
class ServiceSpec:
    """One VM with a plain service."""

    name: str
    data_centre: str
    service: str = SERVICE


@dataclass(frozen=True)
class Topology:
    """A complete system.

    `regions` maps data centres to regions. `proxied` routes each connection between the
    processes, and to the platform, through a link of the fault proxy. The settings
    override those of every entry or sidecar.
    """

    entries: tuple[EntrySpec, ...]
    engines: tuple[EngineSpec, ...]
    services: tuple[ServiceSpec, ...] = ()
    layers: int = 6
    model: str = MODEL
    model_version: str = "1"
    regions: dict[str, str] = field(default_factory=dict)
    proxied: bool = False
    entry_settings: dict = field(default_factory=dict)
    sidecar_settings: dict = field(default_factory=dict)
    write_rate: float = 500.0
    read_rate: float = 2000.0

    def region_of(self, data_centre: str) -> str:
        return self.regions.get(data_centre, "region")

    @property
    def upstream_names(self) -> list[str]:
        return [spec.name for spec in (*self.engines, *self.services)]

    def stages(self) -> list[list[str]]:
        """Return the names of the engines of each layer range, in layer order."""
        ranges = sorted({(spec.first, spec.end) for spec in self.engines})
        return [
            [spec.name for spec in self.engines if (spec.first, spec.end) == layers]
            for layers in ranges
        ]


def three_stages(
    entries=2, replicas=2, services=0, data_centres=("a", "b"), **options
) -> Topology:
    """Return a system with a model in three stages, distributed over data centres.

    Engines are named by stage and replica, such as `s0-1`; `options` are those of
    `Topology`, and `engine` holds the options of every `EngineSpec`.
    """
    engine = options.pop("engine", {})
    layers = options.pop("layers", 6)

    def data_centre_of(number):
        return data_centres[number % len(data_centres)]

    return Topology(
        tuple(EntrySpec(f"entry{n}", data_centre_of(n)) for n in range(entries)),
        tuple(
            EngineSpec(
                f"s{stage}-{replica}",
                data_centre_of(replica),
                stage * layers // 3,
                (stage + 1) * layers // 3,
                **engine,
            )
            for stage in range(3)
            for replica in range(replicas)
        ),
        tuple(ServiceSpec(f"ledger-{n}", data_centre_of(n)) for n in range(services)),
        layers=layers,
        **options,
    )
