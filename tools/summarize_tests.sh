#!/usr/bin/env bash
# Adds up the test reports of all builds. A failed test that KNOWN-RED.txt
# lists is printed and does not fail the run.
# Usage: tools/summarize_tests.sh [NUMBER_OF_OTHER_FAILED_CHECKS]
set -euo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=${1:-0}
for report in build/tests.xml build-asan/tests.xml build-tsan/tests.xml; do
  [ -f "$report" ] || { echo "missing: $report"; failed=$((failed + 1)); continue; }
  # An empty report means that no test was found, which is a fault as well.
  total=$(grep -c '<testcase ' "$report") ||
    { echo "empty: $report"; failed=$((failed + 1)); continue; }
  mapfile -t names < <(grep '<testcase ' "$report" |
    grep -E 'status="(fail|disabled|notrun)"' |
    sed -E 's/.*name="([^"]*)".*/\1/')
  red=0
  for name in "${names[@]}"; do
    if grep -qE "^test: $name( |$)" KNOWN-RED.txt 2>/dev/null; then
      echo "known red: $name ($report)"
    else
      echo "failed: $name ($report)"
      red=$((red + 1))
    fi
  done
  passed=$((passed + total - ${#names[@]}))
  failed=$((failed + red))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
