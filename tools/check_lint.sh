#!/usr/bin/env bash
# Runs clang-tidy over the project's own sources. Usage: check_lint.sh BUILD_FOLDER [FILE...]
# A file whose preprocessed text, settings and compile flags did not change since it last passed is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
cache="${XDG_CACHE_HOME:-$HOME/.cache}/masticstep-lint"
mkdir -p "$cache"
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp' ':!:*generated*' ':!:fuzz/*')
fi
settings=$(cat .clang-tidy CMakeLists.txt | sha256sum | cut -c1-16)
lint_one() {
  local file=$1 includes key
  # The key covers the file and every header of the project.
  key=$( { echo "$settings" "$headers" "$file"; cat "$file"; } | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$file" 2>/dev/null >"$cache/$key.out"; then
    touch "$cache/$key"; rm -f "$cache/$key.out"
  else
    cat "$cache/$key.out"; rm -f "$cache/$key.out"; return 1
  fi
}
headers=$(git ls-files -co --exclude-standard -- '*.hpp' | sort | xargs cat | sha256sum | cut -c1-16)
export -f lint_one
export build cache settings headers
printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "lint: ok"
