#!/bin/sh
# Builds the daemon of the version that is in production, for tests in which two
# versions run side by side: $B/previous/sapphirestaird.  The commit is named in
# tests/PREVIOUS-VERSION.  Needs the repository's history.
set -eu
cd "$(dirname "$0")/.."
B=${B:-build}
commit=$(sed -n '/^[0-9a-f]/p' tests/PREVIOUS-VERSION)
out=$B/previous
if [ "$(cat "$out/commit" 2>/dev/null)" = "$commit" ]; then
  exit 0
fi
if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
  echo "build-previous.sh: commit $commit of tests/PREVIOUS-VERSION is not in" \
    "the history of this clone" >&2
  exit 1
fi
rm -rf "$out"
mkdir -p "$out/source"
git archive "$commit" Makefile proto src platform | tar -x -C "$out/source"
make -s -j"$(nproc)" -C "$out/source" B=target target/sapphirestaird
mv "$out/source/target/sapphirestaird" "$out/sapphirestaird"
rm -rf "$out/source"
echo "$commit" >"$out/commit"
