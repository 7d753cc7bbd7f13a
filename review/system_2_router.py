"""Starts routers with the command of the deploy file, and settings like the platform's.

Ports of one machine are the same on all machines of a deployment; here all routers
share one loopback address, so each has ports of its own.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
DEPENDENCIES = ROOT / "target" / "deps"
# Below the ports that the system gives to outgoing connections.
_PORTS = range(20_000, 32_000)
_TRIES = 1000


class CannotRun(Exception):
    """The case cannot be played here."""


def free_port(kind=socket.SOCK_STREAM) -> int:
    for _ in range(_TRIES):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", random.choice(_PORTS)))
            except OSError:
                continue
            return sock.getsockname()[1]
    raise CannotRun("no free port")


class Router:
    """One router process; `bounds` replace some of those of a small deployment."""

    def __init__(self, folder: Path, store_port: int, node="edge-a-1", **bounds):
        if not (DEPENDENCIES / "bulrushdrum").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.port, self.ready_port = free_port(), free_port()
        self.log = folder / f"{node}.log"
        self._settings = folder / f"{node}.json"
        settings = {
            "node-name": node,
            "role": "router",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready-addr": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": [free_port(socket.SOCK_DGRAM), free_port()],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.817,
                "cores": 1,
                "memory-mb": 300,
                "max-fds": 4200,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "heartbeat-ms": 1200,
            "bounds": {
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "config-apply-ms": 2000,
                "revoke-ms": 5000,
                "retry-budget-ratio": 0.2,
                "budget-window-s": 10,
                "retry-budget-extra": 196,
                **bounds,
            },
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "table"},
        }
        self._settings.write_text(json.dumps(settings))
        self._process: subprocess.Popen | None = None

    def start(self):
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(DEPENDENCIES),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BULRUSHDRUM_SETTINGS": str(self._settings),
        }
        with self.log.open("a") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "bulrushdrum", "router"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The code of a process that has ended, or None."""
        return None if self._process is None else self._process.poll()

    async def wait_ready(self, seconds: float = 20.0):
        """Return when the router says that it is ready."""
        for _ in range(int(seconds / 0.1)):
            if await self._is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"the router is not ready: {self.log.read_text()[-2000:]}")

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    def signal(self, number: signal.Signals):
        self._process.send_signal(number)

    def stop(self):
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait(timeout=10)
