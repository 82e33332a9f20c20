#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-2/fleet" ] && [ -x "$root/target/jayrill" ] || exit 2
cd "$root" || exit 2
timeout -k 1 110 target/review-2/fleet large_configurations target/jayrill \
  "$here/record.txt" "${TROUBLE:-1}"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
