"""Parts that the scripts of this review share: a deployment on loopback addresses.

Routers run as separate processes, with the command of the deploy file. The store, the
servers and the clients are stand-ins in the process of the script.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402
from gevent.server import StreamServer  # noqa: E402, F401

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from bench.standins.path_server import (  # noqa: E402
    PathServer,
    complete_response,  # noqa: F401
)
from bench.standins.row_store import RowStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY = "n2ctnfzs989anu6wsjnb"
BOUNDS = {
    "contact-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "config-apply-ms": 2000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-extra": 196,
}
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_used_ports: set[int] = set()


def free_port(kind=socket.SOCK_STREAM):
    """Return a free port outside the range that the system gives to connections."""
    port = 20_000 + os.getpid() * 97 % 11_000
    while True:
        port += 1
        if port in _used_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


class Record:
    """The lines of `record.txt`, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began_at = time.monotonic()

    def __call__(self, *words):
        line = " ".join(map(str, words))
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {line}\n")
        self._file.flush()

    def result(self, code, reason):
        words = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
        self(f"RESULT: {words[code]}: {reason}")
        print(f"{words[code]}: {reason}", flush=True)
        return code


class Router:
    """One router process."""

    def __init__(self, folder, store, node, zone="a", memory_mb=300, max_fds=4200):
        self.node = node
        self.port, self.ready_port = free_port(), free_port()
        self.metrics_port = free_port()
        settings = {
            "node-name": node,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r",
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready-addr": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": [free_port(socket.SOCK_DGRAM), self.metrics_port],
            "limits": {"memory-mb": memory_mb, "max-fds": max_fds},
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "table"},
        }
        self._path = Path(folder) / f"{node}.json"
        self._path.write_text(json.dumps(settings))
        self.log = Path(folder) / f"{node}.log"
        self.process = None
        self.start()

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BULRUSHDRUM_SETTINGS"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("a") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "bulrushdrum", "router"],
                env=environment,
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready_port), 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=20.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.is_ready():
                return True
            gevent.sleep(0.05)
        return False

    def memory_mb(self):
        """Return the memory of the process now, or 0 after its end."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [line.split() for line in text.splitlines() if line.startswith("VmRSS")]
        return int(lines[0][1]) * 1024 / 1e6 if lines else 0.0

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait(timeout=10)


class Answer:
    """What a client got: a status, or None if the connection ended before one."""

    def __init__(self, status=None, headers=None, body=b"", complete=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.error = complete, error

    def __str__(self):
        if self.status is None:
            return f"no answer ({self.error})"
        return f"{self.status}{'' if self.complete else ' cut'} {self.error}"


def encode_request(method, path, request_id, body=b"", headers=(), deadline_ms=1500):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        f"Bulrushdrum-Attempt-Id: {request_id}",
        f"Bulrushdrum-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
        *headers,
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def exchange(port, data, seconds=5.0, on_event=None, sock=None):
    """Send a request on a new connection, or on `sock`; return the answer."""
    own = sock is None
    answer = Answer()
    try:
        if own:
            sock = socket.create_connection(("127.0.0.1", port), 1.0)
        sock.settimeout(seconds)
        sock.sendall(data)
        _read_answer(sock, answer, on_event)
    except OSError as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        if own and sock is not None:
            sock.close()
    return answer


def _read_answer(sock, answer, on_event):
    stream = sock.makefile("rb")
    line = stream.readline()
    if not line:
        answer.error = "closed"
        return
    status = int(line.split()[1])
    headers = {}
    while (line := stream.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    answer.status, answer.headers = status, headers
    if headers.get("transfer-encoding") == "chunked":
        while line := stream.readline():
            size = int(line, 16)
            data = stream.read(size)
            stream.read(2)
            if size == 0:
                answer.complete = True
                return
            answer.body += data
            if on_event:
                on_event(data)
        answer.error = "cut"
        return
    length = int(headers.get("content-length", 0))
    answer.body = stream.read(length)
    answer.complete = len(answer.body) == length


def read_request_head(sock):
    """Return the headers of the next request and how much of its body was received.

    None means the end of the connection.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(16_384)
        if not received:
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers, len(body)


def route(name, prefix, kind, service, **fields):
    return {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "route-kind": kind,
        "service": service,
        "timeout-ms": 800,
        "goal-ms": 300,
        "priority": 2,
        "max-attempts": 1 if kind == "non_idempotent" else 2,
        **fields,
    }


