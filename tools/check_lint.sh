#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the files given as arguments, and prints
# the findings. BUILD_DIR is the build directory (default build); JOBS limits the
# number of clang-tidy processes (default: one per processor).
# Usage: tools/check_lint.sh [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cc')
fi
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! printf '%s\n' "${files[@]}" |
  xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p "$build" --quiet >"$log" 2>/dev/null; then
  grep -E 'warning:|error:' "$log" | sort -u
  echo "lint: failed"
  exit 1
fi
echo "lint: ${#files[@]} files are clean"
