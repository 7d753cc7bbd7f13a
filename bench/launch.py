"""Settings and command lines of the processes of a test system."""

from typing import NamedTuple

from bench.topology import EngineSpec, EntrySpec, ServiceSpec, Topology

PLATFORM = ("table", "objects", "vm_list")
OPERATOR_KEY = "operator-key-of-the-test-system"
PEER_KEYS = {"k1": "a-shared-secret-of-the-test-system"}


class SpecAddresses(NamedTuple):
    """Addresses by process name, and the proxied addresses that replace them."""

    by_name: dict[str, str]
    address_map: dict[str, str]


def upstream_arguments(topology: Topology, spec, address: str, journal) -> list[str]:
    """Return the arguments of the Python interpreter for one upstream's stand-in."""
    if isinstance(spec, ServiceSpec):
        return [
            *("-m", "bench.standins.plain_service", "--address", address),
            *("--journal", str(journal)),
        ]
    values = {
        "address": address,
        "engine": spec.name,
        "model": topology.model,
        "model-version": topology.model_version,
        "first-layer": spec.first,
        "end-layer": spec.end,
        "model-layers": topology.layers,
        "accelerator": spec.accelerator,
        "tokens-per-second": spec.tokens_per_second,
        "iteration-ms": spec.iteration_ms,
        "slots": spec.slots,
        "prefix-blocks": spec.prefix_blocks,
        "journal": journal,
    }
    flags = [f"--{name}={value}" for name, value in values.items()]
    fencing = "--checks-fencing" if spec.checks_fencing else "--no-checks-fencing"
    return ["-m", "bench.standins.engine", *flags, fencing]


def _common_settings(topology, spec, addresses):
    return {
        "node": spec.name,
        "data_centre": spec.data_centre,
        "region": topology.region_of(spec.data_centre),
        "listen": addresses.by_name[spec.name],
        "keys": PEER_KEYS,
        "current_key": "k1",
        "address_map": addresses.address_map,
    }


def sidecar_settings(
    topology: Topology, spec: EngineSpec | ServiceSpec, addresses: SpecAddresses
) -> dict:
    upstream = addresses.by_name[f"{spec.name}/upstream"]
    return {
        **_common_settings(topology, spec, addresses),
        "kind": "service" if isinstance(spec, ServiceSpec) else "engine",
        "service": getattr(spec, "service", ""),
        "upstream_url": f"http://{upstream}",
        **topology.sidecar_settings,
    }


def entry_settings(
    topology: Topology, spec: EntrySpec, addresses: SpecAddresses, platform: dict
) -> dict:
    """Return the settings of an entry; `platform` maps services to addresses."""
    urls = {f"{name}_url": f"http://{address}" for name, address in platform.items()}
    return {
        **_common_settings(topology, spec, addresses),
        "http_listen": addresses.by_name[f"{spec.name}/http"],
        "operator_listen": addresses.by_name[f"{spec.name}/operator"],
        "operator_key": OPERATOR_KEY,
        "regions": topology.regions,
        "vm_list_interval": 0.5,
        **urls,
        **topology.entry_settings,
    }
