"""Measures the use of a customer's permits when demand exceeds them.

Run as `python -m bench.permits_under_load [--entries 3] [--concurrency 16]`. The
entries run in this process and connect over loopback with the real peering code. Each
request holds its permit for a random time, and there are more requests than permits.
The run fails if the concurrency limit is ever exceeded.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import itertools  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from bench.simulated_peers import Entry, Replica, SimulatedTable  # noqa: E402
from bulrushdrum._internal.limits.entry_set import EntrySet  # noqa: E402
from bulrushdrum._internal.limits.permits import Permits  # noqa: E402
from bulrushdrum._internal.limits.settings import LimitSettings  # noqa: E402
from bulrushdrum._internal.peering.connections import PeerServer, dial  # noqa: E402
from bulrushdrum._internal.peering.handshake import (  # noqa: E402
    PeerIdentity,
    PeeringKeys,
)
from bulrushdrum._internal.peering.hub import PeerHub  # noqa: E402

KEYS = PeeringKeys("k", {"k": b"bench"})
CUSTOMER = "warwick"


class PermitUsage:
    """Counts the permits in use at all entries together."""

    def __init__(self, concurrency):
        self.concurrency, self.in_use, self.peak = concurrency, 0, 0
        self.busy_seconds, self._since = 0.0, time.monotonic()

    def change(self, delta):
        now = time.monotonic()
        self.busy_seconds += self.in_use * (now - self._since)
        self._since = now
        self.in_use += delta
        self.peak = max(self.peak, self.in_use)
        if self.in_use > self.concurrency:
            raise SystemExit(
                f"{self.in_use} permits in use, the limit is {self.concurrency}"
            )


def start_entries(count, concurrency, port):
    table, log = SimulatedTable(), [Entry(1, CUSTOMER, concurrency, "")]
    settings = LimitSettings(entry_set_poll=0.3)
    entries = []
    for number in range(count):
        address = f"127.0.0.1:{port + number}"
        local = PeerIdentity("entry", f"e{number}", f"e{number}", "d1", address)
        hub = PeerHub(local)
        entry_set = EntrySet(hub, table, settings, lambda member: False)
        permits = Permits(hub, entry_set, Replica(log), settings)
        server = PeerServer(address, local, KEYS, hub.serve, print)
        server.start()
        for earlier in range(number):
            connection = dial(f"127.0.0.1:{port + earlier}", local, KEYS)
            gevent.spawn(hub.serve, connection)
        entry_set.start()
        permits.start()
        entries.append(permits)
    deadline = time.monotonic() + 30
    while any(
        len(permits.dump()["entry_set"]["members"]) < count
        or permits.dump()["missing_acknowledgements"]
        for permits in entries
    ):
        if time.monotonic() > deadline:
            raise SystemExit("not all entries joined the entry set within 30 s")
        gevent.sleep(0.1)
    return entries


def acquire_repeatedly(permits, usage, waits, hold_seconds, seed, until):
    source = random.Random(seed)
    for number in itertools.count():
        started = time.monotonic()
        if started >= until:
            return
        permit = permits.acquire(CUSTOMER, f"{seed}-{number}", 60.0)
        waits.append(time.monotonic() - started)
        usage.change(+1)
        gevent.sleep(hold_seconds * source.uniform(0.5, 1.5))
        usage.change(-1)
        permits.release(permit)


def run(entries, active, concurrency, hold_seconds, seconds, seed):
    usage = PermitUsage(concurrency)
    waits = [[] for _ in range(active)]
    until = time.monotonic() + seconds
    clients = [
        gevent.spawn(
            acquire_repeatedly,
            entries[number],
            usage,
            waits[number],
            hold_seconds,
            seed * 1000 + k,
            until,
        )
        for number in range(active)
        for k in range(-(-2 * concurrency // active))
    ]
    gevent.sleep(seconds)
    usage.change(0)
    busy = usage.busy_seconds / concurrency / seconds
    gevent.joinall(clients, raise_error=True)
    served = [len(entry) for entry in waits]
    all_waits = sorted(itertools.chain(*waits))
    print(
        f"{len(entries):7} {active:6} {concurrency:11} {hold_seconds:6.2f} {busy:8.3f} "
        f"{usage.peak:5} {all_waits[len(all_waits) * 95 // 100]:9.3f} "
        f"{min(served):7} {max(served):7}",
        flush=True,
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--concurrency", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--port", type=int, default=22000)
    parser.add_argument("--seed", type=int, default=20261204)
    arguments = parser.parse_args()
    entries = start_entries(arguments.entries, arguments.concurrency, arguments.port)
    print(f"load of the machine: {os.getloadavg()[0]:.1f}")
    print("entries active concurrency hold s  in use  most  p95 wait  served: min max")
    for active in sorted({1, arguments.entries}):
        for hold_seconds in (0.05, 0.3, 1.0):
            run(
                entries,
                active,
                arguments.concurrency,
                hold_seconds,
                arguments.seconds,
                arguments.seed,
            )


if __name__ == "__main__":
    main()
