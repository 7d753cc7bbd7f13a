#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that use the standard library
# only, so they are just compiled. The routers are built by deploy/build.sh.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q system.py [1-5]
