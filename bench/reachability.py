"""Measures how soon an entry stops using an upstream after a one-way link failure.

`python -m bench.reachability` stalls one or both directions of the link between an
entry and a sidecar, and measures how long the entry keeps using the upstream.
"""

import argparse
import time

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import gevent

from bench.cluster import Cluster
from bench.topology import three_stages

ENTRY, UPSTREAM = "entry0", "s0-0"
TIMEOUT_SECONDS = 20.0


def detection_seconds(direction: str) -> float:
    """Return the seconds from the cut until the entry stops using the upstream.

    At most `TIMEOUT_SECONDS`.
    """
    topology = three_stages(entries=1, replicas=2, proxied=True)
    with Cluster(topology) as cluster:
        gevent.sleep(2)
        cluster.set_link(ENTRY, UPSTREAM, stall=direction)
        started = time.monotonic()
        while UPSTREAM in cluster.serving_at(ENTRY):
            if time.monotonic() - started > TIMEOUT_SECONDS:
                break
            gevent.sleep(0.02)
        seconds = time.monotonic() - started
        cluster.kill_all()
    return seconds


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=3)
    rounds = parser.parse_args().rounds
    print("seconds until the upstream is out of use, one column for each round")
    results = {}
    for _ in range(rounds):  # interleaved, so that load changes affect all directions
        for direction in ("up", "down", "both"):
            results.setdefault(direction, []).append(detection_seconds(direction))
    for direction, seconds in results.items():
        shown = "  ".join(f"{value:5.2f}" for value in seconds)
        print(f"{direction:4} cut: {shown}")


if __name__ == "__main__":
    main()
