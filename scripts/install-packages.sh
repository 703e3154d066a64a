#!/bin/sh
# Installs the packages of the build and the tests if any is missing.
set -eu
all_installed() {
  command -v g++ && command -v protoc-c && command -v pkg-config && command -v curl \
    && pkg-config --exists glib-2.0 jansson libcurl libmicrohttpd libpq \
      libprotobuf-c libxxhash zlib \
    && [ -e /usr/include/ev.h ] && [ -e /usr/include/toml.hpp ] \
    && [ -e /usr/include/CUnit/CUnit.h ] && command -v clang-tidy \
    && command -v clang-format
}
if all_installed >/dev/null 2>&1; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq gcc g++ make pkg-config curl clang-format clang-tidy \
  libev-dev libprotobuf-c-dev libpq-dev libcurl4-openssl-dev libjansson-dev \
  libmicrohttpd-dev libglib2.0-dev libcunit1-dev libtoml11-dev \
  libxxhash-dev zlib1g-dev protobuf-c-compiler >/dev/null
