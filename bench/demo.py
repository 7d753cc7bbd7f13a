"""Demo: starts a small system, streams answers and checks the engines' journals.

`python -m bench.demo` exits with 0 if every layer ran exactly once per token, in order.
`--fault layer-twice` makes the engines of the second stage run a layer twice; the check
reports it and the command exits with 1.
"""

import argparse
import sys

from gevent import monkey

if __name__ == "__main__":
    monkey.patch_all()

from bench.cluster import Cluster
from bench.history import History
from bench.topology import SERVICE, three_stages

PROMPT = "What does the market charge for salt?"
CUSTOMER = "warwick"


def show(line=""):
    print(line, flush=True)


def stream_answer(cluster: Cluster, entry: str):
    """Stream one answer from `entry`, printing each token as it arrives."""
    show(f"\n{CUSTOMER} asks {entry}: {PROMPT}\n")
    answer = cluster.caller(CUSTOMER).chat(
        cluster.http(entry),
        PROMPT,
        seed=7,
        max_tokens=24,
        on_token=lambda answer: print(answer.texts[-1], end="", flush=True),
    )
    show(f"\n\noutcome {answer.outcome} after {answer.seconds:.3f} s")
    if answer.error:
        show(f"error: {answer.error}")
    if answer.times:
        show(f"{len(answer.texts)} tokens, the first after {answer.times[0]:.3f} s")
    return answer


def show_chain(cluster: Cluster, answer):
    specs = {spec.name: spec for spec in cluster.topology.engines}
    for name in answer.chain:
        spec = specs[name]
        show(
            f"  {name}: layers {spec.first} to {spec.end - 1}, "
            f"data centre {spec.data_centre}"
        )


def call_service(cluster: Cluster, entry: str):
    answer = cluster.caller(CUSTOMER).call(cluster.http(entry), SERVICE, "/accounts/7")
    show(f"\nGET /accounts/7 of {SERVICE}: {answer.outcome}, status {answer.status}")
    return answer


def run(fault: str) -> int:
    """Run the demo and return its exit code."""
    topology = three_stages(
        entries=2, replicas=2, services=1, engine={"iteration_ms": 20.0}
    )
    show(
        f"starting {len(topology.entries)} entries, {len(topology.engines)} engines "
        f"and {len(topology.services)} plain service in 2 data centres"
    )
    with Cluster(topology) as cluster:
        cluster.add_customer(CUSTOMER)
        if fault == "layer-twice":
            for name in topology.stages()[1]:
                cluster.set_faults(f"{name}/upstream", double_layer=2)
            show("fault: the engines of the second stage run layer 2 twice")
        answers = [stream_answer(cluster, entry) for entry in cluster.entries]
        show("\nchain of the last answer:")
        show_chain(cluster, answers[-1])
        service = call_service(cluster, cluster.entries[0])
        verdict = History(cluster).check(answers, undisturbed=not fault)
    show(
        f"\n{verdict.runs} layer runs in the journals, {verdict.repeated_runs} repeated"
    )
    for violation in verdict.violations[:10]:
        show(f"  {violation.rule} {violation.request}: {violation.evidence}")
    all_answered = (
        all(a.outcome == "answered" for a in answers) and service.status == 200
    )
    passed = verdict.passed and verdict.runs > 0 and all_answered
    show(f"verdict: {'every layer ran exactly once' if passed else 'FAILED'}")
    return 0 if passed else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fault", choices=["", "layer-twice"], default="")
    sys.exit(run(parser.parse_args().fault))


if __name__ == "__main__":
    main()
