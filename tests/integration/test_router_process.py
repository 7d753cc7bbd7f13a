"""A real router process before a stand-in store and stand-in servers."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import gevent
import pytest
from bench.standins.path_server import PathServer, report, resumed, stream, whole
from bench.standins.row_store import RowStore
from gevent import socket
from tests.unit.gateway_fakes import read_response
from tests.unit.test_router_wire import CONFIGURATION

ROOT = Path(__file__).resolve().parents[2]
KEYED = b"Authorization: Token k1\r\n"
STREAM_BODY = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))

pytestmark = pytest.mark.slow


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Engine:
    """An engine that takes orders and then serves streams."""

    def __init__(self, upstream_id, store, script=resumed):
        self.id = upstream_id
        self.orders = []
        self._script = script
        self.server = PathServer(upstream_id, self._answer)
        self._registration = {
            "service": "s1",
            "address": self.server.address,
            "zone": "a",
            "slots": 8,
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


def configuration(version=7, key="k1"):
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

    def __init__(self, folder, store):
        self.port, self.ready_port, metrics = free_port(), free_port(), free_port()
        self.metrics_port = metrics
        settings = {
            "node-name": "r1",
            "zone": "a",
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready-addr": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": [free_port(), metrics],
            "bounds": {"grace-s": 6},
            "platform": {"address": store.address},
        }
        path = folder / "boot.json"
        path.write_text(json.dumps(settings))
        self.log = folder / "log"
        with self.log.open("w") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bulrushdrum", "router"],
                env={**os.environ, "BULRUSHDRUM_SETTINGS": str(path)},
                cwd=ROOT,
                stdout=output,
            )

    def get(self, path=b"/a/x", method=b"POST", port=None, extra=KEYED):
        request = (
            b"%s %s HTTP/1.1\r\nHost: h.example\r\nBulrushdrum-Attempt-Id: r1\r\n"
            b"%sContent-Length: 0\r\n\r\n" % (method, path, extra)
        )
        address = ("127.0.0.1", port or self.port)
        with socket.create_connection(address, timeout=8.0) as sock:
            sock.sendall(request)
            return read_response(sock)

    def wait_for(self, condition, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                # The process does not listen yet.
                pass
            gevent.sleep(0.1)
        raise AssertionError(f"not reached; log: {self.log.read_text()[-3000:]}")

    def events(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line)["event"] for line in lines]


@pytest.fixture
def store():
    store = RowStore()
    yield store
    store.stop()


@pytest.fixture
def router(tmp_path, store):
    router = Router(tmp_path, store)
    yield router
    if router.process.poll() is None:
        router.process.kill()
    router.process.wait(timeout=10)


def serve(router, store, script=resumed):
    engine = Engine("e1", store, script)
    store.put("op", "config", configuration())
    router.wait_for(lambda: router.get().status == 200)
    return engine


def test_a_generation_is_served_after_the_layers_were_placed(router, store):
    router.wait_for(lambda: router.get(port=router.ready_port).status == 503)
    assert router.get().status == 503
    engine = serve(router, store)
    answer = router.get()
    assert (answer.body, answer.is_complete) == (STREAM_BODY, True)
    assert [(o["from"], o["target"]) for o in engine.orders] == [(0, 10)]
    assert router.get(port=router.ready_port).status == 200
    assert store.keys("routers") == ["r1"]
    page = router.get(b"/metrics", b"GET", router.metrics_port).body.decode()
    assert "bulrushdrum_configuration_version 7" in page
    state = json.loads(router.get(b"/state", b"GET", router.metrics_port).body)
    assert state["fleet"]["upstreams"]["e1"]["layers"] == [0, 10]


def test_keys_follow_the_newest_configuration_and_never_go_back(router, store):
    # Guards against a key that works again after it was taken away.
    serve(router, store)
    store.put("op", "config", configuration(version=9, key="k2"))
    router.wait_for(lambda: router.get().status == 401)
    store.put("op", "config", configuration(version=8, key="k1"))
    gevent.sleep(0.5)
    assert router.get().status == 401
    assert router.get(extra=b"Authorization: Token k2\r\n").status == 200


def test_requests_are_served_while_the_store_is_away(router, store):
    serve(router, store)
    store.is_down = True
    router.wait_for(lambda: 4001 in router.events())
    assert router.get().status == 200
    store.is_down = False
    store.forget_history()
    store.put("op", "config", configuration(version=11, key="k3"))
    router.wait_for(
        lambda: router.get(extra=b"Authorization: Token k3\r\n").status == 200
    )


def test_a_stream_in_progress_ends_whole_after_sigterm(router, store):
    # Guards against a planned stop that cuts off requests.
    serve(router, store, lambda r: stream(r, gap=0.4))
    caller = gevent.spawn(router.get)
    gevent.sleep(0.6)
    router.process.send_signal(signal.SIGTERM)
    router.wait_for(lambda: router.get(port=router.ready_port).status == 503)
    answer = caller.get(timeout=8.0)
    assert (answer.body, answer.is_complete) == (STREAM_BODY, True)
    assert router.process.wait(timeout=8.0) == 0
    assert router.events()[-1] == 1004
    assert store.keys("routers") == []


def test_a_new_connection_is_served_while_the_router_drains(router, store):
    # Guards against resets of connections that a balancer without a ready router still
    # sends: each costs its caller a retry.
    serve(router, store, lambda r: stream(r, gap=0.9))
    long = gevent.spawn(router.get)
    gevent.sleep(0.4)
    router.process.send_signal(signal.SIGTERM)
    gevent.sleep(3.2)
    refused = router.get()
    assert refused.status == 503
    assert long.get(timeout=8.0).body == STREAM_BODY
    assert router.process.wait(timeout=8.0) == 0


def test_a_plain_service_is_served_and_a_moved_address_left(router, store):
    serve(router, store)
    one, two = PathServer("p1", whole), PathServer("p2", lambda r: whole(r, b"two"))
    registration = {
        "service": "s2",
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "address": one.address,
    }
    store.put("servers", "p1", registration)
    router.wait_for(lambda: router.get(b"/a/b/x").body == b"done")
    store.put("servers", "p2", {**registration, "address": two.address})
    store.put("servers", "p1", {**registration, "state": "draining"})
    router.wait_for(lambda: router.get(b"/a/b/x").body == b"two")
    count = len(one.requests)
    for _ in range(5):
        assert router.get(b"/a/b/x").body == b"two"
    assert len(one.requests) == count
    one.stop()
    two.stop()


def test_settings_that_cannot_be_used_end_the_process_with_a_reason(tmp_path):
    done = subprocess.run(
        [sys.executable, "-m", "bulrushdrum", "router"],
        env={**os.environ, "BULRUSHDRUM_SETTINGS": str(tmp_path / "missing")},
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2
    assert "cannot be read" in done.stderr


def test_rows_of_another_writer_do_not_stop_the_router(router, store):
    # Guards against a background task that ends at the first row it cannot read.
    serve(router, store)
    for number, value in enumerate([None, 5, "x", [], {"service": 1}, {"state": {}}]):
        store.put("servers", f"bad{number}", value)
        store.put("routers", f"bad{number}", value)
    store.put("op", "config", configuration(version=12, key="k9"))
    router.wait_for(
        lambda: router.get(extra=b"Authorization: Token k9\r\n").status == 200
    )
    store.put("op", "config", {"version": "no"})
    gevent.sleep(0.3)
    assert router.get(extra=b"Authorization: Token k9\r\n").status == 200
