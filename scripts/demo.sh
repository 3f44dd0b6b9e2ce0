#!/usr/bin/env bash
# Installs packages, builds, and demonstrates the proxies on this machine. Starts the stand-in
# platform, three databases with three servers each and four proxies. Writes through one proxy, reads
# through others, kills a primary, and writes and reads again. Exits 0 if every check passed.
# With --keep the system runs until Enter is pressed.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=0
case "${1:-}" in
  "") ;;
  --keep) keep=1 ;;
  *) echo "usage: scripts/demo.sh [--keep]" >&2; exit 2 ;;
esac

scripts/install.sh
scripts/build.sh plain toucanrund toucanctl standin-db standin-platform
bin=$PWD/build
work=$(mktemp -d)
. scripts/cluster.sh
finish() {
  code=$?
  stop_all
  if [ "$code" = 0 ]; then rm -rf "$work"; else echo "demo failed with exit code $code; logs are in $work" >&2; fi
}
trap finish EXIT

# Ends the demo with an error unless two values are equal. Usage: expect_equal WHAT ACTUAL EXPECTED
expect_equal() {
  if [ "$2" != "$3" ]; then
    echo "FAILED: $1: got \"$2\", expected \"$3\"" >&2
    exit 1
  fi
  echo "ok: $1: $2"
}

start_all
echo "started: 1 platform, 9 database servers, 4 proxies (ports ${proxy_port[*]})"

wait_for "first write" sql 0 rounds "create table if not exists callouts(id integer primary key, street text)"
sql 0 rounds "insert into callouts values (1, 'Percival Street, Rangiora')"
echo "wrote callout 1 through proxy-0"
expect_equal "read through proxy-1" "$(sql 1 rounds 'select street from callouts where id = 1')" "Percival Street, Rangiora"
expect_equal "read through proxy-3" "$(sql 3 rounds 'select count(*) from callouts')" "1"

primary=$("$bin/toucanctl" targets | awk '$1 == "rounds" && /primary/ {print $2; exit}')
kill -9 "${server_pid[$primary]}"
echo "killed the primary of rounds: $primary"
wait_for "write after failover" sql 2 rounds "insert into callouts values (2, 'High Street, Oxford') on conflict do nothing"
echo "wrote callout 2 through proxy-2 after the change of primary"
expect_equal "read of both callouts through proxy-0" "$(sql 0 rounds 'select group_concat(id) from (select id from callouts order by id)')" "1,2"
new=$("$bin/toucanctl" targets | awk '$1 == "rounds" && /primary/ {print $2; exit}')
echo "new primary of rounds: $new"

if [ "$keep" = 1 ]; then
  echo "connect with: psql 'host=127.0.0.1 port=${proxy_port[0]} user=demo dbname=rounds'"
  echo "operators:    $bin/toucanctl status --platform-url=$platform_url"
  echo "press Enter to stop"
  read -r _
fi
"$bin/toucanctl" status
kill "${proxy_pid[3]}"
code=0
wait "${proxy_pid[3]}" || code=$?
expect_equal "exit code of proxy-3 after SIGTERM" "$code" "0"
echo "demo finished"
