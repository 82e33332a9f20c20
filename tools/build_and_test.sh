#!/usr/bin/env bash
# Builds everything and runs all tests. The results are written to tests.xml in
# the build directory ($BUILD_DIR, default build). Arguments are passed to ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
# Delete the report of an earlier run, which would otherwise be counted when this
# run fails before ctest.
rm -f "$build/tests.xml"
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" --quiet -j "${JOBS:-$(nproc)}"
# With a fixed seed RapidCheck generates the same cases in every run. Set
# RC_PARAMS=seed=N for other cases.
export RC_PARAMS=${RC_PARAMS:-seed=1}
ctest --test-dir "$build" --output-on-failure -j 4 \
  --output-junit tests.xml "$@"
