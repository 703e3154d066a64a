#!/bin/sh
# Shows that the soak's checks can fail: servers that get one thing wrong.
#
# usage: bench/soak_lies.sh DIR [SEEDS]
#
# Plays the first SEEDS (4) seeds with each lie of ss-standin-target.  Prints
# what was found, and ends with 1 if a lie was not.
set -u

. "$(dirname "$0")/days.sh"

[ $# -ge 1 ] || die "usage: bench/soak_lies.sh DIR [SEEDS]"
dir=$1
seeds=${2:-4}
missed=0

for lie in applied term commit request refusal check answer; do
  SS_STANDIN_LIE=$lie sh "$(dirname "$0")/soak.sh" "$dir/$lie" 1 "$seeds" \
    "$seeds" > "$dir.$lie" 2>&1
  found=$(sed -n 's/.*scn:[0-9]*: \([a-z_]*\) is .*/\1/p' "$dir.$lie" |
    sort -u | tr '\n' ' ')
  printf '%-9s %s\n' "$lie" "${found:-NOT FOUND}"
  [ -n "$found" ] || missed=1
done
exit "$missed"
