"""The single-file binary serves requests without starting child processes."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from bench.binary import build
from bench.cluster import Cluster
from bench.history import History
from bench.topology import three_stages


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    return build(tmp_path_factory.mktemp("binary") / "bulrushdrum")


def _children(pid):
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


def test_binary_serves_a_request(binary, tmp_path, monkeypatch):
    # Guards against a launcher process that receives the platform's signals instead of
    # the program, and against files missing from the binary.
    root = tmp_path / "unpacked"
    monkeypatch.setenv("BULRUSHDRUM_BINARY", str(binary))
    monkeypatch.setenv("SHIV_ROOT", str(root))
    with Cluster(three_stages(entries=1, replicas=1)) as cluster:
        cluster.add_customer("warwick")
        answer = cluster.caller("warwick").chat(cluster.http("entry0"), "hello", seed=3)
        assert answer.outcome == "answered"
        assert History(cluster).check([answer]).passed
        for name in ("entry0", "s0-0"):
            process = cluster.process(name)
            command = Path(f"/proc/{process.pid}/cmdline").read_bytes()
            assert str(binary).encode() in command
            assert _children(process.pid) == []
        for name in ("entry0", "s0-0"):
            cluster.process(name).terminate()
            assert cluster.process(name).wait(10) == 0


def test_binary_is_executable(binary, tmp_path):
    # Guards against a binary without execute permission or command line.
    environment = {**os.environ, "SHIV_ROOT": str(tmp_path)}
    environment["PATH"] = f"{Path(sys.executable).parent}:{environment['PATH']}"
    done = subprocess.run(
        [str(binary), "--version"], capture_output=True, text=True, env=environment
    )
    assert (done.returncode, done.stdout.strip()) == (0, "0.1.0")
