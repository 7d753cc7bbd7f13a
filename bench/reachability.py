"""One-way cuts: how soon an entry stops using an upstream.

`python -m bench.reachability` cuts one direction of the link between an entry and a
sidecar and reads how long the entry goes on using the upstream.
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
LIMIT_SECONDS = 20.0


def detection_seconds(direction: str) -> float:
    """Return the time from the cut until the entry uses the upstream no more."""
    topology = three_stages(entries=1, replicas=2, proxied=True)
    with Cluster(topology) as cluster:
        gevent.sleep(2)
        cluster.set_link(ENTRY, UPSTREAM, stall=direction)
        started = time.monotonic()
        while UPSTREAM in cluster.serving_at(ENTRY):
            if time.monotonic() - started > LIMIT_SECONDS:
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
    for _ in range(rounds):  # interleaved
        for direction in ("up", "down", "both"):
            results.setdefault(direction, []).append(detection_seconds(direction))
    for direction, seconds in results.items():
        shown = "  ".join(f"{value:5.2f}" for value in seconds)
        print(f"{direction:4} cut: {shown}")


if __name__ == "__main__":
    main()
