#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
make -s -j8 build/ss-standin-network
mkdir -p build/review-2
gcc -std=gnu11 -O2 -g -I. -Isrc -o build/review-2/split review/standin-2/split.c \
  tests/world/net.c tests/world/store.c \
  $(pkg-config --cflags --libs glib-2.0 jansson) -lpthread -lm
# The scenario program starts what stands beside it; the daemon is the one that
# the deploy file builds.
make -s -j8 build/ss-scenario build/ss-standin-target build/ss-standin-platform \
  build/sapphirectl
mkdir -p build/review-2/own
for p in ss-scenario ss-standin-target ss-standin-platform ss-standin-network \
  sapphirectl; do
  cp -f "build/$p" build/review-2/own/
done
