#!/bin/sh
# Checks and compiles the stand-ins that the scripts of the cases start. Run it after the
# build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
build=target/review-3
mkdir -p "$build"
PYTHONPYCACHEPREFIX="$build" python3 -m compileall -q \
    bench/standins/path_server.py bench/standins/row_store.py \
    review/system_3.py review/server_3.py review/crashing_request_3.py
PYTHONPATH=target/deps PYTHONPYCACHEPREFIX="$build" python3 -c \
    'import sys; sys.path[:0] = [".", "review"]; import system_3, server_3, crashing_request_3'
