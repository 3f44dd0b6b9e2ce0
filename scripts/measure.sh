#!/usr/bin/env bash
# Runs one measurement with real processes on loopback and prints one line of key=value pairs for each
# run.
# Usage: scripts/measure.sh blocking|surge|failover|split|reads|learned [RUNS]   (default 5 runs)
#   blocking  latency of short requests beside long ones
#   surge     service while many callers reconnect at once
#   failover  time without writes after the loss of a primary
#   split     one owner per database against a fixed split of the connections between the proxies
#   reads     share of the reads that replicas serve
#   learned   latency of short requests beside long ones, with and without learned run times
# Environment:
#   POLICIES      policies of toucanrund for blocking, surge and reads (default "toucan")
#   PLACES        where long requests run, for blocking (default "primary replica")
#   LONG_CALLERS  numbers of callers with long requests, for blocking (default "0 1 3 9")
#   LAGS          replica lags in ms, for reads (default "0 100 1000 10000")
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-}
runs=${2:-5}
case "$what" in
  blocking|surge|failover|split|reads|learned) ;;
  *) echo "usage: scripts/measure.sh blocking|surge|failover|split|reads|learned [RUNS]" >&2; exit 2 ;;
esac
scripts/build.sh plain toucanrund toucanctl toucan-load toucan-relay standin-db standin-platform
bin=$PWD/build
work=$(mktemp -d)
# Sizes of KerbNet's servers: 2 slots, 30 connections, 25 ms to open a connection.
export SERVER_SLOTS=2 SERVER_CONNECTIONS=30 SERVER_CONNECT_DELAY_MS=25

. scripts/cluster.sh
databases=(orders)
trap 'stop_all; rm -rf "$work"' EXIT

# Prints the addresses of all proxies, separated by commas.
all_proxies() {
  local list="" port
  for port in "${proxy_port[@]}"; do list+="${list:+,}127.0.0.1:$port"; done
  echo "$list"
}

# Runs the load generator against all proxies. Usage: load OPTIONS...
load() { "$bin/toucan-load" --proxies="$(all_proxies)" --database=orders "$@"; }

# Applies rules for the tables of long requests and creates the tables.
apply_rules_and_create_tables() {
  cat >"$work/rules.txt" <<'R'
class database=orders table=ledger class=long    # reconciliation at the primary: accounts
class database=orders table=archive class=long   # reconciliation of old years: accounts
read  database=orders table=archive max_age=30s  # reconciliation of old years: accounts
R
  "$bin/toucanctl" rules apply "$work/rules.txt" --base=0 >/dev/null
  create_tables
}

create_tables() {
  wait_for "tables" sql 0 orders "create table if not exists ledger(id integer primary key, v text)"
  sql 0 orders "create table if not exists stock(id integer primary key, v text)"
  sql 0 orders "insert into stock values (1, 'kerb 915 mm') on conflict do nothing"
  sql 0 orders "insert into ledger values (1, 'x') on conflict do nothing"
  sql 0 orders "create table if not exists archive(id integer primary key, v text)"
  sql 0 orders "insert into archive values (1, 'x') on conflict do nothing"
}

# Short requests of 5 ms at 100/s run at the primary (2 slots), alone and beside long requests. The
# long requests run at the primary too (a statement that may write) or on replicas (a read that a rule
# allows there).
measure_blocking() {
  local run long at
  local -A sql_at=(
    [primary]="select sleep_ms(2000) from ledger"
    [replica]="with recursive n(i) as (select 1 union all select i + 1 from n where i < 3000000) select count(*) from n, archive"
  )
  for run in $(seq "$runs"); do
    for at in ${PLACES:-primary replica}; do
      for long in ${LONG_CALLERS:-0 1 3 9}; do
        echo "measure=blocking policy=$policy run=$run at=$at long=$long $(load --callers=40 --short-rate=100 \
          --short-sql='select sleep_ms(5) from stock' --long-callers="$long" \
          --long-sql="${sql_at[$at]}" --duration-ms=6000 --deadline-ms=2000 \
          --seed="$run" | tr '\n' ' ')"
      done
    done
  done
}

