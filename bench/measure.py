"""Measures routing and recovery: `python -m bench.measure` (`make bench`).

All policies run in one session, interleaved over the seeds, each on new processes. A
row has the minimum, median and maximum over the seeds.
"""

import argparse
import statistics
import time

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

import gevent

from bench.bound import throughput_bound
from bench.cluster import Cluster
from bench.load import Kiosk, Notices, closed_loop, open_loop
from bench.topology import EngineSpec, EntrySpec, Topology

POLICIES = ("least_delay", "random", "round_robin", "least_reported", "two_choices")
SPEEDS = (120.0, 240.0, 480.0, 960.0)
STAGES = 3
LAYERS = 6
DATA_CENTRES = ("a", "b", "c")
LINK_DELAY_SECONDS = {"a|b": 0.0005, "a|c": 0.02, "b|c": 0.02}
CUSTOMER = "warwick"
DETECTION_SECONDS = 1.5  # three heartbeats of 0.5 s


def mixed_topology(policy: str, seed: int, proxied: bool = False) -> Topology:
    """Return three stages of engines whose speeds differ by a factor of eight."""
    engines = tuple(
        EngineSpec(
            f"s{stage}-{number}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            stage * LAYERS // STAGES,
            (stage + 1) * LAYERS // STAGES,
            tokens_per_second=speed,
            iteration_ms=2.0,
            slots=32,
            accelerator=f"kind{number}",
            prefix_blocks=64,
        )
        for stage in range(STAGES)
        for number, speed in enumerate(SPEEDS)
    )
    return Topology(
        tuple(
            EntrySpec(f"entry{n}", data_centre)
            for n, data_centre in enumerate(DATA_CENTRES)
        ),
        engines,
        layers=LAYERS,
        proxied=proxied,
        entry_settings={
            "routing_policy": policy,
            "seed": seed,
            "link_delays": LINK_DELAY_SECONDS,
            "queue_timeout": 30.0,
            "token_timeout": 30.0,
        },
    )


def _spread(values, digits=2):
    low, middle, high = min(values), statistics.median(values), max(values)
    return f"{low:.{digits}f}/{middle:.{digits}f}/{high:.{digits}f}"


def _cached_and_repeated(cluster):
    """Return the fractions of positions served from caches and of repeated tokens."""
    stats = cluster.engine_stats()
    budgets = [
        cluster.dump(entry)["frontend"]["retry_budget"] for entry in cluster.entries
    ]
    total = sum(budget["total_tokens"] for budget in budgets)
    repeated = sum(budget["repeated_tokens"] for budget in budgets)
    return stats["cached_positions"] / max(stats["positions"], 1), repeated / max(
        total, 1
    )


def _percentile_columns(observed_runs, name):
    columns = []
    for index in range(3):
        values = [run.percentiles(name)[index] * 1000 for run in observed_runs]
        columns.append(_spread(values, 0))
    return columns


def measure_policies(seeds, policies, seconds, requests, workload_kind, load):
    """Print a row per policy; `load` is "saturated" or a fraction of the bound."""
    runs = {policy: [] for policy in policies}
    bound = 0.0
    for seed in seeds:
        for policy in policies:
            topology = mixed_topology(policy, seed)
            bound = throughput_bound(topology)
            workload = workload_kind()
            with Cluster(topology) as cluster:
                cluster.add_customer(CUSTOMER, concurrency=10_000)
                if load == "saturated":
                    observed = closed_loop(
                        cluster, {CUSTOMER: requests}, workload, 4, seconds, seed
                    )
                else:
                    cost = len(workload.prompt(10**5)) + 7 + workload.answer_tokens
                    rate = load * bound / cost
                    observed = open_loop(
                        cluster, CUSTOMER, rate, workload, 4, seconds, seed
                    )
                cached, repeated = _cached_and_repeated(cluster)
                cluster.kill_all()
            runs[policy].append(observed)
            print(
                f"  seed {seed} {policy}: {observed.rate:.0f} tokens/s, "
                f"{observed.answered} answered, {observed.refused} refused, "
                f"{observed.failed} failed, {cached:.3f} of positions cached, "
                f"{repeated:.3f} of tokens repeated",
                flush=True,
            )
    name = workload_kind.__name__.lower()
    print(f"\n{name}, load {load}, bound {bound:.0f} tokens/s, seeds {list(seeds)}")
    print("min/median/max over the seeds; times in ms")
    print(
        "policy          part of bound   first p50      p95            p99"
        "            between p50  p95          p99"
    )
    for policy, observed_runs in runs.items():
        parts = _spread([run.rate / bound for run in observed_runs])
        first = _percentile_columns(observed_runs, "first")
        between = _percentile_columns(observed_runs, "between")
        print(
            f"{policy:15} {parts:15} "
            + " ".join(f"{column:14}" for column in first)
            + " ".join(f"{column:12}" for column in between)
        )
    print(flush=True)
    return runs


