#!/usr/bin/env bash
# Runs bench/policy.lua for each combination of placement strategy and load (in
# percent) and prints one report line each, or the lines of a failure. PARALLEL
# sets the number of clusters that run at a time (default 4).
# Usage: tools/measure_policy.sh [LOADS] [STRATEGIES]   (lists separated by spaces)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
loads=${1:-"30 60 85 95"}
strategies=${2:-"jayrill random round_robin least_of_two"}
for load in $loads; do
  for strategy in $strategies; do
    echo "$strategy $load"
  done
done | xargs -P "${PARALLEL:-4}" -L 1 bash -c '
  STRATEGY=$0 LOAD=$1 "'"$build"'/tests/scenario/scenario_runner" \
    tests/scenario/prelude.lua bench/policy.lua "'"$build"'/jayrill" \
    "'"$build"'/tests/support/store_standin" | grep -E "^REPORT|FAILED" || true'
