"""Callers that exceed the limits, at router processes on VMs of little memory.

Load addressed: header sections, bodies and connections over the limits or without end.
A router must stay within the memory and the file descriptors of its VM, and answer
ordinary requests afterwards. No test checks a time or how many requests are answered.
"""

import json
import os
import signal
import subprocess
import sys
import time

import gevent
import pytest
from bench.standins.path_server import PathServer, complete_response, head
from gevent import socket
from tests.integration.abusive_callers import SORTS
from tests.integration.router_system import (
    ROOT,
    FakeEngine,
    Router,
    make_configuration,
)

pytestmark = pytest.mark.slow

LOAD_SECONDS = 5.0
VM_MB = 200
MAX_FDS = 4200
MAX_BODY_BYTES = 4_194_304


class LimitedRouter(Router):
    """A router on a VM of a stated size, with the limits of a real configuration."""

    def __init__(self, folder, store, vm_mb=VM_MB, max_fds=MAX_FDS):
        self.limits = {"memory-mb": vm_mb, "max-fds": max_fds}
        super().__init__(folder, store)
        self.max_fds_seen = 0
        self._watching = gevent.spawn(self._watch_descriptors)

    def settings(self):
        return super().settings() | {"limits": self.limits}

    def stop(self):
        self._watching.kill()
        super().stop()

    @property
    def peak_mb(self):
        """The most memory that the process has had, or 0 after its end."""
        with open(f"/proc/{self.process.pid}/status") as status:
            lines = [line.split() for line in status if line.startswith("VmHWM:")]
        return int(lines[0][1]) * 1024 / 1e6 if lines else 0

    def _watch_descriptors(self):
        while self.process.poll() is None:
            try:
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except OSError:
                return
            self.max_fds_seen = max(self.max_fds_seen, count)
            gevent.sleep(0.05)

    def check(self):
        """The process lives within its limits, and answers an ordinary request."""
        assert self.process.poll() is None
        self.wait_for(lambda: self.answer(b"/a/b/x") == 200)
        assert self.answer(b"/", self.ready_port) == 200
        assert self.answer(b"/metrics", self.metrics_port) == 200
        print(f"peak {self.peak_mb:.0f} MB, {self.max_fds_seen} descriptors")
        assert self.peak_mb < self.limits["memory-mb"]
        assert self.max_fds_seen < self.limits["max-fds"]

    def answer(self, path, port=None):
        return self.send_request(path, port=port).status


@pytest.fixture
def start(tmp_path, store):
    """A function that starts a router in front of one plain service."""
    started = []

    def start(**limits):
        server = PathServer("p1", lambda request: complete_response(request))
        registration = {
            "service": "s2",
            "address": server.address,
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "born": 1,
        }
        store.put("servers", "p1", registration)
        store.put("op", "config", configuration())
        router = LimitedRouter(tmp_path, store, **limits)
        started[:] = [router, server]
        router.wait_for(lambda: router.answer(b"/a/b/x") == 200)
        return router

    yield start
    for process in started:
        process.stop()


def configuration(version=7):
    value = make_configuration(version)
    value["limits"] = value["limits"] | {"max-body-bytes": MAX_BODY_BYTES}
    value["routes"][1] |= {"public": True, "timeout-ms": 5000}
    return value


def begin_load(port, sort, *numbers):
    command = [sys.executable, "-m", "tests.integration.abusive_callers"]
    arguments = [str(port), sort, str(LOAD_SECONDS), *map(str, numbers)]
    return subprocess.Popen([*command, *arguments], cwd=ROOT)


def apply_load(port, sort, *numbers):
    begin_load(port, sort, *numbers).wait(timeout=LOAD_SECONDS + 10)


# Guards against a router that keeps all that callers send of requests that never end:
# on a VM of 300 MB it used up to 2,969 MB.
@pytest.mark.parametrize(
    "sort",
    [name for name in SORTS if not name.startswith(("idle", "answers", "stream"))],
)
def test_a_router_stays_within_its_memory(start, sort):
    router = start()
    apply_load(router.port, sort)
    router.check()


@pytest.mark.parametrize("sort", ["chunks of 2 bytes", "small header fields"])
def test_one_connection_costs_little(start, sort):
    # Guards against a body that takes 28 times its size, on a single connection.
    router = start(vm_mb=100)
    size = 100_000 if sort == "small header fields" else SORTS[sort].size
    apply_load(router.port, sort, 1, size)
    router.check()


def test_connections_stay_below_the_descriptors(start):
    # Guards against a router that accepts connections until no descriptor is left for
    # its upstreams and its store.
    router = start(max_fds=600)
    apply_load(router.port, "idle connections")
    router.check()


