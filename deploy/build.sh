#!/bin/sh
# Installs the pinned libraries and the project itself under target/deps.
set -eu
stamp=target/deps/requirements.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
# The sources are copied each time, so that a change of them is never missed.
rm -rf target/deps/bulrushdrum
cp -r src/bulrushdrum target/deps/bulrushdrum
python3 -m compileall -q target/deps
