#!/bin/sh
# Runs all benchmarks of docs/MEASUREMENTS.md in sequence.
cd "$(dirname "$0")/.."
for step in "build/ss-scenario bench/speed.scn" bench/failover.sh \
  bench/replica.sh "build/ss-scenario bench/overload.scn" \
  bench/acknowledge.sh bench/control.sh bench/config.sh; do
  echo "== $step"
  $step
done
