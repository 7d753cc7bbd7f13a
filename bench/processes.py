"""Runs the processes of a test system: ports, start, stop, pause and logs."""

import ctypes
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import gevent

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 5.0
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None, use_errno=True)


class PortPool:
    """Free loopback ports, held until `close`.

    A reserved port stays bound without listening, so that no outgoing connection of
    this machine gets it. Servers can still listen on it, as they set SO_REUSEADDR.
    """

    def __init__(self):
        self._sockets = []

    def reserve(self) -> str:
        """Return a free address like "127.0.0.1:41234"."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        self._sockets.append(sock)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def close(self):
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def _kill_when_parent_exits():
    # Ends the child even if the test runner is killed and cannot clean up.
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of the system: the Python interpreter with `arguments`."""

    def __init__(self, name: str, arguments: list[str], directory: Path):
        self._name = name
        self._arguments = arguments
        self._log_path = directory / f"{name}.log"
        self._popen = None

    @property
    def name(self) -> str:
        return self._name

    @property
    def pid(self) -> int:
        return self._popen.pid

    @property
    def running(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        return None if self._popen is None else self._popen.poll()

    @property
    def log(self) -> str:
        return self._log_path.read_text() if self._log_path.exists() else ""

    def start(self):
        """Start or restart the process; its output is appended to the log."""
        if self.running:
            raise RuntimeError(f"{self._name} is already running")
        environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        with self._log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *self._arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_kill_when_parent_exits,
            )

    def signal(self, number: int):
        if self.running:
            self._popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_SECONDS)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def terminate(self):
        """Send SIGTERM without waiting for the process to exit."""
        self.signal(signal.SIGTERM)

    def wait(self, seconds: float) -> int:
        """Wait for the exit and return its code; raises `TimeoutError`."""
        wait_for(lambda: not self.running, f"{self._name} to exit", seconds)
        return self._popen.returncode

    def wait_listening(self, address: str):
        """Wait until `address` accepts connections."""
        host, _, port = address.rpartition(":")

        def accepts():
            if not self.running:
                raise RuntimeError(
                    f"{self._name} exited with {self.exit_code}: {self.log[-2000:]}"
                )
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
            except OSError:
                return False
            return True

        wait_for(accepts, f"{self._name} to listen", START_TIMEOUT_SECONDS)


def wait_for(
    condition, description: str, seconds: float = START_TIMEOUT_SECONDS, poll=0.02
):
    """Return the first true value of `condition()`; raises `TimeoutError`."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {seconds} s for {description}")
        gevent.sleep(poll)