ENGINE = {
    "slots": 96,
    "kv-token-bytes": 590_000,
    "stride": 4,
    "models": [{"name": "m", "load-s": 1.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.00459,
    "context_per_k": 0.00615,
    "read_per_s": 164_000.0,
    "usual": {"prompt": 760, "answer": 210},
    "layers": 80,
    "layer-mb": 1750.0,
    "kinds": [
        {"name": "big", "size-mb": 280_000.0, "pace": 1.0, "read-factor": 1.0},
        {"name": "half", "size-mb": 100_000.0, "pace": 1.0, "read-factor": 1.0},
    ],
}


def configuration(version=7, routes=None, keys=(KEY,), **fields):
    """Return a configuration with a stream, a write and a read route."""
    if routes is None:
        routes = [
            route(
                "chat",
                "/chat/",
                "streaming",
                "llm",
                **{
                    "timeout-ms": 20000,
                    "goal-ms": 500,
                    "gap-goal-ms": 250,
                    "resumable": True,
                    "priority": 1,
                    "sticky": True,
                },
            ),
            route("pay", "/pay/", "non_idempotent", "ledger"),
            route("read", "/read/", "idempotent", "ledger"),
        ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "llm",
                "health-path": "/healthz",
                "max-conns": 1128,
                "engine": ENGINE,
            },
            {"name": "ledger", "health-path": "/healthz", "max-conns": 96},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "t1", "api-keys": list(keys)}],
        **fields,
    }


class Server:
    """A server that registers itself in the store and writes its heartbeats.

    `script(request)` returns the steps of the answer to a request; `runs` has the
    requests in the order in which they came.
    """

    def __init__(self, store, server_id, service, script, zone="a", kind="", **fields):
        self.id, self.service, self._script = server_id, service, script
        self._store = store
        self.runs = []
        self.orders = 0
        self.has_heartbeats = True
        self.server = PathServer(server_id, self._answer)
        self.registration = {
            "service": service,
            "address": self.server.address,
            "zone": zone,
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold-left-ms": 0,
            "seq-no": 1,
            "born": int(time.time() * 1000),
            **fields,
        }
        if kind:
            self.registration |= {"route-kind": kind, "layers": None}
        self.register()
        self._task = gevent.spawn(self._beat)

    @property
    def address(self):
        return self.server.address

    def register(self, **fields):
        self.registration |= fields
        self._store.put("servers", self.id, self.registration)

    def _beat(self):
        while True:
            gevent.sleep(1.2)
            if self.has_heartbeats:
                self.register(**{"seq-no": self.registration["seq-no"] + 1})

    def _answer(self, request):
        headers = request["headers"]
        if headers.get("bulrushdrum-expect-instance", self.id) != self.id:
            return [
                b"HTTP/1.1 421 Misdirected Request\r\nBulrushdrum-Instance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.id.encode()
            ]
        if request["target"] == "/order":
            order = json.loads(request["body"])
            self.orders += 1
            layers = {"from": order["from"], "target": order["target"], "version": 1}
            self.register(layers=layers)
            return [b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"]
        if request["target"] == "/report":
            body = json.dumps(
                {
                    "stage": "colocated",
                    "busy": False,
                    "seq-no": self.orders,
                    "queued": 0,
                    "running": 0,
                    "kv-used": 0,
                    "kv-total": 10_000_000,
                    "layers": self.registration.get("layers"),
                    "born": self.registration["born"],
                    "stalled": [],
                }
            ).encode()
            return [
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            ]
        self.runs.append(request)
        return self._script(request)

    def stop(self):
        self._task.kill()
        self.server.stop()


class ServerProcess:
    """A server of `server_3.py` as a process of its own."""

    def __init__(
        self, folder, store, server_id, service, framing, parts, gap_ms, crash_part=""
    ):
        self.id, self.output = server_id, Path(folder) / f"{server_id}.out"
        self._arguments = [store.address, server_id, service, framing, parts, gap_ms]
        if crash_part:
            self._arguments.append(crash_part)
        self.start()

    def start(self):
        program = str(ROOT / "review" / "server_3.py")
        with self.output.open("a") as output:
            self.process = subprocess.Popen(
                ["python3", program, *map(str, self._arguments)], stdout=output
            )

    def runs(self):
        """Return the lines about the runs of this server so far."""
        return self.output.read_text().splitlines()

    def unfinished(self):
        """Return the ids of the requests of which it has not written all."""
        ids = []
        for line in self.runs():
            word, request_id, *_ = line.split()
            if word == "run" and request_id not in ids:
                ids.append(request_id)
            elif request_id in ids:
                ids.remove(request_id)
        return ids

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(timeout=10)


def expire_registrations(store, silence=3.6):
    """Remove the registrations of servers that have sent no heartbeat, as the store."""
    written: dict[str, tuple[int, float]] = {}
    while True:
        gevent.sleep(0.2)
        now = time.monotonic()
        for key in store.keys("servers"):
            version = store.version_of("servers", key)
            if written.get(key, (None, 0.0))[0] != version:
                written[key] = (version, now)
            elif now - written[key][1] > silence:
                store.put("servers", key, None)


class Store(RowStore):
    """The project's stand-in of the store."""

    def version_of(self, table, key):
        return self._rows[table, key]["schema-version"]


def new_folder():
    return tempfile.TemporaryDirectory(prefix="bulrushdrum-review-")
