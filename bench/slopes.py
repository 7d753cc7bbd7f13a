"""Measures all slopes of docs/CAPACITY.md: `python -m bench.slopes` (`make slopes`)."""

import subprocess
import sys

MODULES = (
    "bench.slopes_messages",
    "bench.slopes_limits",
    "bench.slopes_configuration",
    "bench.step_path",
    "bench.slopes_nodes",
)


def main():
    for module in MODULES:
        print(f"\n== python -m {module}", flush=True)
        # Separate processes, so that no measurement warms up the next one.
        subprocess.run([sys.executable, "-m", module], check=True)


if __name__ == "__main__":
    main()
