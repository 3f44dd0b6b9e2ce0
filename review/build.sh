#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build target -j6 --target standin-hosted
