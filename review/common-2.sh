# Sourced by the scripts of review/6 to review/10. Starts the stand-in of the platform and one or more
# daemons on loopback addresses, and ends them when the script exits.
# Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d)
pids=()
: >"$record"

note() { printf '%s %s\n' "$(date +%T.%3N)" "$*" >>"$record"; }
cannot_run() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

finish() {
  code=$?
  trap - EXIT
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT

# Prints a port of 127.0.0.1 on which nothing listens.
free_port() {
  local port
  for _ in $(seq 100); do
    port=$((20000 + RANDOM % 10000))
    grep -qx "$port" "$work/ports" 2>/dev/null && continue
    if ! (exec 9<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$port" >>"$work/ports"
      echo "$port"
      return
    fi
  done
}

# Starts the platform, its store and the database servers: two services with three servers each.
start_platform() {
  [ -x "$root/build/standin-hosted" ] || cannot_run "build/standin-hosted is missing"
  [ -x "$root/target/toucanrund-hosted" ] || cannot_run "target/toucanrund-hosted is missing"
  "$root/build/standin-hosted" 1 >"$work/platform.out" 2>&1 &
  pids+=($!)
  for _ in $(seq 50); do
    [ "$(grep -c listening "$work/platform.out")" = 7 ] && break
    sleep 0.1
  done
  platform=$(sed -n 's/^listening http=//p' "$work/platform.out")
  [ -n "$platform" ] || cannot_run "the platform stand-in did not start"
  local group server port
  while IFS=- read -r group server port; do
    curl -s -X POST "http://127.0.0.1:$platform/test/advertise?group=$group&server=$server&port=$port" -d ''
  done < <(sed -n 's/^listening server\([0-9]*\)-\([0-9]*\)=\([0-9]*\)$/\1-\2-\3/p' "$work/platform.out")
}

# Starts the daemon with the settings of a small deployment. Sets frontend, readiness, daemon (its
# process id).
start_daemon() {
  frontend=$(free_port) readiness=$(free_port)
  local link metrics
  link=$(free_port) metrics=$(free_port)
  cat >"$work/node.yaml" <<SETTINGS
nodeName: "front-1"
role: "front"
machineClass: "front"
serves: ["front"]
ip: "127.0.0.1"
zone: "z0"
region: "r0"
zones: {z0: "r0", z1: "r0"}
bindAddrs: {frontend: "127.0.0.1:$frontend", readiness: "127.0.0.1:$readiness"}
portRange: [$link, $link]
limits: {cpuShare: 0.38, cpuCores: 1, memoryMb: 390, maxFds: 6450, linkMbps: 1500.0, diskMb: 0}
heartbeatMs: 1200
bounds: {drainMs: 7000, graceS: 6, stableMs: 5000, configApplyMs: 3000, fencingRequired: true}
platform: {address: "127.0.0.1:$platform"}
cloudApi: {address: "127.0.0.1:$platform", duties: ["promotion"]}
SETTINGS
  (cd "$root" && exec env TOUCANRUN_CONFIG="$work/node.yaml" TOUCANRUN_METRICS_PORT="$metrics" \
    target/toucanrund-hosted >"$work/daemon.out" 2>&1) &
  daemon=$!
  pids+=("$daemon")
  for _ in $(seq 150); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$readiness/v1/ready")" = 200 ] && return
    sleep 0.1
  done
  cannot_run "the daemon is not ready"
}

# Writes of the primary's log: "ID ITEM DATA" a line.
primary_log() { curl -s "http://127.0.0.1:$platform/test/log?group=${1:-0}"; }

# Opens a session with a database as file descriptor 5; fails if it is refused.
open_session() {
  exec 5<>"/dev/tcp/127.0.0.1/$frontend" || return 1
  printf 'START %s\r\n' "$1" >&5
  local line
  IFS= read -r -t 3 line <&5 || return 1
  [ "${line:0:5}" = READY ]
}
close_session() { exec 5<&- 5>&-; }

# Sends bytes on the session in one write and records them.
send_bytes() {
  note "client sends: $(printf '%b' "$1" | od -An -c | tr -s ' \n' ' ')"
  printf '%b' "$1" >"$work/bytes"
  cat "$work/bytes" >&5
}

# Reads lines until READY or the end of the connection, and records them.
read_answer() {
  local line
  answer=""
  while IFS= read -r -t 3 line <&5 2>/dev/null; do
    line=${line%$'\r'}
    note "client gets: $line"
    answer+="$line;"
    [ "${line:0:5}" = READY ] && return 0
  done
  note "client gets: end of the connection"
  return 1
}
