#!/bin/sh
# Plays the case; see case.py. Exits with 1 if the rule was broken.
exec python3 "$(dirname "$0")/case.py"
