#!/bin/sh
# Builds the stand-ins of the second review. They need no library, so it only checks that
# they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path("review").glob("system_2_*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
