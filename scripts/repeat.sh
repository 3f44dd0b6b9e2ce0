#!/usr/bin/env bash
# Plays one day of a site several times with the users' bench and prints how often which rule broke. One
# play of a day does not show a fault that needs a rare timing.
# Usage: scripts/repeat.sh KIT SITE DAY PLAYS [--seeds S,S,...] [--jobs N] [--why TEXT] [--keep DIR]
#   KIT: directory of the users' pages, with the bench below it; SITE: site file below KIT
#   DAY: name of a day of the site, or a TOML file
#   --seeds: play the day PLAYS times with each of these seeds in place of its own one
#   --keep: directory for the logs of broken and failed plays (default: a new one below the temporary directory)
# Exit code: 0 no rule broke, 1 a rule broke or a play gave no result, 2 wrong use.
set -euo pipefail
usage() {
  [ $# -eq 0 ] || echo "scripts/repeat.sh: $*" >&2
  sed -n '4,9p' "$0" >&2
  exit 2
}
[ $# -ge 4 ] || usage
kit=$1 site=$2 day=$3 plays=$4
shift 4
seeds=own jobs=3 why="repeated play" keep=""
while [ $# -gt 0 ]; do
  case "$1" in
    --seeds | --jobs | --why | --keep) [ $# -ge 2 ] || usage "$1 needs a value" ;;
    *) usage "unknown option \"$1\"" ;;
  esac
  case "$1" in
    --seeds) seeds=$2 ;;
    --jobs) jobs=$2 ;;
    --why) why=$2 ;;
    --keep) keep=$2 ;;
  esac
  shift 2
done
for number in "$plays" "$jobs"; do
  case "$number" in '' | *[!0-9]* | 0) usage "\"$number\" is not a positive number" ;; esac
done
[ -f "$kit/$site" ] || usage "no site file $kit/$site"
bench=$(find "$kit" -path '*/more/bench-*/bin/fleetbench' -type f | sort | tail -n 1)
[ -n "$bench" ] || usage "no fleetbench below $kit"
cd "$(dirname "$0")/.."
if [ -n "$keep" ]; then mkdir -p "$keep"; else keep=$(mktemp -d); fi
"$bench" build >"$keep/build.log" 2>&1 || { tail -n 20 "$keep/build.log" >&2; exit 1; }

# Plays the day once. Leaves the log, without the lines of the processes where no rule broke.
play() {
  local seed=$1 number=$2 log="$keep/seed-$1-play-$2.log" options=()
  [ "$seed" = own ] || options=(--seed "$seed")
  "$bench" run "$kit/$site" "$day" ${options[@]+"${options[@]}"} --log all --why "$why" >"$log" 2>&1 || true
  if grep -q '^worth ' "$log" && ! grep -q '^rules broken: ' "$log"; then
    sed -n '/^day  /,$p' "$log" >"$log.end" && mv "$log.end" "$log"
  fi
}
export -f play
export bench kit site day why keep
for seed in ${seeds//,/ }; do
  seq "$plays" | xargs -P "$jobs" -I{} bash -c 'play "$0" {}' "$seed"
done

failed=0
printf '%-22s %5s %6s %9s  %s\n' seed plays broken "no result" "rules (plays that broke each)"
for seed in ${seeds//,/ }; do
  # grep exits with 1 where no file matches.
  broken=$({ grep -l '^rules broken: ' "$keep/seed-$seed-play-"*.log || true; } | wc -l)
  none=$({ grep -L -E '^(rules broken: |worth )' "$keep/seed-$seed-play-"*.log || true; } | wc -l)
  rules=$({ grep -h '^rules broken: ' "$keep/seed-$seed-play-"*.log || true; } | { grep -oE '[A-Z]{3,}' || true; } |
    sort | uniq -c | awk '{printf "%s %s  ", $2, $1}')
  printf '%-22s %5s %6s %9s  %s\n' "$seed" "$plays" "$broken" "$none" "${rules:--}"
  [ "$broken" = 0 ] && [ "$none" = 0 ] || failed=1
done
[ "$failed" = 0 ] || echo "logs: $keep"
exit "$failed"
