#!/usr/bin/env bash
# Measures blocking of short work behind long work (by rule and learned), service in a reconnect surge, and the failover
# gap, with real processes on loopback. Prints one line of key=value pairs a run.
# Usage: scripts/measure.sh blocking|surge|failover|split|learned [RUNS]   (default 5 runs)
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-}
runs=${2:-5}
case "$what" in
  blocking|surge|failover|split|learned) ;;
  *) echo "usage: scripts/measure.sh blocking|surge|failover|split|learned [RUNS]" >&2; exit 2 ;;
esac
scripts/build.sh plain toucanrund toucanctl toucan-load standin-db standin-platform
bin=$PWD/build
work=$(mktemp -d)
# KerbNet's sizes: 2 slots, 30 connections, 25 ms for a connection.
export SERVER_SLOTS=2 SERVER_CONNECTIONS=30 SERVER_CONNECT_DELAY_MS=25

. scripts/cluster.sh
databases=(orders)
trap 'stop_all; rm -rf "$work"' EXIT

all_proxies() {
  local list="" port
  for port in "${proxy_port[@]}"; do list+="${list:+,}127.0.0.1:$port"; done
  echo "$list"
}

load() { "$bin/toucan-load" --proxies="$(all_proxies)" --database=orders "$@"; }

prepare() {
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

# Short lookups of 5 ms at 100/s at the primary (2 slots), alone and beside long work, which runs
# at the primary too (a statement that may write) or on replicas (a read that a rule allows there).
measure_blocking() {
  local run long at
  local -A sql_at=(
    [primary]="select sleep_ms(2000) from ledger"
    [replica]="with recursive n(i) as (select 1 union all select i + 1 from n where i < 3000000) select count(*) from n, archive"
  )
  for run in $(seq "$runs"); do
    for at in ${PLACES:-primary replica}; do
      for long in 0 1 3 9; do
        echo "measure=blocking run=$run at=$at long=$long $(load --callers=40 --short-rate=100 \
          --short-sql='select sleep_ms(5) from stock' --long-callers="$long" \
          --long-sql="${sql_at[$at]}" --duration-ms=6000 --deadline-ms=2000 \
          --seed="$run" | tr '\n' ' ')"
      done
    done
  done
}

# Every caller connects within one second and asks once; 5 and 20 times what 2 slots of 5 ms serve.
measure_surge() {
  local run factor
  for run in $(seq "$runs"); do
    for factor in 5 20; do
      echo "measure=surge run=$run factor=$factor $(load --mode=surge --callers=$((400 * factor)) \
        --short-sql='select sleep_ms(5) from stock' --duration-ms=6000 --deadline-ms=4000 \
        --seed="$run")"
    done
  done
}

# Time from the loss of the primary to the first acknowledged write, seen by a caller that tries
# each 20 ms; then every acknowledged write is looked up.
measure_failover() {
  local run how primary pid began now acked missing id
  sql 0 orders "create table if not exists bookings(id integer primary key)"
  for run in $(seq "$runs"); do
    for how in KILL STOP; do
      primary=$("$bin/toucanctl" targets |
        awk '$1 == "orders" && /primary/ {print $2; exit}')
      pid=${server_pid[$primary]}
      acked=()
      kill "-$how" "$pid"
      began=$(date +%s%3N)
      id=$((run * 1000))
      [ "$how" = STOP ] && id=$((run * 1000 + 500))
      while true; do
        id=$((id + 1))
        if sql 1 orders "insert into bookings values ($id)" >/dev/null 2>&1; then
          acked+=("$id")
          break
        fi
        sleep 0.02
      done
      now=$(date +%s%3N)
      missing=0
      for id in "${acked[@]}"; do
        [ "$(sql 2 orders "select count(*) from bookings where id = $id")" = 1 ] || missing=$((missing + 1))
      done
      echo "measure=failover run=$run fault=$how gap_ms=$((now - began)) missing=$missing"
      if [ "$how" = KILL ]; then
        start_server orders "${primary##*-}" "${server_port[$primary]}"
      else
        kill -CONT "$pid"
      fi
      wait_for "rejoin of $primary" sh -c "'$bin/toucanctl' targets | awk '\$2 == \"$primary\" && /replica/ {found = 1} END {exit !found}'"
    done
  done
}

# Starts four proxies that do not know each other, each with a share of the connections: every one
# has a platform of its own that lists only it. A share of 2 slots is rounded up to 1.
start_split() {
  local i number place
  for number in 1 2 3; do start_server orders "$number"; done
  for i in 0 1 2 3; do
    start_platform
    SERVER_SLOTS=1 SERVER_CONNECTIONS=7 publish_groups
    start_proxy "$i"
    read -ra place <<<"${places[$((i % 3))]}"
    curl -sf -X PUT -d "{\"instances\":[{\"id\":\"proxy-$i\",\"link\":\"127.0.0.1:${proxy_link[$i]}\",\"data_centre\":\"${place[0]}\",\"region\":\"${place[1]}\",\"state\":\"live\"}]}" \
      "$platform_url/admin/instances" >/dev/null
    wait_for "proxy-$i ready" curl -sf -o /dev/null "http://127.0.0.1:${proxy_http[$i]}/health"
    printf 'class database=orders table=ledger class=long # reconciliation: accounts\n' >"$work/rules.txt"
    "$bin/toucanctl" rules apply "$work/rules.txt" --base=0 >/dev/null
  done
}

# One owner for the database against a static split of the connections, the same load on both.
measure_split() {
  local run at
  for at in owner split; do
    stop_all
    all_pids=() proxy_pid=() proxy_port=() proxy_link=() proxy_http=()
    rm -rf "$work"/data-*
    if [ "$at" = owner ]; then start_all; else start_split; fi
    if [ "$at" = owner ]; then prepare; else create_tables; fi
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

# Short lookups as in measure_blocking beside a statement of 2 s that no rule names, with and without
# learned run times. The first seconds, in which the statement is not known yet, are not measured.
measure_learned() {
  local run at long
  for at in on off; do
    stop_all
    all_pids=() proxy_pid=() proxy_port=() proxy_link=() proxy_http=()
    rm -rf "$work"/data-*
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

if [ "$what" = split ] || [ "$what" = learned ]; then
  start_platform
else
  start_all
  prepare
fi
echo "commit=$(git rev-parse --short HEAD) cores=$(nproc) load=$(cut -d' ' -f1 /proc/loadavg)"
"measure_$what"
