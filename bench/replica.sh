#!/bin/sh
# Measures the share of reads served by replicas at replica lags of 20, 200 and
# 2000 ms.  The load is 98% session reads; a session reconnects every 100
# operations.  Half of the reconnects present the session token; then none does;
# then callers are identified by user name.  The last run measures reads with
# bounded staleness.
set -eu
cd "$(dirname "$0")/.."
B=${B:-build}
file=$(mktemp)
trap 'rm -f "$file"' EXIT
run() { # label, lag, load arguments
  cat >"$file" <<S
deployment staleness_ms=30000 identity=${4:-none}
control target 1 apply_lag_ms $2
control target 2 apply_lag_ms $2
load callers=48 seconds=10 readers=40 writes=50 think-ms=20 writer-think-ms=100 roam=1 ids=50 transactions=0 $3
result
print
S
  "$B/ss-scenario" "$file" 2>&1 | sed -n "s/.*\"statements\":\([0-9]*\).*\"lost\":\([0-9]*\),\"doubled\":\([0-9]*\),\"stale\":\([0-9]*\).*\"replica_read_share\":\([0-9.]*\).*\"p50_ms\":\([0-9.]*\),\"p99_ms\":\([0-9.]*\),\"writes\":\([0-9]*\).*/$1 lag $2 ms: share \5 statements \1 writes \8 lost \2 doubled \3 stale \4 p50_ms \6 p99_ms \7/p"
}
for lag in 20 200 2000; do
  run "session reads, half with token" "$lag" "aged=0 tokens=50"
  run "session reads, no token      " "$lag" "aged=0 tokens=0"
done
for lag in 20 200 2000; do
  run "session reads, by identity   " "$lag" "aged=0 tokens=0 identity" user
done
run "bounded staleness, 30 s      " 2000 "aged=100 tokens=50"