@pytest.mark.parametrize("port", ["ready_port", "metrics_port"])
@pytest.mark.parametrize("sort", ["idle connections", "answers never read"])
def test_the_ports_for_operators_are_bounded(start, port, sort):
    # Guards against callers that reach a port for operators and take all descriptors,
    # or as many requests ahead as fit into memory.
    router = start(max_fds=600)
    apply_load(getattr(router, port), sort)
    router.check()


@pytest.mark.parametrize("sort", ["large chunks", "small header fields"])
@pytest.mark.parametrize("port", ["ready_port", "metrics_port"])
def test_requests_at_the_ports_for_operators_are_bounded(start, port, sort):
    # Guards against unfinished requests at a port that takes no large ones.
    router = start()
    apply_load(getattr(router, port), sort)
    router.check()


def test_a_stream_that_is_never_read_is_bounded(start, store):
    # Guards against a router that buffers what an upstream sends for a caller that
    # does not read.
    def endless(request):
        yield head(request, 200, "Content-Type: text/event-stream")
        for number in range(1, 5_000):
            data = b"id: %d\ndata: %s\n\n" % (number, b"t" * 10_000)
            yield b"%x\r\n%s\r\n" % (len(data), data)

    router = start()
    engine = FakeEngine("e1", store, endless)
    router.wait_for(lambda: any(engine.orders))
    gevent.sleep(1.0)
    apply_load(router.port, "stream never read")
    assert any(request["target"] == "/a/x" for request in engine.server.requests)
    router.check()


@pytest.mark.parametrize("vm_mb", [200, 552])
def test_a_mixed_load_is_bounded(start, vm_mb):
    # Guards against bounds of each sort that are too high in sum, on the smallest and
    # the largest VMs of the platform.
    router = start(vm_mb=vm_mb)
    apply_load(router.port, "mixed", 20 if vm_mb == 200 else 50)
    router.check()


def test_a_reload_beside_the_load(start):
    # Guards against a SIGHUP that ends a router which is short of memory.
    router = start()
    load = begin_load(router.port, "large chunks")
    for _ in range(5):
        gevent.sleep(0.5)
        router.process.send_signal(signal.SIGHUP)
    load.wait(timeout=LOAD_SECONDS + 10)
    router.check()


def test_a_stop_beside_the_load(start):
    # Guards against a router that grows, or does not end by itself, while callers
    # hold on to their requests during its stop.
    router = start()
    load = begin_load(router.port, "large chunks")
    gevent.sleep(0.5)
    router.process.send_signal(signal.SIGTERM)
    peak = 0
    deadline = time.monotonic() + 15.0
    while router.process.poll() is None and time.monotonic() < deadline:
        peak = max(peak, router.peak_mb)
        gevent.sleep(0.02)
    load.wait(timeout=LOAD_SECONDS + 10)
    print(f"peak {peak:.0f} MB, {router.max_fds_seen} descriptors")
    assert router.process.poll() == 0
    assert peak < VM_MB


def test_datagrams_without_end_are_bounded(start):
    # Guards against a router that keeps what unknown peers announce, or hangs while
    # their datagrams arrive.
    router = start()
    port = router.settings()["internal-ports"][0]
    announcement = {
        "node": "",
        "incarnation": "i",
        "port": 1,
        "serving": False,
        "leading": False,
        "silent": [],
        "layers": [],
        "uses": {f"unknown-{n}": [1, 1, 1] for n in range(1000)},
    }
    deadline = time.monotonic() + LOAD_SECONDS
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for number in range(20_000):
            data = json.dumps(announcement | {"node": f"n{number}"}).encode()
            for sent in (data, b"[" * 20_000, b"\xff" * 100):
                sock.sendto(sent, ("127.0.0.1", port))
            gevent.sleep(0)
            if time.monotonic() > deadline:
                break
    router.check()


def test_the_largest_requests_are_served_several_at_once(start):
    # Guards against bounds that callers within the limits meet.
    router = start()
    body = b"a" * MAX_BODY_BYTES
    request = (
        b"POST /a/b/x HTTP/1.1\r\nHost: h.example\r\nBulrushdrum-Attempt-Id: r1\r\n"
        b"Connection: close\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    )

    def send():
        with socket.create_connection(("127.0.0.1", router.port), 10.0) as sock:
            sock.sendall(request)
            return sock.recv(100)[:12]

    for count in (1, 6):
        sending = [gevent.spawn(send) for _ in range(count)]
        gevent.joinall(sending)
        assert [task.value for task in sending] == [b"HTTP/1.1 200"] * count
    router.check()
