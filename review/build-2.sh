#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the daemon of the deploy file. The stand-ins
# are Python programs (review/standins-2/), so they are only checked.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins-2/world.py review/6/case.py review/7/case.py review/8/case.py \
            review/9/case.py review/10/case.py; do
  python3 - "$file" <<'CHECK' || exit 1
import ast
import sys

with open(sys.argv[1]) as source:
    ast.parse(source.read(), sys.argv[1])
CHECK
done
