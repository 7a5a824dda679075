#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python and need no build: this checks
# that they compile. Python comes with libglib2.0-dev of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lab-3/lab.py 1[1-5]/case.py; do
    [ ! -e "$file" ] || python3 -c \
        'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file"
done
