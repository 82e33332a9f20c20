#!/bin/sh
# Plays the case that claim.txt describes. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/jayrill ] || [ ! -x target/review/review_case ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec target/review/review_case spec-with-mark "$folder/record.txt"
