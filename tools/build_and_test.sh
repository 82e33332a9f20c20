#!/usr/bin/env bash
# Builds everything and runs all tests. Results go to build/tests.xml.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" --quiet
ctest --test-dir "$build" --output-on-failure -j 4 \
  --output-junit tests.xml "$@"
