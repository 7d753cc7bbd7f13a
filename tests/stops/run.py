"""Plays planned stops of routers, with every program a process of its own.

    python -m tests.stops.run --seeds 5 --routers 4 --rate 97

Routers are stopped in turn while callers go on, killed at the end of the grace if they
still run, and started again at once. A seed that breaks the check prints its command.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from pathlib import Path  # noqa: E402
from socket import SOCK_DGRAM  # noqa: E402
from typing import NamedTuple  # noqa: E402

import gevent  # noqa: E402
from bench.standins.row_store import RowStore  # noqa: E402
from tests.integration.router_system import free_port, make_configuration  # noqa: E402
from tests.stops.checker import Cut, find_cuts, read_log_events  # noqa: E402
from tests.stops.records import (  # noqa: E402
    CallerRecord,
    RecordWriter,
    ServerRecord,
    StopRecord,
    read_records,
)

ROOT = Path(__file__).resolve().parents[2]
DATA_CENTRES = ("a", "b", "c")
_WARM_UP_SECONDS = 4.0
_PRINTED_CUTS = 40


class Options(NamedTuple):
    """One run; times in seconds, `rate` in requests a second of all callers.

    Engines are up to `spread` times slower than `event_seconds`, and a part `unframed`
    of their streams ends with the connection. A part `misjudged` of the callers expects
    an eighth of the answer that it gets. All processes, or those of the routers,
    share the first `cores` or `router_cores` of the machine; 0 means any. With a
    `reader` "pipe" the log is read after the end of each process. `changes` adds new
    configurations and draining engines. Each engine pauses all its streams every
    `pauses` seconds on average, and refuses requests meanwhile; 0 means never.
    `retry_extra` is the fixed part of the limit on retries.
    """

    seed: int = 1
    routers: int = 4
    rate: float = 97.0
    seconds: float = 30.0
    grace: float = 8.0
    gap: float = 2.0
    engines: int = 6
    event_seconds: float = 0.03
    spread: float = 2.0
    unframed: float = 0.0
    misjudged: float = 0.0
    idle_seconds: float = 12.0
    router_cores: int = 0
    cores: int = 0
    reader: str = "file"
    changes: bool = False
    pauses: float = 0.0
    retry_extra: int = 200


class RouterHost:
    """A machine of a router, on which its process is started again and again."""

    def __init__(self, name, data_centre, folder, store, options, stops):
        self.name, self._options, self._stops = name, options, stops
        self.port, self.ready_port = free_port(), free_port()
        metrics = free_port()
        settings = {
            "node-name": name,
            "zone": data_centre,
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready-addr": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": [free_port(SOCK_DGRAM), metrics],
            "bounds": {
                "grace-s": options.grace,
                "retry-budget-extra": options.retry_extra,
            },
            "platform": {"address": store.address},
        }
        self._settings = folder / f"{name}.json"
        self._settings.write_text(json.dumps(settings))
        self.log = folder / f"{name}.log"
        self._errors = folder / f"{name}.stderr"
        self.process = None

    def start(self):
        with self._errors.open("a") as errors:
            reader = self._options.reader
            output = self.log.open("a") if reader == "file" else subprocess.PIPE
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bulrushdrum", "router"],
                env={**os.environ, "BULRUSHDRUM_SETTINGS": str(self._settings)},
                cwd=ROOT,
                stdout=output,
                stderr=errors,
            )
        if self._options.router_cores:
            os.sched_setaffinity(self.process.pid, range(self._options.router_cores))

    def stop_and_restart(self):
        """Send SIGTERM, kill the process at the end of the grace, start another one."""
        process, signalled = self.process, time.monotonic()
        process.send_signal(signal.SIGTERM)
        killed = False
        while process.poll() is None:
            if time.monotonic() > signalled + self._options.grace:
                process.kill()
                killed = True
                process.wait()
                break
            gevent.sleep(0.005)
        ended = time.monotonic()
        self.collect(process)
        self._stops.write(StopRecord(self.name, signalled, ended, killed))
        self.start()

    def collect(self, process):
        """Read the output of a process that has ended, if nobody read it before."""
        if process.stdout is not None:
            with self.log.open("ab") as log:
                log.write(process.stdout.read())
            process.stdout.close()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.collect(self.process)


class Run:
    """One run: starts everything, plays the stops, and checks the records."""

    def __init__(self, options: Options, folder: Path):
        self._options, self._folder = options, folder
        self._random = random.Random(options.seed)
        self._store = RowStore()
        self._version = 7
        self._processes: list[subprocess.Popen] = []
        self._servers: dict[str, tuple[str, dict]] = {}
        self.stops_path = folder / "stops.jsonl"
        stops = RecordWriter(self.stops_path)
        self.routers = [
            RouterHost(
                f"r{number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                folder,
                self._store,
                options,
                stops,
            )
            for number in range(options.routers)
        ]

    def play(self):
        options = self._options
        self._put_configuration()
        for centre in DATA_CENTRES:
            self._start_servers(centre)
        gevent.sleep(1.0)
        for router in self.routers:
            router.start()
        gevent.sleep(_WARM_UP_SECONDS)
        for centre in DATA_CENTRES:
            self._start_callers(centre)
        tasks = []
        if options.changes:
            tasks += [gevent.spawn(self._change), gevent.spawn(self._drain_engines)]
        self._stop_in_turn()
        gevent.killall(tasks)

    def _stop_in_turn(self):
        """Stop the routers in turn, again and again; the last stops end in time."""
        last = time.monotonic() + self._options.seconds - self._options.grace - 1.0
        gevent.sleep(self._random.uniform(1.0, 8.0))
        while time.monotonic() < last:
            stopping = []
            for router in self._random.sample(self.routers, len(self.routers)):
                stopping.append(gevent.spawn(router.stop_and_restart))
                gevent.sleep(self._options.gap * self._random.uniform(0.5, 1.5))
            gevent.joinall(stopping)
            gevent.sleep(self._random.uniform(0.5, 3.0))

    def _change(self):
        while True:
            gevent.sleep(self._random.uniform(0.5, 3.0))
            self._put_configuration()

    def _drain_engines(self):
        while True:
            name = self._random.choice([n for n in self._servers if n[0] == "e"])
            self._command(name, "draining")
            gevent.sleep(self._random.uniform(2.0, 4.0))
            self._command(name, "ready")
            gevent.sleep(self._random.uniform(0.5, 2.0))

    def _command(self, name, state):
        process = self._servers[name][0]
        process.stdin.write(json.dumps({"name": name, "state": state}) + "\n")
        process.stdin.flush()

    def _put_configuration(self):
        self._version += 1
        value = make_configuration(self._version)
        engine = value["services"][0]
        engine["name"] = "llm"
        engine["max-conns"] = 900
        engine["engine"] |= {
            "slots": 96,
            "kv-token-bytes": 1_180_000,
            "step_ms": self._options.event_seconds * 1000 / 4,
            "usual": {"prompt": 760, "answer": 200},
            "layers": 80,
            "layer-mb": 1750.0,
            "kinds": [
                {"name": "k", "size-mb": 72_000.0, "pace": 1.0, "read-factor": 1.0}
            ],
        }
        value["services"][1] |= {"name": "plain", "max-conns": 96}
        value["routes"][0] |= {"service": "llm"}
        value["routes"][1] |= {
            "service": "plain",
            "prefix": "/p/",
            "timeout-ms": 1500,
        }
        value["limits"] |= {"max-body-bytes": 4_000_000}
        self._store.put("op", "config", value)

    def _start_servers(self, centre):
        options = {
            "seed": self._options.seed,
            "data_centre": centre,
            "engines": self._options.engines,
            "event_seconds": self._options.event_seconds,
            "spread": self._options.spread,
            "unframed": self._options.unframed,
            "pauses": self._options.pauses,
            "kind": "k",
            "records": str(self._folder / f"servers-{centre}.jsonl"),
        }
        process = self._start("tests.stops.servers", options, stdin=subprocess.PIPE)
        gevent.spawn(self._read_rows, process)

    def _read_rows(self, process):
        for line in process.stdout:
            entry = json.loads(line)
            self._servers[entry["name"]] = (process, entry["row"])
            self._store.put("servers", entry["name"], entry["row"])

    def _start_callers(self, centre):
        options = {
            "seed": self._options.seed + ord(centre),
            "name": centre,
            "rate": self._options.rate / len(DATA_CENTRES),
            "seconds": 10 * self._options.seconds,
            "idle_seconds": self._options.idle_seconds,
            "misjudged": self._options.misjudged,
            "routers": {
                router.name: {"port": router.port, "ready": router.ready_port}
                for router in self.routers
            },
            "records": str(self._folder / f"callers-{centre}.jsonl"),
        }
        self._start("tests.stops.callers", options)

    def _start(self, module, options, **streams):
        process = subprocess.Popen(
            [sys.executable, "-m", module, json.dumps(options)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            **streams,
        )
        self._processes.append(process)
        return process

    def end(self):
        # The callers first: what they would see of the end is no part of the run.
        for process in reversed(self._processes):
            process.kill()
            process.wait()
        for router in self.routers:
            router.end()
        self._store.stop()

    def check(self) -> "Outcome":
        """Compare what callers, servers and routers recorded."""
        callers, runs = [], []
        for centre in DATA_CENTRES:
            callers += read_records(
                self._folder / f"callers-{centre}.jsonl", CallerRecord
            )
            runs += read_records(self._folder / f"servers-{centre}.jsonl", ServerRecord)
        stops = read_records(self.stops_path, StopRecord)
        log_events = read_log_events([router.log for router in self.routers])
        cuts = find_cuts(callers, runs, stops, self._options.grace, log_events)
        return Outcome(
            Counter((request.end, request.status) for request in callers),
            sorted(round(stop.ended - stop.signalled, 2) for stop in stops),
            sum(stop.killed for stop in stops),
            cuts,
        )


class Outcome(NamedTuple):
    """What came of a run; `ends` counts how requests ended, by end and status."""

    ends: Counter
    stop_seconds: list[float]
    killed: int
    cuts: list[Cut]

    @property
    def lost(self) -> list[Cut]:
        return [cut for cut in self.cuts if not cut.excuse]

    @property
    def unnamed(self) -> list[Cut]:
        return [cut for cut in self.cuts if not cut.lines]

    def print(self):
        print(f"requests: {sum(self.ends.values())} {dict(self.ends)}")
        print(f"stops: {self.stop_seconds}, killed {self.killed}")
        print(
            f"cut: {len(self.cuts)}, not excused: {len(self.lost)}, "
            f"unnamed: {len(self.unnamed)}"
        )
        for cut in self.lost[:_PRINTED_CUTS]:
            print("  LOST", cut.describe())


def play(options: Options, folder: Path) -> Outcome:
    """Play a run, with its records and logs in `folder`."""
    run = Run(options, folder)
    try:
        run.play()
    finally:
        run.end()
    return run.check()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--folder", help="keep the records and logs here")
    for name, default in Options._field_defaults.items():
        flag = "--" + name.replace("_", "-")
        if isinstance(default, bool):
            parser.add_argument(flag, action="store_true")
        else:
            parser.add_argument(flag, type=type(default), default=default)
    arguments = vars(parser.parse_args())
    seeds, kept = arguments.pop("seeds"), arguments.pop("folder")
    options, failed = Options(**arguments), []
    if options.cores:
        # Inherited by all processes that the run starts.
        os.sched_setaffinity(0, range(options.cores))
    for seed in range(options.seed, options.seed + seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(kept or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            print(f"seed {seed}")
            outcome = play(options._replace(seed=seed), folder)
            outcome.print()
            if outcome.lost or outcome.unnamed:
                failed.append(seed)
    print(f"seeds with requests that were lost or not named: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
