#!/bin/sh
# Guards against a log that misses standard output, or that stays in a buffer of
# the process: the platform collects standard output, and a process may be killed.
# Usage: stdout_log.sh JAYRILL
set -u
log=$(mktemp)
"$1" agent --id=a1 --data_centre=dc1 --worker=w1 --entries=127.0.0.1:1 \
  --announce_listen=127.0.0.1:0 >"$log" 2>/dev/null &
agent=$!
left=300
while ! grep -q 'agent: started' "$log" && [ "$left" -gt 0 ]; do
  sleep 0.1
  left=$((left - 1))
done
kill -KILL "$agent"
grep 'agent: started' "$log"
found=$?
rm -f "$log"
exit "$found"
