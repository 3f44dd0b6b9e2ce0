#!/usr/bin/env bash
# Installs what is missing, builds, and runs all checks: format, lint, unit tests and process
# tests, then unit tests under address+undefined and thread sanitizers.
# Tests listed in KNOWN-RED.txt are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=3 # process tests at the same time; each starts up to ten processes
scripts/install.sh
scripts/build.sh plain
scripts/lint.sh
ctest --test-dir build --output-on-failure -j "$jobs"
scripts/demo.sh
scripts/build.sh asan
ctest --test-dir build-asan --output-on-failure -j "$jobs"
scripts/build.sh tsan
ctest --test-dir build-tsan --output-on-failure -j "$jobs"
if [ -e KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
