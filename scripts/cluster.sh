# Functions that start and stop a system of stand-ins and proxies. Other scripts source this file.
# The caller sets: bin (directory of the programs), work (an empty directory for logs and data), and
# optionally databases (names of the databases).
# This file sets: platform_url, proxy_port[i], proxy_pid[i], proxy_link[i], proxy_http[i],
# server_pid[id], server_port[id].

declare -A server_pid server_port
declare -a proxy_pid proxy_port proxy_link proxy_http started_pids
[ -n "${databases+set}" ] || databases=(rounds orders stock)
: "${SERVER_SLOTS:=3}" "${SERVER_CONNECTIONS:=25}" "${SERVER_CONNECT_DELAY_MS:=10}"
proxy_locations=("chc-1 canterbury" "dud-1 otago" "por-1 wellington")
token_key=demo-key-0123456789abcdef

# Starts a program in the background and waits up to 10 s for its line "listening ...".
# Usage: start NAME PROGRAM ARGS...; sets last_pid, and last_line to that line.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  last_pid=$!
  started_pids+=("$last_pid")
  for _ in $(seq 200); do
    last_line=$(grep -sm1 "^listening " "$work/$name.out" || true)
    [ -n "$last_line" ] && return 0
    kill -0 "$last_pid" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name ended or did not listen within 10 s; end of its log:" >&2
  tail -n 20 "$work/$name.log" >&2
  return 1
}

# Prints the numeric value of KEY in last_line. Usage: listening_field KEY
listening_field() { sed -n "s/.*\b$1=\([0-9]*\).*/\1/p" <<<"$last_line"; }

start_platform() {
  start platform "$bin/standin-platform" --port=0
  platform_url=http://127.0.0.1:$(listening_field port)
  export TOUCANCTL_PLATFORM_URL=$platform_url
}

# Starts one database server. Usage: start_server DATABASE NUMBER [PORT]
start_server() {
  local id=$1-$2
  mkdir -p "$work/data-$id"
  start "$id" "$bin/standin-db" --id="$id" --database="$1" --port="${3:-0}" \
    --data-dir="$work/data-$id" --slots="$SERVER_SLOTS" --connections="$SERVER_CONNECTIONS" \
    --connect-delay-ms="$SERVER_CONNECT_DELAY_MS"
  server_pid[$id]=$last_pid
  server_port[$id]=$(listening_field port)
}

# Starts one proxy, in the data centre that its number selects. Usage: start_proxy NUMBER
start_proxy() {
  local location
  read -ra location <<<"${proxy_locations[$(($1 % 3))]}"
  TOUCANRUN_TOKEN_KEY=$token_key start "proxy-$1" "$bin/toucanrund" --instance-id="proxy-$1" \
    --listen-port=0 --link-port=0 --http-port=0 --data-centre="${location[0]}" \
    --region="${location[1]}" --platform-url="$platform_url" --drain-notice-ms=200
  proxy_pid[$1]=$last_pid
  proxy_port[$1]=$(listening_field port)
  proxy_link[$1]=$(listening_field link)
  proxy_http[$1]=$(listening_field http)
}

# Replaces the platform's list of groups by all started servers.
publish_groups() {
  local groups="" database number location targets
  for database in "${databases[@]}"; do
    targets=""
    for number in 1 2 3; do
      read -ra location <<<"${proxy_locations[$((number - 1))]}"
      targets+="${targets:+,}{\"id\":\"$database-$number\",\"host\":\"127.0.0.1\",\"port\":${server_port[$database-$number]},\"data_centre\":\"${location[0]}\",\"region\":\"${location[1]}\",\"state\":\"live\"}"
    done
    groups+="${groups:+,}{\"name\":\"$database\",\"slots\":$SERVER_SLOTS,\"connections\":$SERVER_CONNECTIONS,\"targets\":[$targets]}"
  done
  curl -sf -X PUT -d "{\"groups\":[$groups]}" "$platform_url/admin/groups" >/dev/null
}

# Replaces the platform's list of instances by all started proxies.
publish_instances() {
  local instances="" i location
  for i in "${!proxy_port[@]}"; do
    read -ra location <<<"${proxy_locations[$((i % 3))]}"
    instances+="${instances:+,}{\"id\":\"proxy-$i\",\"link\":\"127.0.0.1:${proxy_link[$i]}\",\"data_centre\":\"${location[0]}\",\"region\":\"${location[1]}\",\"state\":\"live\"}"
  done
  curl -sf -X PUT -d "{\"instances\":[$instances]}" "$platform_url/admin/instances" >/dev/null
}

# Starts the platform, three servers for each database and four proxies.
start_all() {
  local database number
  start_platform
  for database in "${databases[@]}"; do
    for number in 1 2 3; do start_server "$database" "$number"; done
  done
  publish_groups
  start_proxies
}

# Starts four proxies and waits until each is ready and reports four live members.
start_proxies() {
  local i
  for i in 0 1 2 3; do start_proxy "$i"; done
  publish_instances
  for i in 0 1 2 3; do
    wait_for "proxy-$i ready" curl -sf -o /dev/null "http://127.0.0.1:${proxy_http[$i]}/health"
  done
  wait_for "members" members_alive 4
}

# Succeeds if exactly COUNT proxies run and each reports COUNT live members.
# Usage: members_alive COUNT
members_alive() {
  "$bin/toucanctl" status |
    awk -v want="$1" '$1 ~ /^proxy-/ {if ($NF == want) n++} END {exit n != want}'
}

# Repeats a command until it succeeds, at most 300 times with pauses of 0.1 s.
# Usage: wait_for WHAT COMMAND...
wait_for() {
  local what=$1
  shift
  for _ in $(seq 300); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "timed out waiting for: $what" >&2
  return 1
}

# Runs SQL through a proxy. Usage: sql PROXY DATABASE SQL [psql options]
sql() {
  local proxy=$1 database=$2 text=$3
  shift 3
  psql -X -q -t -A -v ON_ERROR_STOP=1 "$@" -c "$text" \
    "host=127.0.0.1 port=${proxy_port[$proxy]} user=demo dbname=$database connect_timeout=10"
}

# Removes a process that has ended from the list of stop_all, because its id may be reused for another
# process. Usage: untrack_process PID
untrack_process() {
  local pid kept=()
  wait "$1" 2>/dev/null || true
  for pid in "${started_pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
  started_pids=("${kept[@]}")
}

# Ends all processes that start() has started, and no others.
stop_all() {
  local pid
  for pid in "${started_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${started_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