def _longest_gap(answer, fault_time, started):
    """Return the longest time between two tokens, the later one after `fault_time`.

    Not only the first such gap counts: the first token after the fault may have been in
    transit already.
    """
    arrivals = [started + seconds for seconds in answer.times]
    gaps = [
        later - earlier
        for earlier, later in zip(arrivals, arrivals[1:], strict=False)
        if later > fault_time
    ]
    return max(gaps, default=None)


def _run_with_fault(cluster, fault, count):
    """Run `count` answers, call `fault()` during them; return gaps and failed answers.

    The gaps are those of the answers that were retried.
    """
    results = []

    def stream_one(number):
        started = time.monotonic()
        caller = cluster.caller(CUSTOMER)
        entry = cluster.entries[number % len(cluster.entries)]
        answer = caller.chat(cluster.http(entry), f"p{number}", number, 120)
        results.append((started, answer))

    greenlets = [gevent.spawn(stream_one, number) for number in range(count)]
    gevent.sleep(1.5)
    fault_time = time.monotonic()
    fault()
    gevent.joinall(greenlets)
    gaps = [_longest_gap(answer, fault_time, started) for started, answer in results]
    unanswered = [answer for _, answer in results if answer.outcome != "answered"]
    retried = [
        gap
        for gap, (_, answer) in zip(gaps, results, strict=True)
        if gap is not None and answer.attempts > 1
    ]
    return retried, unanswered


def measure_recovery(seeds):
    """Print the time from the last token before a fault to the next, for each fault."""
    faults = {
        "engine killed": lambda c: c.process("s0-3/upstream").kill(),
        "sidecar killed": lambda c: c.process("s0-3").kill(),
        "VM killed": lambda c: c.kill_vm("s0-3"),
        "sidecar paused": lambda c: c.process("s0-3").pause(),
        "data centre killed": lambda c: [
            c.kill_vm(spec.name)
            for spec in c.topology.engines
            if spec.data_centre == "b"
        ],
    }
    print("recovery: seconds from the last good token to the next, answers retried")
    for name, fault in faults.items():
        gaps, unanswered = [], 0
        for seed in seeds:
            topology = mixed_topology("least_delay", seed)
            topology.entry_settings["token_timeout"] = 5.0
            with Cluster(topology) as cluster:
                cluster.add_customer(CUSTOMER, concurrency=10_000)
                retried_gaps, failed = _run_with_fault(
                    cluster, lambda f=fault, c=cluster: f(c), 24
                )
                cluster.kill_all()
            gaps += retried_gaps
            unanswered += len(failed)
        spread = _spread(gaps) if gaps else "no answer was hit"
        print(
            f"{name:20} {spread}  hit {len(gaps)}, not answered {unanswered}, "
            f"target {2 * DETECTION_SECONDS}",
            flush=True,
        )


def measure_fairness(seeds, seconds):
    """Print the shares of two customers with equal contracts but 4:1 demand.

    0.50 each is fair as long as the smaller demand is at least half of the capacity.
    """
    shares = []
    for seed in seeds:
        with Cluster(mixed_topology("least_delay", seed)) as cluster:
            for name in ("eager", "modest"):
                cluster.add_customer(name, concurrency=10_000)
            callers = {"eager": 192, "modest": 48}
            observed = closed_loop(cluster, callers, Notices(), 6, seconds, seed)
            cluster.kill_all()
        shares.append(observed.by_customer["modest"] / observed.tokens)
    print(f"fairness: modest got {_spread(shares)} of the tokens (min/median/max)")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--requests", type=int, default=96)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument(
        "--only", default="", help="saturated, load, recovery or fairness"
    )
    options = parser.parse_args()
    policies = options.policies.split(",")
    seeds = range(1, options.seeds + 1)
    if options.only in ("", "saturated"):
        measure_policies(
            seeds, policies, options.seconds, options.requests, Notices, "saturated"
        )
    if options.only in ("", "load"):
        measure_policies(seeds, policies, options.seconds, options.requests, Kiosk, 0.7)
    if options.only in ("", "recovery"):
        measure_recovery(seeds)
    if options.only in ("", "fairness"):
        measure_fairness(seeds, options.seconds)


if __name__ == "__main__":
    main()
