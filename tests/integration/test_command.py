"""The `bulrushdrum` command, run as a subprocess."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from bulrushdrum._internal.operator.commands import app

ROOT = Path(__file__).resolve().parents[2]

RUN_ROLE_SCRIPT = """
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
def test_role_does_not_import_command_line_library(role, tmp_path):
    # Guards against imports that take a sidecar over its memory limit of 32 MB.
    path = tmp_path / "settings.json5"
    path.write_text("{}")
    process = run_python("-c", RUN_ROLE_SCRIPT.format(role=role, path=path))
    modules = process.stdout.split()
    assert modules[0] == "2", process.stderr
    assert "node: missing" in process.stderr
    assert "gevent" in modules and "cyclopts" not in modules and "rich" not in modules
    if role == "sidecar":
        assert "bottle" not in modules
        assert "bulrushdrum._internal.caller" not in modules
        assert "bulrushdrum._internal.operator.commands" not in modules


def test_usage_and_version():
    # Guards against an entry point that fails to start or hides usage errors.
    process = run_python("-m", "bulrushdrum", "--version")
    assert (process.returncode, process.stdout.strip()) == (0, "0.1.0")
    process = run_python("-m", "bulrushdrum", "entry")
    assert process.returncode == 2 and "settings" in process.stderr
    process = run_python("-m", "bulrushdrum", "entry", "--settings", "/nonexistent")
    assert process.returncode == 2 and "cannot be read" in process.stderr


@pytest.mark.parametrize("role", ["entry", "sidecar"])
def test_example_settings_are_valid(role):
    # Guards against an example that a new or renamed setting has made invalid.
    path = ROOT / "examples" / f"{role}.json5"
    process = run_python("-m", "bulrushdrum", "check-settings", role, str(path))
    assert (process.returncode, process.stderr) == (0, "")


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_shell_completion_includes_commands(shell):
    # Guards against a completion script without the subcommands and their options.
    script = app.generate_completion(shell=shell)
    for word in ("contracts", "upstreams", "check-settings", "expected-revision"):
        assert word in script
    if shell == "bash":
        syntax_check = subprocess.run(["bash", "-n"], input=script, text=True)
        assert syntax_check.returncode == 0


@pytest.mark.parametrize("role", ["router", "entry", "sidecar"])
def test_a_reload_signal_during_the_start_of_a_role_does_not_end_it(role):
    # Guards against a process that ends because its settings file changed while it
    # imported its libraries.
    code = (
        "import signal, sys\n"
        "class Finder:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'gevent':\n"
        "            signal.raise_signal(signal.SIGHUP)\n"
        "sys.meta_path.insert(0, Finder())\n"
        f"sys.argv = ['bulrushdrum', {role!r}]\n"
        "import bulrushdrum.__main__\n"
        "print('started')\n"
    )
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert (result.returncode, result.stdout.strip()) == (0, "started"), result.stderr
