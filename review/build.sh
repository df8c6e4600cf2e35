#!/bin/sh
# The stand-ins of the cases are Python files without dependencies, so there is nothing to compile.
set -e
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in "$(dirname "$0")"/standins/*.py "$(dirname "$0")"/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
