#!/bin/sh
# Measures the slopes of docs/CAPACITY.md and prints them.
# Usage: tools/measure_capacity.sh [BUILD_DIR [MODE...]]
# Modes: idle1 idle3 load1 load3 claims memory; CAPACITY_STEPS sets the numbers
# of agents of the idle modes.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$root/build}
[ $# -gt 0 ] && shift
[ $# -gt 0 ] || set -- idle1 idle3 load1 load3 claims memory
for mode in "$@"; do
  echo "== $mode"
  case $mode in
    idle* | load*) entries=${mode#????} ;;
    *) entries=1 ;;
  esac
  CAPACITY_MODE=${mode%[13]} CAPACITY_ENTRIES=$entries \
    "$build/tests/scenario/scenario_runner" "$root/tests/scenario/prelude.lua" \
    "$root/bench/capacity.lua" "$build/jayrill" \
    "$build/tests/support/store_standin"
done
