"""The environment of the routers in a soak test: store, servers and proxies.

Servers record the requests that they run and check the path of each request, so the
guarantees are checked against what callers and servers observe.
"""

import itertools
import json
import os
import random
import subprocess
import sys
from pathlib import Path

import gevent
from bench.proxy import Link
from bench.standins.path_server import (
    PathServer,
    complete_response,
    not_executed,
    report,
    resumed,
)
from bench.standins.row_store import RowStore
from gevent import socket
from tests.integration.router_system import free_port

ROOT = Path(__file__).resolve().parents[2]
LAYERS = 12
LAST_EVENT = 6
_EVENT_SECONDS = 0.03


# What a server in trouble does to the steps of an answer; `draw` is a random source.
def _cut(steps, draw):
    data = b"".join(step for step in steps if isinstance(step, bytes))
    return [data[: draw.randrange(len(data))], None]


def _send_copy_late(steps, draw):
    return [*steps, draw.uniform(0.0, 0.2), *steps]


def _send_head_without_end(steps, draw):
    return itertools.chain([steps[0][:40]], itertools.repeat(b"x" * 4000))


def _send_body_without_end(steps, draw):
    head, _, _ = steps[0].partition(b"\r\n\r\n")
    kept = [line for line in head.split(b"\r\n") if b"ontent-" not in line]
    chunked = b"\r\n".join([*kept, b"Transfer-Encoding: chunked"])
    return itertools.chain([chunked + b"\r\n\r\n"], itertools.repeat(_FILLER))


def _trickle(steps, draw):
    data = b"".join(step for step in steps if isinstance(step, bytes))
    return itertools.chain.from_iterable(
        (data[n : n + 1], 0.05) for n in range(len(data))
    )


def _send_comments(steps, draw):
    return itertools.chain(steps[:1], itertools.cycle([b"2\r\n:\n\r\n", 0.05]))


def _stop_while_silent(steps, path):
    for step in steps:
        while any(engine.is_silent for engine in path):
            yield _EVENT_SECONDS
        yield step


TROUBLES = (
    _cut,
    _send_copy_late,
    _send_head_without_end,
    _send_body_without_end,
    _trickle,
    _send_comments,
)
_FILLER = b"1000\r\n" + b"x" * 4096 + b"\r\n"


