#!/bin/sh
# Checks the stand-ins; they are Python without libraries, so nothing is built.
cd "$(dirname "$0")" || exit 2
for file in standins.py */case.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
