"""The `bulrushdrum` command as a process."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from bulrushdrum._internal.operator.commands import app

ROOT = Path(__file__).resolve().parents[2]

IMPORTS = """
import sys
from bulrushdrum.__main__ import run
status = run(["{role}", "--settings={path}"])
assert status == run(["{role}", "--settings", "{path}"])
print(status, *sorted({{name.split(".")[0] for name in sys.modules}}))
if "{role}" == "sidecar":
    import bulrushdrum._internal.sidecar.process
    print(*sys.modules)
"""


def run_python(*arguments):
    return subprocess.run(
        [sys.executable, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"},
    )


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_a_role_does_not_import_the_command_line(role, tmp_path):
    # Guards against memory that sidecars do not have: they are limited to 32 MB.
    path = tmp_path / "settings.json5"
    path.write_text("{}")
    done = run_python("-c", IMPORTS.format(role=role, path=path))
    modules = done.stdout.split()
    assert modules[0] == "2", done.stderr
    assert "node: missing" in done.stderr
    assert "gevent" in modules and "cyclopts" not in modules and "rich" not in modules
    if role == "sidecar":
        assert "bottle" not in modules
        assert "bulrushdrum._internal.caller" not in modules
        assert "bulrushdrum._internal.operator.commands" not in modules


def test_usage_and_version():
    # Guards against an entry point that cannot be started, or that hides usage errors.
    done = run_python("-m", "bulrushdrum", "--version")
    assert (done.returncode, done.stdout.strip()) == (0, "0.1.0")
    done = run_python("-m", "bulrushdrum", "entry")
    assert done.returncode == 2 and "settings" in done.stderr
    done = run_python("-m", "bulrushdrum", "entry", "--settings", "/nonexistent")
    assert done.returncode == 2 and "cannot be read" in done.stderr


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_the_examples_are_valid_settings(role):
    # Guards against an example that a new or renamed setting has made useless.
    path = ROOT / "examples" / f"{role}.json5"
    done = run_python("-m", "bulrushdrum", "check-settings", role, str(path))
    assert (done.returncode, done.stderr) == (0, "")


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_knows_the_commands(shell):
    # Guards against completion that misses commands of the groups.
    script = app.generate_completion(shell=shell)
    for word in ("contracts", "upstreams", "check-settings", "expected-revision"):
        assert word in script
    if shell == "bash":
        checked = subprocess.run(["bash", "-n"], input=script, text=True)
        assert checked.returncode == 0
