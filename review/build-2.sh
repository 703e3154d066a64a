#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
make -s -j8 build/ss-standin-network
mkdir -p build/review-2
gcc -std=gnu11 -O2 -g -I. -Isrc -o build/review-2/split review/standin-2/split.c \
  tests/world/net.c tests/world/store.c \
  $(pkg-config --cflags --libs glib-2.0 jansson) -lpthread -lm
