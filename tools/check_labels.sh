#!/usr/bin/env bash
# Fails when no test has a label that docs/design.md states for a guarantee, or
# when a test has a label that is neither in docs/design.md nor in the list below.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
others='unit policy bad-input scenario qt-traffic fuzz'
mapfile -t wanted < <(sed -n '/^## 1\./,/^## 2\./p' docs/design.md |
  sed -nE 's/^\| [0-9]+ \|.*\| ([a-z-]+) \|$/\1/p')
[ "${#wanted[@]}" -eq 9 ] || { echo "labels: the table has changed"; exit 1; }
failed=0
for label in "${wanted[@]}"; do
  count=$(ctest --test-dir "$build" -N -L "^$label\$" |
    sed -n 's/^Total Tests: //p')
  echo "label $label: $count tests"
  [ "$count" -gt 0 ] || failed=1
done
while read -r label; do
  case " ${wanted[*]} $others " in
    *" $label "*) ;;
    *) echo "unknown label: $label"; failed=1 ;;
  esac
done < <(ctest --test-dir "$build" --print-labels | sed -n 's/^  //p')
exit "$failed"
