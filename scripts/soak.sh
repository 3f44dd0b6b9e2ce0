#!/usr/bin/env bash
# Runs the soak test once for each seed from FIRST to LAST, several runs at a time.
# Usage: scripts/soak.sh FIRST LAST [SECONDS] [PARALLEL]
# The programs in build/ must be up to date and must not be rebuilt during the run. The log of each
# seed and the file "results" (one line "SEED EXIT_CODE" per seed) go to build/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:?first seed is missing}
last=${2:?last seed is missing}
seconds=${3:-15}
parallel=${4:-3} # each run uses up to ten processes and about one core
out=build/soak
mkdir -p "$out"
: >"$out/results"
export seconds out
run_one() {
  local code=0
  TOUCAN_SOAK_SEEDS="$1-$1" TOUCAN_SOAK_SECONDS="$seconds" \
    build/test_soak -tc="soak: promises*" >"$out/$1.log" 2>&1 || code=$?
  echo "$1 $code" >>"$out/results"
}
export -f run_one
seq "$first" "$last" | xargs -P "$parallel" -I{} bash -c 'run_one {}'
echo "$(awk '$2 == 0' "$out/results" | wc -l) passed, $(awk '$2 != 0' "$out/results" | wc -l) failed"
awk '$2 != 0 { print "failed: seed " $1 }' "$out/results"
! grep -q ' [^0]' "$out/results"
