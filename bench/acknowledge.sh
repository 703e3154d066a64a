#!/bin/sh
# Compares commits replicated to a majority with commits acknowledged by the
# primary alone.  Both modes alternate in one run with three servers in three
# failure domains and no replication lag.
set -eu
cd "$(dirname "$0")/.."
file=$(mktemp)
trap 'rm -f "$file"' EXIT
cat >"$file" <<'S'
deployment
note primary
run 'for mode in majority primary majority primary; do build/sapphirectl --admin $SS_VM_0:7200 --token-file $SS_DIRECTORY/token -c "set service claims acknowledge = $mode" >/dev/null; sleep 0.5; echo -n "$mode 1 caller   "; build/ss-bench --callers 1 --seconds 2 --address $SS_VM_3:5432 --sql "INSERT INTO filings (key, value) VALUES (1, 1)"; echo -n "$mode 32 callers "; build/ss-bench --callers 32 --seconds 2 --address $SS_VM_3:5432 --sql "INSERT INTO filings (key, value) VALUES (1, 1)"; done'
S
build/ss-scenario "$file"
