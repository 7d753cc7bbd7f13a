"""A request that crashes servers and sound ones differ in their query only."""

import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from crashing_request_3 import BAD, run  # noqa: E402

PLAY_SECONDS = 40.0
# OWN_PATH=1 is the same with a path of its own for the request that crashes servers.
HAS_OWN_PATH = os.environ.get("OWN_PATH", "0") == "1"


def main():
    path = "/read/own" if HAS_OWN_PATH else "/read/stalls"
    return run(
        HERE,
        PLAY_SECONDS,
        f"{path}?stall={BAD}",
        lambda client, number: f"/read/stalls?stall={client}",
    )


if __name__ == "__main__":
    # The tasks of the stand-ins need not end one by one.
    os._exit(main())
