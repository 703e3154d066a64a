#!/bin/sh
# Runs scenarios of random faults, generated from seeds, against real
# processes.
#
# usage: bench/soak.sh DIR FIRST LAST [JOBS [OPTION...]]
#
# Runs seeds FIRST to LAST, JOBS at a time.  Writes the scenarios and their
# output into DIR and passes each OPTION to ss-soak.  Prints a line for each
# seed; exits with 1 if one failed.  Keep the scenario of a failed seed as
# tests/soak/NAME.scn, with a comment that states the cause.
set -eu

. "$(dirname "$0")/days.sh"

[ $# -ge 3 ] || die "usage: bench/soak.sh DIR FIRST LAST [JOBS [OPTION...]]"
dir=$1
first=$2
last=$3
jobs=${4:-1}
shift 3
[ $# -eq 0 ] || shift
mkdir -p "$dir"
B=${B:-build}

seq "$first" "$last" | xargs -P "$jobs" -I SEED sh -euc '
  seed=$1 dir=$2 b=$3
  shift 3
  "$b/ss-soak" "$@" "$seed" > "$dir/$seed.scn"
  if "$b/ss-scenario" "$dir/$seed.scn" > "$dir/$seed.out" 2>&1; then
    echo "seed $seed: passed"
  else
    echo "seed $seed: FAILED: $(grep -m 1 "scn:[0-9]*:" "$dir/$seed.out")"
    exit 1
  fi' _ SEED "$dir" "$B" "$@" || exit 1
