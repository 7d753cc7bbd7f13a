"""Router processes, and engines that they place layers on, for integration tests."""

import fcntl
import itertools
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
from bench.standins.path_server import PathServer, report, resumed
from gevent import socket
from tests.unit.gateway_fakes import read_response
from tests.unit.test_router_wire import CONFIGURATION

ROOT = Path(__file__).resolve().parents[2]
AUTHORIZATION = b"Authorization: Token k1\r\n"


# Below the ports that the system gives to outgoing connections: one of these could take
# the port of a router while the router restarts.
_PORTS = range(20_000, 32_000)
_PORTS_PER_PROCESS = 1_000


def _claim_ports():
    """Return ports that no other test process uses, and the lock that holds them.

    A port is drawn long before a router listens on it, so another run of the tests on
    this machine could take it meanwhile.
    """
    for first in _PORTS[::_PORTS_PER_PROCESS]:
        path = Path(tempfile.gettempdir()) / f"bulrushdrum-test-ports-{first}"
        lock = path.open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return range(first, first + _PORTS_PER_PROCESS), lock
    return _PORTS, None


_claimed_ports, _ports_lock = _claim_ports()
# Each port is drawn once before any is drawn again: a router draws several, and listens
# on them later.
_ports = itertools.cycle(random.sample(_claimed_ports, len(_claimed_ports)))


def free_port(kind=socket.SOCK_STREAM):
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", next(_ports)))
            except OSError:
                continue
            return sock.getsockname()[1]


class FakeEngine:
    """An engine that accepts layer orders and serves streams."""

    def __init__(self, upstream_id, store, script=resumed, slots=8):
        self.id = upstream_id
        self.orders = []
        self._script = script
        self.server = PathServer(upstream_id, self._answer)
        self._registration = {
            "service": "s1",
            "address": self.server.address,
            "zone": "a",
            "slots": slots,
            "state": "ready",
            "born": 1,
            "route-kind": "k",
            "layers": None,
        }
        self._store = store
        store.put("servers", upstream_id, self._registration)

    def _answer(self, request):
        if request["target"] == "/order":
            self.orders.append(json.loads(request["body"]))
            order = self.orders[-1]
            layers = {"from": order["from"], "target": order["target"], "version": 1}
            self._registration["layers"] = layers
            self._store.put("servers", self.id, self._registration)
            return [b"HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n"]
        if request["target"] == "/report":
            return report(orders=len(self.orders))
        return self._script(request)


def make_configuration(version=7, key="k1"):
    engine = {
        "slots": 8,
        "kv-token-bytes": 100_000,
        "stride": 4,
        "models": [{"name": "m", "load-s": 1.0}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100_000.0,
        "usual": {"prompt": 100, "answer": 20},
        "layers": 10,
        "layer-mb": 100.0,
        "kinds": [{"name": "k", "size-mb": 5000.0, "pace": 1.0, "read-factor": 1.0}],
    }
    routes = [
        {**CONFIGURATION["routes"][0], "split": None, "service": "s1"},
        {**CONFIGURATION["routes"][1], "public": False},
    ]
    return {
        **CONFIGURATION,
        "version": version,
        "routes": routes,
        "services": [
            {"name": "s1", "max-conns": 10, "engine": engine},
            {"name": "s2", "max-conns": 20},
        ],
        "tenants": [{"name": "t1", "api-keys": [key]}],
    }


class Router:
    """A router process with its settings file."""

    def __init__(self, folder, store, node="r1", **bounds):
        self.port, self.ready_port, metrics = free_port(), free_port(), free_port()
        self.metrics_port = metrics
        self._node, self._store, self._bounds = node, store, bounds
        self._peer_port = free_port(socket.SOCK_DGRAM)
        path = folder / f"{node}.json"
        path.write_text(json.dumps(self.settings()))
        self.log = folder / f"{node}.log"
        self._settings_path = path
        self.start()

    def settings(self):
        """Return the platform's settings of this router."""
        return {
            "node-name": self._node,
            "zone": "a",
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready-addr": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": [self._peer_port, self.metrics_port],
            "bounds": {"grace-s": 6, **self._bounds},
            "platform": {"address": self._store.address},
        }

    def start(self):
        with self.log.open("a") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bulrushdrum", "router"],
                env={**os.environ, "BULRUSHDRUM_SETTINGS": str(self._settings_path)},
                cwd=ROOT,
                stdout=output,
            )

    def send_request(
        self, path=b"/a/x", method=b"POST", port=None, headers=AUTHORIZATION
    ):
        request = (
            b"%s %s HTTP/1.1\r\nHost: h.example\r\nBulrushdrum-Attempt-Id: r1\r\n"
            b"%sContent-Length: 0\r\n\r\n" % (method, path, headers)
        )
        address = ("127.0.0.1", port or self.port)
        with socket.create_connection(address, timeout=8.0) as sock:
            sock.sendall(request)
            return read_response(sock)

    def wait_for(self, condition, seconds=15.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except OSError:
                # The process is not listening yet.
                pass
            gevent.sleep(0.1)
        raise AssertionError(f"timed out; log: {self.log.read_text()[-3000:]}")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(timeout=10)

    def events(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line)["event"] for line in lines]
