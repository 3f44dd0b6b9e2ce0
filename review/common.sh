# Functions of the review's scripts: a deployment of four daemons before the project's own stand-in
# for the platform and its database servers. Only bash, coreutils and the loopback range are used.
# A script sets CASE (its folder) before it reads this file.

ROOT=$(cd "$CASE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
DAEMONS=(1 2 3 4)
MEMORY_MB=373 # limits.memoryMb of the smallest machines of waitaha-gutters-grown
WORK=$(mktemp -d)
declare -A PID STARTS
STANDIN=

now_ms() { date +%s%3N; }
BEGAN=$(now_ms)
note() { printf '%6d ms  %s\n' $(($(now_ms) - BEGAN)) "$*" >>"$RECORD"; }

stop_all() {
  trap - EXIT
  local child
  for child in $(jobs -p); do kill -KILL -- "-$child" || kill -KILL "$child"; done 2>/dev/null
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT
cannot_run() {
  note "the case cannot run: $*"
  echo "the case cannot run: $*" >&2
  exit 2
}

# http METHOD HOST PORT PATH: prints the status code.
http() {
  local status=
  exec {sock}<>"/dev/tcp/$2/$3" || return 1
  printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' "$1" "$4" "$2" >&"$sock"
  read -r -t 3 _ status _ <&"$sock"
  exec {sock}>&-
  echo "$status"
}

is_free() { ! (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# Each daemon has an address of its own and the same ports, as on the machines of a deployment.
daemon_ip() { echo "127.0.0.$((10 + $1))"; }

choose_ports() {
  local try port
  for try in {1..50}; do
    port=$((20000 + RANDOM % 10000))
    local free=1 d
    for d in "${DAEMONS[@]}"; do
      for offset in 0 1 2; do is_free "$(daemon_ip "$d")" $((port + offset)) || free=0; done
    done
    [ $free = 1 ] && CALLERS=$port READINESS=$((port + 1)) METRICS=$((port + 2)) && return 0
  done
  return 1
}

# Starts the stand-in. DELAY_MS is added to each statement: the way to a server of another region.
start_platform() {
  local delay=$1 line group server
  "$ROOT/target/standin-hosted" 1 >"$WORK/standin.out" 2>&1 &
  STANDIN=$!
  for _ in {1..50}; do
    [ "$(grep -c listening "$WORK/standin.out")" = 7 ] && break
    sleep 0.1
  done
  PLATFORM=$(sed -n 's/^listening http=//p' "$WORK/standin.out")
  [ -n "$PLATFORM" ] || cannot_run "the stand-in does not start"
  while read -r line; do
    [[ $line =~ server([0-9])-([0-9])=([0-9]+) ]] || continue
    group=${BASH_REMATCH[1]} server=${BASH_REMATCH[2]}
    http POST 127.0.0.1 "$PLATFORM" "/test/server?group=$group&server=$server&lose=0&fail=0&extra=$delay" >/dev/null
    http POST 127.0.0.1 "$PLATFORM" "/test/advertise?group=$group&server=$server&port=${BASH_REMATCH[3]}" >/dev/null
  done <"$WORK/standin.out"
}

start_daemon() {
  local d=$1 ip
  ip=$(daemon_ip "$d")
  cat >"$WORK/$d.yaml" <<YAML
nodeName: "front-z$((d % 2))-$d"
role: "front"
zone: "z$((d % 2))"
zones: {z0: "r0", z1: "r1"}
ip: "$ip"
bindAddrs: {frontend: "$ip:$CALLERS", readiness: "$ip:$READINESS"}
limits: {cpuShare: 0.28, cpuCores: 1, memoryMb: $MEMORY_MB, maxFds: 8192}
bounds: {drainMs: 10000, graceS: 6, stableMs: 6000, fencingRequired: true}
platform: {address: "127.0.0.1:$PLATFORM"}
cloudApi: {address: "127.0.0.1:$PLATFORM"}
YAML
  STARTS[$d]=$((${STARTS[$d]:-0} + 1))
  TOUCANRUN_CONFIG=$WORK/$d.yaml TOUCANRUN_METRICS_PORT=$METRICS "$ROOT/target/toucanrund-hosted" \
    >"$WORK/$d-${STARTS[$d]}.log" 2>&1 &
  PID[$d]=$!
}

# Waits until a daemon is ready. Its second argument is a limit in seconds.
await_ready() {
  local end=$(($(now_ms) + $2 * 1000))
  while [ "$(now_ms)" -lt $end ]; do
    [ "$(http GET "$(daemon_ip "$1")" "$READINESS" /v1/ready 2>/dev/null)" = 200 ] && return 0
    sleep 0.2
  done
  return 1
}

# Starts the platform, its servers and the daemons, and waits until traffic may start.
start_deployment() {
  local d
  : >"$RECORD"
  [ -x "$ROOT/target/toucanrund-hosted" ] && [ -x "$ROOT/target/standin-hosted" ] ||
    cannot_run "the programs are not built"
  choose_ports || cannot_run "no free ports"
  start_platform "$1"
  for d in "${DAEMONS[@]}"; do start_daemon "$d"; done
  sleep 10
  for d in "${DAEMONS[@]}"; do await_ready "$d" 10 || cannot_run "daemon $d is not ready"; done
  note "four daemons are ready"
}

# A sound client with a session of its own: sends a write, waits for its answer, and goes on. Records
# each write. After its connection has ended it opens another one.
run_client() {
  local d=$1 database=$2 number=0 line answer
  while :; do
    if ! exec {session}<>"/dev/tcp/$(daemon_ip "$d")/$CALLERS"; then
      sleep 0.2
      continue
    fi 2>/dev/null
    printf 'START %s client%s\r\n' "$database" "$d" >&"$session"
    read -r -t 3 line <&"$session"
    while [[ $line == READY* ]]; do
      number=$((number + 1))
      note "client of daemon $d sends c$d-$number WRITE item$d v$number"
      printf 'QUERY c%s-%s WRITE item%s v%s\r\n' "$d" "$number" "$d" "$number" >&"$session" || break
      answer= line=
      while read -r -t 6 line <&"$session"; do
        line=${line%$'\r'}
        [[ $line == READY* ]] && break
        answer+="$line; "
      done
      if [[ $line != READY* ]]; then
        note "client of daemon $d: the connection ends without an answer to c$d-$number"
        break
      fi
      note "client of daemon $d gets for c$d-$number: ${answer}$line"
      sleep 0.2
    done 2>/dev/null
    exec {session}>&-
    sleep 0.2
  done
}
