#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'install ok installed' || missing+=("$name")
done < tools/packages.txt
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