class Server:
    """An engine or a plain server behind a proxy, registered in the store."""

    def __init__(self, name, environment, service, data_centre, kind=""):
        self.name, self.environment, self.kind = name, environment, kind
        self.runs: list[str] = []
        self.incarnation = 0
        self.heartbeats = 0
        self.is_registered = False
        self.draining = False
        self.layers = None
        self.orders = 0
        self.trouble = None
        # Concern requests over an engine, wherever it is on the path.
        self.refuses = self.is_silent = False
        self._service, self._data_centre = service, data_centre
        self._path_server = PathServer(name, self._answer)
        self.link = Link(name, self._path_server.address)

    @property
    def address(self):
        return self.link.listen

    @property
    def identity(self):
        return f"{self.name}-{self.incarnation}"

    def start(self):
        """Start a new incarnation without layers."""
        self.incarnation += 1
        self.heartbeats = 0
        self.layers, self.orders, self.draining = None, 0, False
        self.register()

    def register(self):
        self.heartbeats += 1
        self.is_registered = True
        held_layers = None
        if self.layers is not None:
            held_layers = {
                "from": self.layers[0],
                "target": self.layers[1],
                "version": 1,
            }
        row = {
            "service": self._service,
            "address": self.address,
            "zone": self._data_centre,
            "slots": 16,
            "state": "draining" if self.draining else "ready",
            "born": self.incarnation,
            "seq-no": self.heartbeats,
            "layers": held_layers,
        }
        if self.kind:
            row["route-kind"] = self.kind
        self.environment.store.put("servers", self.identity, row)

    def leave(self):
        self.is_registered = False
        self.environment.store.put("servers", self.identity, None)

    def _answer(self, request):
        headers = request["headers"]
        if request["target"] == "/order":
            return self._order(headers, json.loads(request["body"]))
        if request["target"] == "/report":
            return report(orders=self.orders)
        if headers.get("bulrushdrum-expect-instance") != self.identity:
            return not_executed(request, 421)
        if self.kind:
            fault = self.environment.check_path(headers["bulrushdrum-hop-count"])
            if fault is not None:
                return not_executed(request, 421, fault)
            path = self.environment.engines_on(headers["bulrushdrum-hop-count"])
            for engine in path:
                if engine.refuses:
                    return not_executed(request, 503, engine.address)
        self.runs.append(headers["bulrushdrum-attempt-id"])
        self.environment.record_run(self, headers)
        if self.kind:
            steps = resumed(request, LAST_EVENT)
            steps = [part for step in steps for part in (step, _EVENT_SECONDS)]
        else:
            steps = complete_response(request)
        if self.trouble is not None:
            return self.trouble(steps, self.environment.random)
        return _stop_while_silent(steps, path) if self.kind else [0.02, *steps]

    def _order(self, headers, order):
        matches = headers.get("bulrushdrum-expect-instance") == self.identity
        if not matches or order["expected"] != self.orders:
            return [b"HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n"]
        self.orders += 1
        self.layers = (order["from"], order["target"])
        gevent.spawn_later(0.2, self.register)
        return [b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n"]


class Environment:
    """All components but the routers; `violations` lists violated guarantees.

    `random` decides where answers of servers in trouble are cut.
    """

    def __init__(self, seed=None):
        self.random = random.Random(seed)
        self.store = RowStore()
        self.store_link = Link("store", self.store.address)
        self.violations: list[str] = []
        self.engines = [Server(f"e{n}", self, "s1", "ab"[n % 2], "k") for n in range(6)]
        self.plain_servers = [
            Server(f"p{n}", self, "s2", "ab"[n % 2]) for n in range(2)
        ]
        self.version = 0
        self.write_runs: dict[str, int] = {}
        for server in [*self.engines, *self.plain_servers]:
            server.start()
        self.configure("k1")

    def configure(self, *keys):
        """Write a new version of the configuration with these API keys."""
        self.version += 1
        self._configuration = _configuration(self.version, keys)
        self.configure_again()

    def configure_again(self):
        """Write the newest configuration once more, as after its loss."""
        self.store.put("op", "config", self._configuration)

    def register_again(self):
        """Write the registrations of all servers that have not left."""
        for server in [*self.engines, *self.plain_servers]:
            if server.is_registered:
                server.register()

    def expire_registrations(self):
        """Remove the registrations of incarnations that have ended or left."""
        servers = [*self.engines, *self.plain_servers]
        registered = {s.identity for s in servers if s.is_registered}
        for identity in set(self.store.keys("servers")) - registered:
            self.store.put("servers", identity, None)

    def check_path(self, path):
        """Return the first address that lacks its layers; record a path with gaps."""
        layer = 0
        for entry in path.split(","):
            address, _, part = entry.partition("=")
            first, _, end = part.partition("-")
            if int(first) != layer:
                self.violations.append(f"path {path} does not run layer {layer}")
            layer = int(end)
            engine = next((e for e in self.engines if e.address == address), None)
            held_layers = None if engine is None else engine.layers
            if (
                held_layers is None
                or not held_layers[0] <= int(first) < int(end) <= held_layers[1]
            ):
                return address
        if layer != LAYERS:
            self.violations.append(f"path {path} ends at layer {layer}")
        return None

    def engines_on(self, path):
        addresses = {entry.partition("=")[0] for entry in path.split(",")}
        return [engine for engine in self.engines if engine.address in addresses]

    def record_run(self, server, headers):
        if not server.kind and headers["bulrushdrum-attempt-id"].startswith("w"):
            request = headers["bulrushdrum-attempt-id"]
            self.write_runs[request] = self.write_runs.get(request, 0) + 1
            if self.write_runs[request] > 1:
                self.violations.append(f"{request} ran twice")
        if headers.get("bulrushdrum-tenant") != "t1":
            self.violations.append(
                f"{headers['bulrushdrum-attempt-id']}: wrong or missing team"
            )

    def has_run(self, request):
        return any(request in s.runs for s in [*self.engines, *self.plain_servers])

    def links(self):
        return [
            self.store_link,
            *(s.link for s in [*self.engines, *self.plain_servers]),
        ]

    def stop(self):
        self.store.stop()


class Router:
    """A router process and the settings that it is restarted with."""

    def __init__(self, name, data_centre, folder, environment):
        self.name, self.port = name, free_port()
        self.ready_port, self.metrics_port = free_port(), free_port()
        self._path, self._log = folder / f"{name}.json", folder / f"{name}.log"
        settings = {
            "node-name": name,
            "zone": data_centre,
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready-addr": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": [free_port(socket.SOCK_DGRAM), self.metrics_port],
            "bounds": {"grace-s": 5, "retry-budget-extra": 100},
            "platform": {"address": environment.store_link.listen},
        }
        self._path.write_text(json.dumps(settings))
        self.process = None
        self.start()

    def start(self):
        with self._log.open("a") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bulrushdrum", "router"],
                env={**os.environ, "BULRUSHDRUM_SETTINGS": str(self._path)},
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )

    def log_tail(self):
        return self._log.read_text()[-4000:]


def _configuration(version, keys):
    engine = {
        "slots": 64,
        "kv-token-bytes": 100_000,
        "models": [{"name": "m", "load-s": 0.5}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100_000.0,
        "usual": {"prompt": 100, "answer": 20},
        "layers": LAYERS,
        "layer-mb": 100.0,
        "kinds": [{"name": "k", "size-mb": 900.0, "pace": 1.0, "read-factor": 1.0}],
    }
    route = {"host": "h.example", "timeout-ms": 4000, "goal-ms": 300}
    return {
        "version": version,
        "routes": [
            {
                **route,
                "name": "g",
                "prefix": "/g/",
                "route-kind": "streaming",
                "service": "s1",
                "max-attempts": 2,
                "resumable": True,
                "gap-goal-ms": 150,
            },
            {
                **route,
                "name": "w",
                "prefix": "/w/",
                "route-kind": "non_idempotent",
                "service": "s2",
                # More than one, so that only the route kind prevents a second run.
                "max-attempts": 2,
            },
            {
                **route,
                "name": "r",
                "prefix": "/r/",
                "route-kind": "idempotent",
                "service": "s2",
                "max-attempts": 2,
            },
        ],
        "services": [
            {"name": "s1", "max-conns": 100, "engine": engine},
            {"name": "s2", "max-conns": 100},
        ],
        "tenants": [{"name": "t1", "api-keys": list(keys)}],
    }
