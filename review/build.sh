#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. They are Python programs and need no
# compiler; this checks that the interpreter is there and that they compile. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX=$out python3 -m py_compile standin/lab.py ./*/case.py beside/*/case.py
