#!/bin/sh
# Runs bench/capacity.lua in each mode and prints the slopes of docs/CAPACITY.md.
# Usage: tools/measure_capacity.sh [BUILD_DIR [MODE...]]
# A MODE is idle, load, reports, teams, claims or memory, followed by the number
# of entries (default 1), for example load3. CAPACITY_STEPS sets the numbers of
# agents that the idle modes measure.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$root/build}
[ $# -gt 0 ] && shift
[ $# -gt 0 ] || set -- idle1 idle3 load1 load3 reports3 reports12 teams1 claims1 memory1
for mode in "$@"; do
  echo "== $mode"
  entries=${mode##*[a-z]}
  CAPACITY_MODE=${mode%%[0-9]*} CAPACITY_ENTRIES=${entries:-1} \
    "$build/tests/scenario/scenario_runner" "$root/tests/scenario/prelude.lua" \
    "$root/bench/capacity.lua" "$build/jayrill" \
    "$build/tests/support/store_standin"
done
