"""Idle cost of nodes: `python -m bench.slopes_nodes`.

Starts entries and sidecars without requests, and measures processor time, memory and
bytes sent for control at several numbers of peers. The slopes are the cost per peer.
"""

import argparse
import time

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import gevent

from bench.cluster import Cluster
from bench.entry_probe import memory_kb, processor_seconds
from bench.topology import three_stages

MEASURED_SECONDS = 10.0


def _sent_bytes(dump):
    return sum(peer["sent_bytes"] for peer in dump["connections"])


def _measure(entries, replicas):
    """Return (name, peers, core share, memory, bytes/s) of an entry and a sidecar."""
    topology = three_stages(entries=entries, replicas=replicas)
    with Cluster(topology) as cluster:
        gevent.sleep(3)
        names = ("entry0", "s0-0")
        processes = [cluster.process(name) for name in names]
        before = [processor_seconds(process) for process in processes]
        sent = _sent_bytes(cluster.dump("entry0"))
        started = time.monotonic()
        gevent.sleep(MEASURED_SECONDS)
        seconds = time.monotonic() - started
        # Includes the response to the first dump; that to the second one is sent after
        # the counter is read.
        sent = (_sent_bytes(cluster.dump("entry0")) - sent) / seconds
        rows = []
        for name, process, used in zip(names, processes, before, strict=True):
            share = (processor_seconds(process) - used) / seconds
            peers = entries - 1 + 3 * replicas if name == "entry0" else entries
            rate = sent if name == "entry0" else float("nan")
            rows.append((name, peers, share, memory_kb(process), rate))
        cluster.kill_all()
    return rows


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--replicas", default="1,4,10")
    parser.add_argument("--entries", default="2,6")
    options = parser.parse_args()
    print("heartbeats every 0.5 s, no requests")
    print("node     peers   core %   resident KB   of it anonymous   control bytes/s")
    for entries in map(int, options.entries.split(",")):
        for replicas in map(int, options.replicas.split(",")):
            for name, peers, share, memory, rate in _measure(entries, replicas):
                print(
                    f"{name:8} {peers:5} {share * 100:8.2f} {memory['VmRSS']:13} "
                    f"{memory['RssAnon']:17} {rate:17.0f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
