#!/usr/bin/env bash
# Fails if a source file differs from what clang-format writes.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- '*.cpp' '*.hpp' ':!:*generated*' | xargs -r clang-format --dry-run -Werror
echo "format: ok"
