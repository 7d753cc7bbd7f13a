"""Bounded loads of callers and peers that exceed the limits of a process.

Each load is a payload that a number of connections send and leave unfinished. Clients
stop after their payload or after `SEND_SECONDS`, and keep their connections open.
"""

import os
import random
import time
from pathlib import Path
from typing import NamedTuple

import gevent
from bench.entry_probe import memory_kb, processor_seconds
from gevent import socket
from gevent.pool import Pool

SEND_SECONDS = 6.0
SETTLE_SECONDS = 20.0
_CLIENTS_AT_ONCE = 40
_MB = 1024 * 1024
BODY_BYTES = 1_048_576  # `max_body_bytes` of the tests
HEADER_BYTES = 4_096  # `max_header_bytes` of the tests


class Load(NamedTuple):
    """What `connections` send, and how much the peak memory may grow, in MB."""

    connections: int
    payload: bytes
    growth_mb: int = 24


def _chunks(size: int, total: int) -> bytes:
    return b"%x\r\n%s\r\n" % (size, b"x" * size) * (total // size)


def http_loads(target: bytes, key: bytes) -> dict[str, Load]:
    """Return the loads by sort for an HTTP port; `target` is "<method> <path>"."""
    line = b"%s HTTP/1.1\r\nHost: x\r\n" % target
    head = b"%sAuthorization: Bearer %s\r\n" % (line, key)
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    part = 65_536
    loads = {
        "headers_over_limit": Load(24, line + (b"n: " + b"v" * 60_000 + b"\r\n") * 90),
        "header_line_without_end": Load(40, line + b"n: " + b"v" * 500_000),
        "header_name_without_end": Load(40, line + b"n" * 500_000),
        "target_without_end": Load(40, b"GET /" + b"a" * 500_000),
        "small_fields": Load(90, line + b"a: b\r\n" * 95),
        "small_fields_without_end": Load(20, line + b"a: b\r\n" * 50_000),
        "empty_lines": Load(20, b"\r\n" * 250_000),
        "chunks_of_1": Load(20, chunked + _chunks(1, part)),
        "chunks_of_2": Load(20, chunked + _chunks(2, part)),
        "large_chunks": Load(90, chunked + _chunks(65_536, BODY_BYTES - 65_536), 64),
        "chunk_size_without_end": Load(20, chunked + b"0" * 500_000),
        "chunk_extension_without_end": Load(20, chunked + b"1;" + b"e" * 500_000),
        "chunk_extensions": Load(
            8, chunked + (b"1;" + b"e" * 8_000 + b"\r\nx\r\n") * 60
        ),
        "trailer_without_end": Load(20, chunked + b"0\r\nt: " + b"v" * 500_000),
        "trailers_without_end": Load(8, chunked + b"0\r\n" + b"t: v\r\n" * 50_000),
        "body_declared_over_limit": Load(
            8, head + b"Content-Length: 10000000000\r\n\r\n" + b"x" * 8 * _MB
        ),
        "body_sent_over_limit": Load(8, chunked + _chunks(65_536, 8 * _MB)),
        "body_of_unknown_caller": Load(
            8, line + b"Transfer-Encoding: chunked\r\n\r\n" + _chunks(65_536, 8 * _MB)
        ),
        "bodies_one_byte_short": Load(
            90,
            head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1),
            64,
        ),
        "pipelined": Load(20, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" * 5_000),
        "connections": Load(400, b""),
        "connections_with_partial_requests": Load(400, line + b"a: b\r\n"),
    }
    mixed = (
        "headers_over_limit",
        "chunks_of_2",
        "trailers_without_end",
        "small_fields",
    )
    return {**loads, "mixed": [loads[name] for name in mixed]}


def _send(address: str, payload: bytes):
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout=SEND_SECONDS)
    except OSError:
        return None
    try:
        sock.sendall(payload)
    except OSError:
        pass  # refused, which is what a limit may do
    return sock


class Measured:
    """A process under a load: its memory and descriptors before it and after it."""

    def __init__(self, process):
        self._process = process
        self._before_kb = memory_kb(process)["VmHWM"]
        self._descriptors_before = self._descriptors()
        self._sockets = []

    def _descriptors(self) -> int:
        return len(os.listdir(Path(f"/proc/{self._process.pid}/fd")))

    def apply(self, address: str, loads):
        """Send `loads` to `address` and wait until the process has handled them."""
        clients = Pool(_CLIENTS_AT_ONCE)
        payloads = [load.payload for load in loads for _ in range(load.connections)]
        random.Random(1).shuffle(payloads)
        for sock in clients.imap_unordered(lambda one: _send(address, one), payloads):
            self._sockets.append(sock)
        self.settle()

    def settle(self):
        deadline = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < deadline and self._process.running:
            used = processor_seconds(self._process)
            gevent.sleep(0.4)
            if processor_seconds(self._process) - used < 0.1:
                return

    def check(self, growth_mb: int, more_descriptors: int):
        assert self._process.running, self._process.log[-2000:]
        growth = (memory_kb(self._process)["VmHWM"] - self._before_kb) / 1024
        descriptors = self._descriptors() - self._descriptors_before
        assert growth <= growth_mb, f"the peak memory grew by {growth:.0f} MB"
        assert descriptors <= more_descriptors, f"{descriptors} more descriptors"

    def close(self):
        for sock in self._sockets:
            if sock is not None:
                sock.close()
