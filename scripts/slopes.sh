#!/usr/bin/env bash
# Measures how memory, CPU time and control traffic grow with the load, as used in docs/CAPACITY.md,
# with real processes on loopback. Prints one line of key=value pairs for each measurement. CPU times
# are user plus system time of a process.
# Usage: scripts/slopes.sh callers|statements|peers|servers|targets
# Environment: RATE (statements per second, default 1000), COUNTS (numbers of daemons for peers,
# default "4 8 16 32").
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-}
case "$what" in
  callers|statements|peers|servers|targets) ;;
  *) echo "usage: scripts/slopes.sh callers|statements|peers|servers|targets" >&2; exit 2 ;;
esac
scripts/build.sh plain toucanrund toucanctl toucan-load toucan-target-cost standin-db standin-platform
bin=$PWD/build
work=$(mktemp -d)
databases=(orders)
. scripts/cluster.sh
trap 'stop_all; rm -rf "$work"' EXIT
ulimit -n "$(ulimit -Hn)"

# CPU time and resident memory of a process. Usage: cpu_ms PID, rss_kb PID
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
# Prints the value of a metric of one proxy. Usage: metric PROXY NAME
metric() { curl -sf "http://127.0.0.1:${proxy_http[$1]}/metrics" | awk -v n="toucanrun_$2" '$1 == n {print $2}'; }
# Starts the platform, three servers for each database and COUNT proxies. Usage: start_with_proxies COUNT
start_with_proxies() {
  local i database number
  start_platform
  for database in ${databases[@]+"${databases[@]}"}; do
    for number in 1 2 3; do start_server "$database" "$number"; done
  done
  publish_groups
  for i in $(seq 0 $(($1 - 1))); do start_proxy "$i"; done
  publish_instances
  wait_for members members_alive "$1"
}

# Measures the memory of one proxy with 1,000 and 10,000 idle callers.
measure_callers() {
  local count before
  start_with_proxies 1
  before=$(rss_kb "${proxy_pid[0]}")
  for count in 1000 10000; do
    "$bin/toucan-load" --proxies="127.0.0.1:${proxy_port[0]}" --database=orders --callers="$count" \
      --short-rate=0 --duration-ms=6000 --deadline-ms=100 >/dev/null &
    local load=$!
    sleep 4.5
    echo "measure=callers callers=$count rss_kb=$(rss_kb "${proxy_pid[0]}") rss_kb_before=$before"
    wait "$load"
  done
}

# Measures the CPU time for short statements in the proxy that the callers connect to and in the
# database's owner: the same proxy (path=local) or another (path=forwarded). The same load directly at
# the server (path=direct) gives latencies to compare with.
measure_statements() {
  local owner entry rate=${RATE:-1000} seconds=10 entry_cpu_before owner_cpu_before path
  start_with_proxies 2
  wait_for table sql 0 orders "create table if not exists stock(id integer primary key, v text)"
  sql 0 orders "insert into stock values (1, 'kerb') on conflict do nothing"
  owner=$("$bin/toucanctl" targets --output=json | grep -o '"owner": *"proxy-[0-9]"' | head -1 | grep -o '[0-9]"' | tr -d '"')
  for path in local forwarded; do
    entry=$owner
    [ "$path" = forwarded ] && entry=$((1 - owner))
    entry_cpu_before=$(cpu_ms "${proxy_pid[$entry]}")
    owner_cpu_before=$(cpu_ms "${proxy_pid[$owner]}")
    result=$("$bin/toucan-load" --proxies="127.0.0.1:${proxy_port[$entry]}" --database=orders --callers=20 \
      --short-rate=$rate --short-sql="select v from stock where id = 1" --duration-ms=$((seconds * 1000 + 1000)) --deadline-ms=1000)
    echo "measure=statements path=$path entry_cpu_ms=$(awk "BEGIN {print $(cpu_ms "${proxy_pid[$entry]}") - $entry_cpu_before}")" \
      "owner_cpu_ms=$(awk "BEGIN {print $(cpu_ms "${proxy_pid[$owner]}") - $owner_cpu_before}") $result"
  done
  primary=$("$bin/toucanctl" targets | awk '$1 == "orders" && /primary/ {print $2; exit}')
  result=$("$bin/toucan-load" --proxies="127.0.0.1:${server_port[$primary]}" --options="-c group_term=1" --database=orders --callers=20 \
    --short-rate=$rate --short-sql="select v from stock where id = 1" --duration-ms=$((seconds * 1000 + 1000)) --deadline-ms=1000)
  echo "measure=statements path=direct $result"
}

# Measures the CPU time of relaying a target's answer as raw frames and as frames built from libpq's
# results.
measure_targets() {
  start_with_proxies 1
  primary=$("$bin/toucanctl" targets | awk '$1 == "orders" && /primary/ {print $2; exit}')
  for run in 1 2 3 4 5; do
    "$bin/toucan-target-cost" --port="${server_port[$primary]}" | sed "s/^/measure=targets run=$run /"
  done
}

# Measures the control traffic and CPU time of one daemon by the number of daemons, without databases.
measure_peers() {
  local count sent_before received_before cpu_before seconds=10
  databases=()
  for count in ${COUNTS:-4 8 16 32}; do
    started_pids=() proxy_pid=() proxy_port=() proxy_link=() proxy_http=()
    start_with_proxies "$count"
    sleep 3
    sent_before=$(metric 0 link_sent_bytes_total) received_before=$(metric 0 link_received_bytes_total) cpu_before=$(cpu_ms "${proxy_pid[0]}")
    sleep "$seconds"
    echo "measure=peers daemons=$count sent_bytes_per_s=$((($(metric 0 link_sent_bytes_total) - sent_before) / seconds))" \
      "received_bytes_per_s=$((($(metric 0 link_received_bytes_total) - received_before) / seconds))" \
      "cpu_ms_per_s=$(awk "BEGIN {print ($(cpu_ms "${proxy_pid[0]}") - $cpu_before) / $seconds}") rss_kb=$(rss_kb "${proxy_pid[0]}")"
    stop_all
  done
  started_pids=()
}

# Measures the CPU time of one daemon and the bytes on its control connections by the number of
# monitored servers, without load.
measure_servers() {
  local count cpu_before sent_before received_before seconds=10
  for count in 1 3 6; do
    databases=()
    for i in $(seq "$count"); do databases+=("db$i"); done
    started_pids=() proxy_pid=() proxy_port=() proxy_link=() proxy_http=()
    start_with_proxies 1
    sleep 3
    sent_before=$(metric 0 control_sent_bytes_total) received_before=$(metric 0 control_received_bytes_total) cpu_before=$(cpu_ms "${proxy_pid[0]}")
    sleep "$seconds"
    echo "measure=servers servers=$((count * 3)) sent_bytes_per_s=$((($(metric 0 control_sent_bytes_total) - sent_before) / seconds))" \
      "received_bytes_per_s=$((($(metric 0 control_received_bytes_total) - received_before) / seconds)) cpu_ms_per_s=$(awk "BEGIN {print ($(cpu_ms "${proxy_pid[0]}") - $cpu_before) / $seconds}") rss_kb=$(rss_kb "${proxy_pid[0]}")"
    stop_all
  done
  started_pids=()
}

echo "commit=$(git rev-parse --short HEAD) cores=$(nproc) load=$(cut -d' ' -f1 /proc/loadavg)"
"measure_$what"
