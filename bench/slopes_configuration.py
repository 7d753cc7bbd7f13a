"""Cost of the configuration: memory per contract, applying entries, start-up.

Run it as `python -m bench.slopes_configuration [--contracts 37000]`. It starts the
stand-in of the table in a separate process and fills it with typical contracts.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import gc  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402

from bulrushdrum._internal.configuration.log import edit_writes  # noqa: E402
from bulrushdrum._internal.configuration.replica import ConfigurationReplica  # noqa: E402
from bulrushdrum._internal.configuration.store import ConfigStore  # noqa: E402
from bulrushdrum._internal.observability.events import start_logging  # noqa: E402
from bulrushdrum._internal.peering.connections import (  # noqa: E402
    FrameStream,
    PeerConnection,
)
from bulrushdrum._internal.peering.handshake import PeerIdentity  # noqa: E402
from bulrushdrum._internal.peering.hub import PeerHub  # noqa: E402
from bulrushdrum._internal.peering.shared_state_messages import ConfigEntry  # noqa: E402
from bulrushdrum._internal.platform.table import Table  # noqa: E402
from bulrushdrum._internal.world.contracts import (  # noqa: E402
    encode_contract,
    hash_api_key,
    parse_contract,
)

SEED = 20261204
SETTINGS = SimpleNamespace(seed=SEED)
_EDITS_PER_TRANSACTION = 100  # to fill the stand-in quickly


def sample_entries(count: int, start: int = 0) -> list[ConfigEntry]:
    """Return a log that creates `count` contracts, each with one API key."""
    source = random.Random(SEED + start)
    kinds = ["chat:payment", "ledger:POST /payments", "registry:POST /registrations"]
    entries = []
    for number in range(start, start + count):
        contract = parse_contract(
            {
                "customer": f"customer-{number:06}",
                "share": source.choice([0.5, 1, 2, 8]),
                "priority": source.randrange(10),
                "concurrency": source.choice([4, 16, 64, 500]),
                "non_idempotent": kinds[: source.randrange(4)],
                "api_key_hashes": [hash_api_key(f"key-{number}")],
                "home_region": f"region-{source.randrange(6)}",
            }
        )
        entries.append(
            ConfigEntry(
                number + 1,
                "contract",
                contract.customer,
                encode_contract(contract),
                source.randbytes(16).hex(),
            )
        )
    return entries


def measure_memory(count: int) -> float:
    """Return the bytes allocated by a store of `count` contracts."""
    gc.collect()
    tracemalloc.start()
    store = ConfigStore()
    for first in range(0, count, 1000):
        for entry in sample_entries(min(1000, count - first), first):
            store.apply(entry)
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert store.count("contract") == count
    return allocated


def identity(node: str) -> PeerIdentity:
    return PeerIdentity("entry", node, f"{node}#1", "dc", "127.0.0.1:1")


def new_replica(node: str, table) -> tuple[PeerHub, ConfigurationReplica]:
    hub = PeerHub(identity(node))
    return hub, ConfigurationReplica(hub, table, SETTINGS)


def measure_apply(replica: ConfigurationReplica, count: int) -> list[float]:
    """Return the seconds to apply each of `count` further entries."""
    entries = sample_entries(count, replica.revision)
    seconds = []
    for entry in entries:
        started = time.perf_counter()
        replica.offer((entry,))
        seconds.append(time.perf_counter() - started)
    return seconds


def measure_reads(replica: ConfigurationReplica, count: int) -> tuple[float, float]:
    """Return the mean seconds of a key look-up, uncached and cached."""
    keys = [f"key-{number}" for number in range(0, count, max(1, count // 1000))]
    times = []
    for _ in range(2):
        started = time.perf_counter()
        for key in keys:
            if replica.customer_of_api_key(key) is None:
                raise RuntimeError(f"{key} has no customer")
        times.append((time.perf_counter() - started) / len(keys))
    return times[0], times[1]


def fill_table(table: Table, entries: list[ConfigEntry]):
    for first in range(0, len(entries), _EDITS_PER_TRANSACTION):
        writes = []
        for entry in entries[first : first + _EDITS_PER_TRANSACTION]:
            writes += edit_writes(entry, json.loads(entry.value))
        table.transact([], writes)


def time_until_ready(replica: ConfigurationReplica) -> float:
    started = time.monotonic()
    replica.start()
    while not replica.ready:
        gevent.sleep(0.005)
    return time.monotonic() - started


def connect(one: PeerHub, other: PeerHub):
    """Connect two hubs with a socket pair, without the handshake."""
    left, right = socket.socketpair()
    for hub, sock, peer in ((one, left, other), (other, right, one)):
        stream = FrameStream(sock)
        stream.mark_authenticated()
        gevent.spawn(hub.serve, PeerConnection(stream, peer.local_identity))


def wait_for_table(address: str):
    table = Table(address, timeout=5.0)
    for _ in range(100):
        try:
            table.read("config/head")
            return table
        except Exception:  # not listening yet
            gevent.sleep(0.1)
    raise SystemExit(f"the stand-in of the table does not respond at {address}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--contracts", type=int, default=37_000)
    parser.add_argument("--port", type=int, default=21_900)
    options = parser.parse_args()
    count = options.contracts
    start_logging("slopes", open("/dev/null", "w"))

    sizes = [count // 8, count // 4, count // 2, count]
    memory = [measure_memory(size) for size in sizes]
    print(f"memory_bytes_by_contracts {dict(zip(sizes, memory, strict=True))}")
    print(f"memory_bytes_per_contract {memory[-1] / count:.0f}")

    address = f"127.0.0.1:{options.port}"
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.standins.table", "--address", address],
        stdout=subprocess.DEVNULL,
    )
    try:
        table = wait_for_table(address)
        fill_table(table, sample_entries(count))
        hub, replica = new_replica("a", table)
        seconds = time_until_ready(replica)
        print(f"start_from_table_seconds {seconds:.2f} contracts {count}")
    finally:
        process.terminate()
        process.wait()

    # The table is down from here on, as its process has ended.
    other_hub, other = new_replica("b", table)
    connect(hub, other_hub)
    gevent.sleep(0.1)
    seconds = time_until_ready(other)
    print(f"start_from_peer_seconds {seconds:.2f} of which 2 wait for connections")
    if other.revision != replica.revision or other.customers() != replica.customers():
        raise SystemExit("the snapshot differs from the table")
    replica.stop()
    other.stop()

    cold, cached = measure_reads(replica, count)
    print(f"key_lookup_microseconds cold {cold * 1e6:.1f} cached {cached * 1e6:.1f}")
    applied = sorted(measure_apply(other, 2000))
    print(
        f"apply_microseconds median {statistics.median(applied) * 1e6:.1f} "
        f"p99 {applied[int(len(applied) * 0.99)] * 1e6:.1f}"
    )


if __name__ == "__main__":
    main()
