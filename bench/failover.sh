#!/bin/sh
# Measures the failover gap and the times of detection and promotion, and counts
# lost writes, duplicated rows and stale reads, over RUNS runs each of a crash, a
# freeze and a network partition of the primary, PARALLEL at a time.  Then delays each
# statement at the primary by 1 s for 4 s, which must not cause a promotion.
set -eu
cd "$(dirname "$0")/.."
RUNS=${RUNS:-20}
PARALLEL=${PARALLEL:-4}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

scenario() { # fault, number
  {
    echo "deployment"
    echo "load callers=8 seconds=7 writes=50 ids=100 transactions=0 roam=5 tokens=50 think-ms=5 seed=$2"
    echo "wait 2000"
    echo "note primary"
    case $1 in
    crash) echo "kill primary" ;;
    freeze) echo "freeze primary" ;;
    cut) echo "cut aarhus-hal" ;;
    esac
    echo "result"
    echo "print"
    echo "run 'grep -h PROMOTION_DONE \$SS_DIRECTORY/*.log; grep -h SUSPECT \$SS_DIRECTORY/*.log; true'"
  } >"$dir/$1.$2.scn"
}

for fault in crash freeze cut; do
  i=1
  while [ "$i" -le "$RUNS" ]; do
    scenario "$fault" "$i"
    i=$((i + 1))
  done
done
ls "$dir"/*.scn | xargs -P "$PARALLEL" -n 1 sh -c 'build/ss-scenario "$1" >"$1.out" 2>&1 || true' _

summary() { # label, sorted numbers on standard input
  sort -n | awk -v label="$1" '{ v[NR] = $1 } END {
    if (NR) printf "%-26s runs %d median %d max %d\n", label, NR, v[int((NR + 1) / 2)], v[NR]
    else printf "%-26s no runs\n", label }'
}

for fault in crash freeze cut; do
  cat "$dir/$fault".*.out | sed -n 's/.*"failover_gap_ms":\([0-9]*\).*/\1/p' | summary "$fault gap_ms"
  cat "$dir/$fault".*.out | sed -n 's/.*down_ms=\([0-9]*\).*/\1/p' | summary "$fault detection_ms"
  cat "$dir/$fault".*.out | sed -n 's/.*PROMOTION_DONE.* ms=\([0-9]*\).*/\1/p' | summary "$fault promotion_ms"
  cat "$dir/$fault".*.out | sed -n 's/.*"lost":\([0-9]*\),"doubled":\([0-9]*\),"stale":\([0-9]*\).*/\1 \2 \3/p' |
    awk -v f="$fault" '{ l += $1; d += $2; s += $3 } END { printf "%-26s lost %d doubled %d stale %d\n", f, l, d, s }'
done

cat >"$dir/slow.scn" <<'S'
deployment
load callers=8 seconds=8 writes=50 ids=100 transactions=0 think-ms=5
wait 2000
note primary
control primary slow_ms 1000
wait 4000
control primary slow_ms 0
result
run 'echo "slow 1 s: promotions $(cat $SS_DIRECTORY/*.log | grep -c PROMOTION_STARTED)"'
S
build/ss-scenario "$dir/slow.scn"
