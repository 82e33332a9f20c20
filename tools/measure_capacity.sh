#!/bin/sh
# Measures the slopes of docs/CAPACITY.md and prints them.
# Usage: tools/measure_capacity.sh [BUILD_DIR [MODE...]]
# Modes: idle load reports teams claims memory, each with the number of entries
# behind it (default 1); CAPACITY_STEPS sets the numbers of agents of the idle modes.
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
