#!/bin/sh
# Case 6: the zone with the platform is partitioned from the two others.
# TROUBLE=0: the same without the partition.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
timeout 110 build/review-2/split "$folder" target/sapphirestaird \
  build/ss-standin-network "${TROUBLE:-1}"
status=$?
cp "$folder/record.txt" review/6/record.txt 2>/dev/null
[ -n "$KEEP" ] && cp -r "$folder" "$KEEP"
rm -rf "$folder"
[ $status -le 2 ] || status=2
exit $status
