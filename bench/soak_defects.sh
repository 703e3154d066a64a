#!/bin/sh
# Tests that the checks of the soak test detect faulty servers.
#
# usage: bench/soak_defects.sh DIR [SEEDS]
#
# Runs the first SEEDS seeds (default 4) with each defect that SS_STANDIN_LIE
# can inject into ss-standin-target.  Prints the checks that failed for each
# defect; exits with 1 if no check failed for one.
set -u

. "$(dirname "$0")/days.sh"

[ $# -ge 1 ] || die "usage: bench/soak_defects.sh DIR [SEEDS]"
dir=$1
seeds=${2:-4}
missed=0

for defect in applied term commit request refusal check answer; do
  SS_STANDIN_LIE=$defect sh "$(dirname "$0")/soak.sh" "$dir/$defect" 1 \
    "$seeds" "$seeds" > "$dir.$defect" 2>&1
  found=$(sed -n 's/.*scn:[0-9]*: \([a-z_]*\) is .*/\1/p' "$dir.$defect" |
    sort -u | tr '\n' ' ')
  printf '%-9s %s\n' "$defect" "${found:-NOT FOUND}"
  [ -n "$found" ] || missed=1
done
exit "$missed"
