#!/bin/sh
# Runs the case and writes record.txt; exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
PYTHONPATH="$root/target/deps" exec python3 -B "$here/case.py"
