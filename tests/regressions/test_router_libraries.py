"""A router starts with the libraries of its deployment only.

Found by the platform's bench: no router started after its entry point had moved to a
module that reads settings files with comments.
"""

import importlib.metadata
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def names_in(path):
    lines = (ROOT / path).read_text().splitlines()
    return {re.split("[=<>]", line)[0].lower().replace("_", "-") for line in lines}


def test_a_router_needs_only_its_deployed_libraries():
    missing = names_in("requirements.lock") - names_in("deploy/requirements.txt")
    modules = [
        module
        for module, packages in importlib.metadata.packages_distributions().items()
        if {name.lower().replace("_", "-") for name in packages} & missing
    ]
    assert "json5" in modules
    code = (
        "import sys\n"
        f"sys.modules.update(dict.fromkeys({sorted(modules)!r}))\n"
        "sys.argv = ['bulrushdrum', 'router', '--max-head-bytes', '1']\n"
        "from bulrushdrum.__main__ import run\n"
        "from bulrushdrum._internal.router_process import run_router\n"
        "sys.exit(run(sys.argv[1:]))\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30
    )
    assert "head-bytes is 1" in completed.stderr
    assert completed.returncode == 2
