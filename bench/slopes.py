"""All slopes behind docs/CAPACITY.md: `python -m bench.slopes` (`make slopes`)."""

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
        # A process for each, so that one measurement does not warm up the next.
        subprocess.run([sys.executable, "-m", module], check=True)


if __name__ == "__main__":
    main()
