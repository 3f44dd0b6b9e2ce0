#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases of REPORT-3.md into target/review-3. The
# packages are those of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -DCPPHTTPLIB_OPENSSL_SUPPORT -DCPPHTTPLIB_ZLIB_SUPPORT
  -DCPPHTTPLIB_BROTLI_SUPPORT)
pids=()
for source in review/13/*.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ "$out"/{case,group,platform,process}.o -o "$out/case-13" -lcpp-httplib -lssl -lcrypto -lpthread
