#!/usr/bin/env bash
# Adds up the test reports of the plain and the sanitizer builds and fails when a
# test failed or a report is missing. A failed test that is listed in
# KNOWN-RED.txt is printed but counts neither as passed nor as failed.
# Usage: tools/summarize_tests.sh [NUMBER_OF_OTHER_FAILED_CHECKS]
set -euo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=${1:-0}
for report in build/tests.xml build-asan/tests.xml build-tsan/tests.xml; do
  [ -f "$report" ] || { echo "missing: $report"; failed=$((failed + 1)); continue; }
  # A report without test cases counts as a failure: no test was found.
  total=$(grep -c '<testcase ' "$report") ||
    { echo "empty: $report"; failed=$((failed + 1)); continue; }
  mapfile -t failed_tests < <(grep '<testcase ' "$report" |
    grep -E 'status="(fail|disabled|notrun)"' |
    sed -E 's/.*name="([^"]*)".*/\1/')
  unexpected=0
  for name in "${failed_tests[@]}"; do
    if grep -qE "^test: $name( |$)" KNOWN-RED.txt 2>/dev/null; then
      echo "known red: $name ($report)"
    else
      echo "failed: $name ($report)"
      unexpected=$((unexpected + 1))
    fi
  done
  passed=$((passed + total - ${#failed_tests[@]}))
  failed=$((failed + unexpected))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
