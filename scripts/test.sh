#!/usr/bin/env bash
# Installs missing packages, builds, and runs all checks: format, lint, all tests and the demo, then
# all tests with the address and undefined-behaviour sanitizers and with the thread sanitizer.
# Tests that KNOWN-RED.txt lists are skipped, and the file is printed at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=3 # tests that run at the same time; each process test starts up to ten processes
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
