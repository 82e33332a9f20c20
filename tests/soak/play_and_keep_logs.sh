#!/usr/bin/env bash
# Plays a soak whose logs go to a directory, and prints the faults and the end of
# each log when it fails, so that a failure in CI can be traced.
# Usage: play_and_keep_logs.sh DIRECTORY SOAK ARGUMENT...
set -uo pipefail
directory=$1
shift
printed_lines=60
rm -rf "$directory"
mkdir -p "$directory"
"$@" --logs "$directory"
code=$?
if [ "$code" -ne 0 ]; then
  echo "soak: failed with $code; the logs are in $directory"
  [ -f "$directory/record.txt" ] && sed '/^== runs/q' "$directory/record.txt"
  for log in "$directory"/*; do
    [ "$(basename "$log")" = record.txt ] && continue
    echo "== the end of $(basename "$log")"
    tail -n "$printed_lines" "$log"
  done
fi
exit "$code"
