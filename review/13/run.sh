#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes record.txt.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review-3/case-13
if [ ! -x "$program" ] || [ ! -x target/toucanrund-hosted ]; then
  echo "build the deploy file and review/build-3.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
timeout -k 2 110 "$program" "$temporary" "$folder/record.txt"
result=$?
rm -rf "$temporary"
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
