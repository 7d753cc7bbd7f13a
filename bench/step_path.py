"""Measures the step path: steps/s of each sidecar and processor time per step.

`python -m bench.step_path --stages 3 --concurrency 64 --requests 256` starts engines
without delays and their sidecars, and sends model requests through the complete chain
from this process. Engines, sidecars and this process share the machine.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

from gevent.pool import Pool  # noqa: E402

from bench.entry_probe import (  # noqa: E402
    EntryProbe,
    memory_kb,
    processor_seconds,
    start_engine,
    start_sidecar,
)
from bench.standins.model_digest import expected_answer  # noqa: E402

LAYERS = 12


def _arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stages", type=int, default=3)
    parser.add_argument("--concurrency", type=int, default=64)
    parser.add_argument("--requests", type=int, default=256)
    parser.add_argument("--prompt-tokens", type=int, default=32)
    parser.add_argument("--answer-tokens", type=int, default=64)
    parser.add_argument("--iteration-ms", type=float, default=0.0)
    parser.add_argument("--first-port", type=int, default=20700)
    return parser.parse_args()


def _start(options, directory, processes):
    """Start the chain; return the probe, the sidecars and the connections to them."""
    probe, sidecars, connections = EntryProbe(), [], []
    for stage in range(options.stages):
        port = options.first_port + 2 * stage
        name = f"s{stage}"
        processes.append(
            start_engine(
                directory,
                port,
                name,
                first_layer=stage * LAYERS // options.stages,
                end_layer=(stage + 1) * LAYERS // options.stages,
                model_layers=LAYERS,
                iteration_ms=options.iteration_ms,
                slots=256,
            )
        )
        sidecars.append(start_sidecar(directory, port + 1, name, port))
        processes.append(sidecars[-1])
        connections.append(probe.connect(port + 1))
    return probe, sidecars, connections


def _run(options, probe, connections):
    """Run the requests; return the elapsed seconds and the number of wrong answers."""
    prompt = list(range(100, 100 + options.prompt_tokens))
    seeds = range(1, options.requests + 1)
    expected = {
        seed: [
            token.token
            for token in expected_answer(
                prompt, "warwick-7b", LAYERS, seed, options.answer_tokens
            )
        ]
        for seed in seeds
    }
    pool = Pool(options.concurrency)
    started = time.monotonic()
    answers = {
        seed: pool.spawn(
            probe.request,
            connections,
            prompt,
            options.answer_tokens,
            seed=seed,
            timeout=120,
        )
        for seed in seeds
    }
    pool.join()
    seconds = time.monotonic() - started
    wrong = sum(
        [token.token for token in answer.get().tokens] != expected[seed]
        for seed, answer in answers.items()
    )
    return seconds, wrong


def main():
    options = _arguments()
    processes = []
    with tempfile.TemporaryDirectory() as name:
        try:
            probe, sidecars, connections = _start(options, Path(name), processes)
            idle = [memory_kb(sidecar) for sidecar in sidecars]
            before = [processor_seconds(sidecar) for sidecar in sidecars]
            seconds, wrong = _run(options, probe, connections)
            report = {"seconds": round(seconds, 2), "wrong_answers": wrong}
            for index, sidecar in enumerate(sidecars):
                loop = probe.dump(connections[index])["stages"]["loop"]
                used = processor_seconds(sidecar) - before[index]
                steps = loop["steps_done"]
                report[sidecar.name] = {
                    "steps_per_second": round(steps / seconds),
                    "steps_per_call": round(steps / loop["calls_done"], 1),
                    "processor_us_per_step": round(used / steps * 1e6, 1),
                    "memory_idle_kb": idle[index],
                    "memory_after_kb": memory_kb(sidecar),
                }
            print(json.dumps(report, indent=2))
        finally:
            for process in processes:
                process.kill()


if __name__ == "__main__":
    main()
