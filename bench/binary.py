"""Builds the one binary: `python -m bench.binary` (`make binary`).

The result is a zip application with all roles and the command line. It unpacks its
libraries to the directory `SHIV_ROOT`, preferably on a memory file system, and runs in
the same process: there is no parent process that would have to forward signals.
"""

import argparse
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "bulrushdrum"
# Pinned packages that only tests, measurements and plots need.
_DEVELOPMENT = {
    *(
        "contourpy",
        "cycler",
        "fonttools",
        "kiwisolver",
        "matplotlib",
        "numpy",
        "pillow",
    ),
    *(
        "pyparsing",
        "python-dateutil",
        "scipy",
        "gherkin-official",
        "hypothesis",
        "mako",
    ),
    *("iniconfig", "parse", "parse_type", "pluggy", "pytest", "pytest-bdd", "ruff"),
    *("minicheck", "shiv", "sortedcontainers", "markupsafe", "jinja2", "click", "pip"),
    *("tzdata", "setuptools", "six", "packaging"),
}


def runtime_requirements() -> list[str]:
    """Return the pinned requirements of the product itself."""
    lines = (ROOT / "requirements.lock").read_text().split()
    return [line for line in lines if line.split("==")[0].lower() not in _DEVELOPMENT]


def build(target: Path) -> Path:
    """Build the binary at `target` and return its path."""
    target.parent.mkdir(parents=True, exist_ok=True)
    command = [
        *(sys.executable, "-m", "shiv.cli", "--console-script", "bulrushdrum"),
        *("--output-file", str(target), "--python", "/usr/bin/env python3"),
        *("--compressed", "--reproducible", "--no-build-isolation", "--quiet"),
        "--no-deps",  # the lock file is complete; jinja2 is only for a code generator
        *runtime_requirements(),
        str(ROOT),
    ]
    subprocess.run(command, check=True, cwd=ROOT)
    return target


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--output", type=Path, default=TARGET)
    target = build(parser.parse_args().output)
    print(f"{target}: {target.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
