#!/usr/bin/env bash
# Configures and builds one variant: without sanitizers (plain), with the address and
# undefined-behaviour sanitizers (asan) or with the thread sanitizer (tsan).
# Usage: scripts/build.sh [plain|asan|tsan] [target ...]
set -euo pipefail
cd "$(dirname "$0")/.."
variant=${1:-plain}
shift || true
case "$variant" in
  plain) dir=build; sanitize="" ;;
  asan) dir=build-asan; sanitize="address,undefined" ;;
  tsan) dir=build-tsan; sanitize="thread" ;;
  *) echo "scripts/build.sh: unknown variant \"$variant\"; known: plain, asan, tsan" >&2; exit 2 ;;
esac
# These settings let clones of the repository on one machine share ccache results.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -G Ninja -S . -B "$dir" -DTOUCAN_SANITIZE="$sanitize" >"/tmp/toucan-cmake-$$.log" 2>&1 ||
  { cat "/tmp/toucan-cmake-$$.log"; exit 1; }
rm -f "/tmp/toucan-cmake-$$.log"
cmake --build "$dir" -- --quiet ${@:+"$@"}
