#!/usr/bin/env bash
# Plays the regression sites of scripts/regression-sites.txt with the users' bench: a full score of each, and
# with --hunt a hunt. Prints one table; writes it as JSON lines to the file given with --json.
# Usage: scripts/regress.sh KIT [--jobs N] [--hunt] [--why TEXT] [--json FILE]
#   KIT: directory of the users' pages, with the bench below it
set -euo pipefail
usage() {
  sed -n '2,5p' "$0" >&2
  exit 2
}
[ $# -ge 1 ] || usage
kit=$1
shift
jobs=3 hunt=0 why="regression run" json=/dev/null
while [ $# -gt 0 ]; do
  case "$1" in
    --hunt) hunt=1; shift; continue ;;
    --jobs | --why | --json) [ $# -ge 2 ] || usage ;;
    *) echo "scripts/regress.sh: unknown option \"$1\"" >&2; usage ;;
  esac
  case "$1" in
    --jobs) jobs=$2 ;;
    --why) why=$2 ;;
    --json) json=$2; : >"$json" ;;
  esac
  shift 2
done
case "$jobs" in
  '' | *[!0-9]* | 0) echo "scripts/regress.sh: --jobs takes a positive number, not \"$jobs\"" >&2; exit 2 ;;
esac
bench=$(find "$kit" -path '*/more/bench-*/bin/fleetbench' -type f | sort | tail -n 1)
[ -n "$bench" ] || { echo "scripts/regress.sh: no fleetbench below $kit" >&2; exit 2; }
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
failed=0
# One line for a verb that was played at a site: its closing lines decide.
report() {
  local verb=$1 site=$2 result
  result=$(grep -E '^GATE|with a rule broken$|^score on' "$log" | sed 's/^score on the standard days of //' |
    tr '\n' ';')
  printf '%-6s %-34s %s\n' "$verb" "$site" "${result:-no result}"
  printf '{"verb":"%s","site":"%s","result":"%s"}\n' "$verb" "$site" "${result:-no result}" >>"$json"
  case "$result" in
    *"GATE passed"* | *" 0 with a rule broken"*) ;;
    *) failed=1 ;;
  esac
}
while read -r site days; do
  case "$site" in '' | '#'*) continue ;; esac
  "$bench" score "$kit/$site" --jobs "$jobs" --why "$why" >"$log" 2>&1 || true
  report score "$site"
  [ "$hunt" = 1 ] || continue
  "$bench" hunt "$kit/$site" --days "$days" --jobs "$jobs" --why "$why" >"$log" 2>&1 || true
  report hunt "$site"
done <scripts/regression-sites.txt
exit "$failed"