# Every caller connects within one second and sends one request. There are 5 or 20 times as many
# requests as 2 slots of 5 ms serve in that second. Refused requests are retried or not, in one case
# with their deadline sent along. In some cases the proxy that owns the database, or another one, is
# killed 0.5 s after the start.
measure_surge() {
  local run factor
  for run in $(seq "$runs"); do
    for factor in 5 20; do
      surge "$run" "$factor" stay-away none
      for killed in none owner other; do surge "$run" "$factor" return "$killed"; done
      surge "$run" "$factor" return none told
    done
  done
}

# Runs one surge and restarts the proxy that it killed.
# Usage: surge RUN FACTOR stay-away|return none|owner|other [told|untold]
surge() {
  local victim="" owner load_pid deadline=${5:-untold}
  owner=$("$bin/toucanctl" targets | awk '$1 == "orders" {print $NF; exit}')
  [ "$4" = owner ] && victim=${owner#proxy-}
  [ "$4" = other ] && victim=$(((${owner#proxy-} + 1) % 4))
  load --mode=surge --callers=$((400 * $2)) --short-sql='select sleep_ms(5) from stock' \
    --refused="$3" --deadline="$deadline" --duration-ms=2000 --deadline-ms=4000 --seed="$1" >"$work/load.out" &
  load_pid=$!
  if [ -n "$victim" ]; then
    sleep 0.5
    kill -9 "${proxy_pid[$victim]}"
  fi
  wait "$load_pid"
  echo "measure=surge policy=$policy run=$1 factor=$2 refused=$3 killed=$4 deadline=$deadline $(cat "$work/load.out")"
  [ -n "$victim" ] || return 0
  untrack_process "${proxy_pid[$victim]}"
  rm -f "$work/proxy-$victim.out" # has the "listening" line with the old ports
  start_proxy "$victim"
  publish_instances
  wait_for "proxy-$victim ready" curl -sf -o /dev/null "http://127.0.0.1:${proxy_http[$victim]}/health"
  wait_for "members" members_alive 4
  wait_for "service" sql "$victim" orders "select 1 from stock"
}

# Measures the time from the loss of the primary to the first acknowledged write of a caller that
# tries every 20 ms. Another caller writes without a pause from before the loss until then. Afterwards
# every acknowledged write is looked up. KILL kills the primary, STOP suspends its process, and CUT
# drops all traffic to and from it while it runs on.
measure_failover() {
  local run fault
  create_bookings
  for run in $(seq "$runs"); do
    for fault in KILL STOP; do failover "$run" "$fault" "${server_pid[$(primary_of orders)]}"; done
  done
  start_behind_relays
  create_bookings
  for run in $(seq "$runs"); do failover "$run" CUT "${relay_pid[$(primary_of orders)]}"; done
}

# Creates the table without a unique key, so that a write that ran twice leaves two rows.
create_bookings() {
  wait_for "bookings" sql 0 orders "create table if not exists bookings(id integer)"
}

# Prints the id of the primary of a database. Usage: primary_of DATABASE
primary_of() { "$bin/toucanctl" targets | awk -v db="$1" '$1 == db && /primary/ {print $2; exit}'; }

declare -A relay_pid
# Restarts the system with a relay in front of each server, which can drop the traffic.
start_behind_relays() {
  local number id
  stop_all
  started_pids=() proxy_pid=() proxy_port=() proxy_link=() proxy_http=()
  rm -rf "$work"/data-* "$work"/*.out
  start_platform
  for number in 1 2 3; do
    id=orders-$number
    start_server orders "$number"
    start "relay-$id" "$bin/toucan-relay" "${server_port[$id]}"
    relay_pid[$id]=$last_pid
    server_port[$id]=$(listening_field port)
  done
  publish_groups
  start_proxies
}

# Writes rows with ids above FIRST until the file "writing" is removed. Appends the ids of acknowledged
# writes to the file "acked".
# Usage: write_bookings_until_stopped FIRST
write_bookings_until_stopped() {
  local id=$1
  while [ -e "$work/writing" ]; do
    id=$((id + 1))
    sql 2 orders "insert into bookings values ($id)" >/dev/null 2>&1 && echo "$id" >>"$work/acked"
  done
  return 0
}

# Injects one fault, prints the result and restores the server.
# Usage: failover RUN KILL|STOP|CUT PID; PID is the primary's process, for CUT its relay's.
failover() {
  local run=$1 fault=$2 pid=$3 primary fault_ms first_write_ms id writer signal=$2
  primary=$(primary_of orders)
  [ "$fault" = CUT ] && signal=USR1
  id=$(date +%s%3N)0000 # above those of earlier runs
  : >"$work/acked"
  touch "$work/writing"
  write_bookings_until_stopped "$((id + 5000))" &
  writer=$!
  sleep 0.3
  fault_ms=$(date +%s%3N)
  kill "-$signal" "$pid"
  while true; do
    id=$((id + 1))
    sql 1 orders "insert into bookings values ($id)" >/dev/null 2>&1 && break
    sleep 0.02
  done
  first_write_ms=$(date +%s%3N)
  rm "$work/writing"
  wait "$writer"
  echo "$id" >>"$work/acked"
  sql 2 orders "select id, count(*) from bookings group by id" -F ' ' >"$work/found"
  echo "measure=failover run=$run fault=$fault gap_ms=$((first_write_ms - fault_ms)) $(awk '
    NR == FNR {times[$1] = $2; doubled += $2 > 1; next}
    {acked++; missing += !($1 in times)}
    END {printf "acked=%d missing=%d doubled=%d", acked, missing, doubled}' "$work/found" "$work/acked")"
  case $fault in
    KILL)
      untrack_process "$pid"
      start_server orders "${primary##*-}" "${server_port[$primary]}"
      ;;
    STOP) kill -CONT "$pid" ;;
    CUT) kill -USR2 "$pid" ;;
  esac
  wait_for "rejoin of $primary" sh -c "'$bin/toucanctl' targets | awk '\$2 == \"$primary\" && /replica/ {found = 1} END {exit !found}'"
}

# Starts four proxies that do not know each other, each with a quarter of the connections. Each proxy
# has its own platform, which lists only that proxy. A quarter of 2 slots is rounded up to 1.
start_split() {
  local i number location
  for number in 1 2 3; do start_server orders "$number"; done
  for i in 0 1 2 3; do
    start_platform
    SERVER_SLOTS=1 SERVER_CONNECTIONS=7 publish_groups
    start_proxy "$i"
    read -ra location <<<"${proxy_locations[$((i % 3))]}"
    curl -sf -X PUT -d "{\"instances\":[{\"id\":\"proxy-$i\",\"link\":\"127.0.0.1:${proxy_link[$i]}\",\"data_centre\":\"${location[0]}\",\"region\":\"${location[1]}\",\"state\":\"live\"}]}" \
      "$platform_url/admin/instances" >/dev/null
    wait_for "proxy-$i ready" curl -sf -o /dev/null "http://127.0.0.1:${proxy_http[$i]}/health"
    printf 'class database=orders table=ledger class=long # reconciliation: accounts\n' >"$work/rules.txt"
    "$bin/toucanctl" rules apply "$work/rules.txt" --base=0 >/dev/null
  done
}

# Compares one owner for the database with a fixed split of the connections, under the same load.
measure_split() {
  local run at
  for at in owner split; do
    stop_and_clear_all
    if [ "$at" = owner ]; then start_all; else start_split; fi
    if [ "$at" = owner ]; then apply_rules_and_create_tables; else create_tables; fi
    for run in $(seq "$runs"); do
      for long in 0 3; do
        echo "measure=split run=$run at=$at long=$long $(load --callers=40 --short-rate=200 \
          --short-sql='select sleep_ms(5) from stock' --long-callers="$long" \
          --long-sql='select sleep_ms(2000) from ledger' --duration-ms=6000 --deadline-ms=2000 \
          --seed="$run" | tr '\n' ' ')"
      done
    done
  done
}

# Prints the sum of a counter over all proxies. Usage: counter NAME
counter() {
  local port
  for port in "${proxy_http[@]}"; do curl -sf "http://127.0.0.1:$port/metrics"; done |
    awk -v name="toucanrun_$1" '$1 == name {sum += $2} END {print sum + 0}'
}

# Measures the share of reads that replicas serve, by their lag, the share of writes and the policy.
# 200 sessions send reads and writes at 100/s in total, so that the mean gap in a session is 2 s.
# "bound" is the share that the session guarantee allows; see replicaReadBound() in bench/load.h. A run
# is longer than the lag. It starts after the replicas have applied the writes of the previous run.
measure_reads() {
  local lag percent run duration primary replica
  for lag in ${LAGS:-0 100 1000 10000}; do
    STANDIN_DB_LAG_MS=$lag restart_all
    create_tables
    echo "read database=orders table=stock max_age=30s # stock may lag: depots" >"$work/rules.txt"
    "$bin/toucanctl" rules apply "$work/rules.txt" --base=0 >/dev/null
    duration=$((lag < 10000 ? 8000 : lag * 2))
    for percent in 1 10 30; do
      for run in $(seq "$runs"); do
        sleep "$((lag / 1000 + 1))"
        primary=$(counter pool_served_reads_primary_total)
        replica=$(counter pool_served_reads_replica_total)
        echo "measure=reads policy=$policy run=$run lag_ms=$lag writes=$percent% $(load \
          --callers=200 --short-rate=100 --short-sql='select v from stock where id = 1' \
          --write-percent="$percent" --write-sql="update stock set v = 'kerb %d' where id = 1" \
          --bound-lag-ms="$lag" --duration-ms="$duration" --deadline-ms=1000 --seed="$run") $(
          awk -v p="$primary" -v r="$replica" -v p2="$(counter pool_served_reads_primary_total)" \
            -v r2="$(counter pool_served_reads_replica_total)" 'BEGIN {
              p = p2 - p; r = r2 - r
              printf "reads=%d by_replica=%d share=%.4f", p + r, r, p + r ? r / (p + r) : 0 }')"
      done
    done
  done
}

# Runs short requests as in measure_blocking beside a statement of 2 s that no rule matches, with and
# without learned run times. The statement runs once before the measurement, so that its run time is
# known.
measure_learned() {
  local run at long
  for at in on off; do
    stop_and_clear_all
    export TOUCANRUN_LEARN=$at
    start_all
    create_tables
    sql 0 orders "create table if not exists journal(id integer primary key, v text)"
    sql 0 orders "insert into journal values (1, 'x') on conflict do nothing"
    sql 0 orders "select sleep_ms(2000) from journal" >/dev/null
    for run in $(seq "$runs"); do
      for long in 0 3; do
        echo "measure=learned run=$run at=$at long=$long $(load --callers=40 --short-rate=100 \
          --short-sql='select sleep_ms(5) from stock' --long-callers="$long" \
          --long-sql='select sleep_ms(2000) from journal' --duration-ms=6000 --deadline-ms=2000 \
          --seed="$run" | tr '\n' ' ')"
      done
    done
  done
}

# Stops all processes and removes their data.
stop_and_clear_all() {
  stop_all
  started_pids=() proxy_pid=() proxy_port=() proxy_link=() proxy_http=()
  rm -rf "$work"/data-*
}

restart_all() {
  stop_and_clear_all
  start_all
}

if [ "$what" = split ] || [ "$what" = learned ]; then
  start_platform
elif [ "$what" = failover ]; then
  start_all
  apply_rules_and_create_tables
fi
echo "commit=$(git rev-parse --short HEAD) cores=$(nproc) load=$(cut -d' ' -f1 /proc/loadavg)"
case "$what" in
  split | failover | learned) "measure_$what" ;;
  *)
    for policy in ${POLICIES:-toucan}; do
      export TOUCANRUN_POLICY=$policy
      if [ "$what" != reads ]; then
        restart_all
        apply_rules_and_create_tables
      fi
      "measure_$what"
    done
    ;;
esac
