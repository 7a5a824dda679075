#!/bin/bash
# The stand-ins of cases 6 to 10 are Python programs without dependencies
# (python3, 3.11 or later): there is nothing to compile. Checks that they can
# be read.
set -euo pipefail
cd "$(dirname "$0")"
for it in lab-2/lab.py */case.py; do
    case "$it" in [1-5]/*) continue ;; esac
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
