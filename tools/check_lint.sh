#!/usr/bin/env bash
# Usage: check_lint.sh BUILD_FOLDER [FILE...]; see check_lint.py.
exec "$(dirname "$0")/check_lint.py" "$@"
