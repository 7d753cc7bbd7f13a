"""Model servers as processes, and what a configuration and a client say of them."""

import subprocess
import sys
from pathlib import Path

from system_2_store import Store

_PROGRAM = Path(__file__).resolve().with_name("system_2_engine_process.py")
MODEL = {
    "slots": 96,
    "kv-token-bytes": 100_000,
    "stride": 4,
    "models": [{"name": "m", "load-s": 1.0}],
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "context_per_k": 0.01,
    "read_per_s": 100_000.0,
    "usual": {"prompt": 100, "answer": 160},
    "layers": 10,
    "layer-mb": 100.0,
    "kinds": [{"name": "a100", "size-mb": 72_000.0, "pace": 1.0, "read-factor": 1.0}],
}
# What a client says of a request.
HEADERS = {
    "Bulrushdrum-Model": "m",
    "Bulrushdrum-Token-Count": "100,160",
    "Bulrushdrum-Prefix-Hash": "5c1e07a2:60,91bd3f06:40",
}


class EngineProcess:
    """One model server; see `system_2_engine_process.py` for its arguments."""

    def __init__(self, name: str, events: int, event_seconds: float, framing: str):
        self.name = name
        arguments = [name, str(events), str(event_seconds), framing]
        command = [sys.executable, str(_PROGRAM), *arguments]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self._port = int(self._process.stdout.readline())

    async def register(self, store: Store):
        """Write the entry of this server, which holds all layers."""
        entry = {
            "service": "llm",
            "address": f"127.0.0.1:{self._port}",
            "zone": "a",
            "version": "1",
            "slots": 96,
            "state": "ready",
            "cold-left-ms": 0,
            "seq-no": 1,
            "born": 1_800_000_000_000,
            "route-kind": "a100",
            "layers": {"from": 0, "target": 10, "version": 1},
        }
        await store.put("servers", self.name, entry)

    def kill(self):
        self._process.kill()
        self._process.wait(timeout=10)
