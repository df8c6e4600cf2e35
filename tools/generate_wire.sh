#!/usr/bin/env bash
# Regenerates libs/wire/src/generated from the schema. Only needed after a change of the schema; the build
# uses the committed header. Requires the Debian package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --scoped-enums -o libs/wire/src/generated libs/wire/schema/peer.fbs libs/wire/schema/work.fbs libs/wire/schema/crash.fbs libs/wire/schema/origin.fbs libs/wire/schema/freshness.fbs libs/wire/schema/usage.fbs
