#!/bin/sh
# Measures the time until a configuration change is in force on every VM (10
# changes by sapphirectl), and the memory for 1000 and 2000 additional
# services.
set -eu
cd "$(dirname "$0")/.."
file=$(mktemp)
script=$(mktemp)
trap 'rm -f "$file" "$script"' EXIT
cat >"$script" <<'S'
vms="$SS_VM_0 $SS_VM_1 $SS_VM_2 $SS_VM_3 $SS_VM_4 $SS_VM_5"
rss() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$SS_VM_PID_2/status"; }
for i in 1 2 3 4 5 6 7 8 9 10; do
  t0=$(date +%s%N)
  v=$(build/sapphirectl --admin "$SS_VM_0:7200" --token-file "$SS_DIRECTORY/token" --format json -c "set service claims weight = $i" | sed 's/.*"version":\([0-9]*\).*/\1/')
  t1=$(date +%s%N)
  for vm in $vms; do
    until curl -s -d "show services where name = 'claims'" "http://$vm:7200/v1/command" | grep -q "\"version\":$v"; do sleep 0.01; done
  done
  t2=$(date +%s%N)
  echo "accepted after $(((t1 - t0) / 1000000)) ms, in force on 6 vms after $(((t2 - t0) / 1000000)) ms"
done
put() { # from, to
  i=$1
  while [ "$i" -le "$2" ]; do
    echo "url = \"http://$SS_PLATFORM:8080/v1/objects/service/s$i\""
    echo "request = PUT"
    echo "data = \"{\\\"group\\\":\\\"claims-db\\\",\\\"kinds\\\":{\\\"report\\\":{\\\"staleness_ms\\\":30000}}}\""
    echo "output = /dev/null"
    echo "next"
    i=$((i + 1))
  done | sed '$d' | curl -s -K - >/dev/null
  sleep 3
  echo "$2 further services: rss_kb $(rss)"
}
echo "no further services: rss_kb $(rss)"
put 1 1000
put 1001 2000
S
cat >"$file" <<S
deployment
run 'sh $script'
S
build/ss-scenario "$file"
