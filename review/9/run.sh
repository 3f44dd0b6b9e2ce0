#!/usr/bin/env bash
# A message with a bare LF in it must not become two messages.
set -uo pipefail
. "$(dirname "$0")/../common-2.sh"

start_platform
start_daemon

# One plain write first, so that the daemon has connections to the primary.
open_session primary0 || cannot_run "no session"
send_bytes 'QUERY 00000000000000a1 WRITE k0 first\r\n'
read_answer || cannot_run "the plain write was not answered"
close_session

for n in 1 2 3 4 5; do
  open_session primary0 || cannot_run "no session"
  if [ "$trouble" = 1 ]; then
    send_bytes "QUERY 00000000000000b$n READ k0\\nQUERY 00000000000000c$n WRITE k$n smuggled\\r\\n"
  else
    send_bytes "QUERY 00000000000000b$n READ k0\\r\\n"
  fi
  while read_answer; do :; [ "$trouble" = 0 ] && break; done
  close_session
  sleep 0.3
done

sleep 1
primary_log 0 >"$work/log" || cannot_run "the log of the primary was not read"
grep -q '^00000000000000a1 ' "$work/log" || cannot_run "the plain write is not in the log of the primary"
while read -r line; do note "server ran and committed: $line"; done <"$work/log"
kill -0 "$daemon" 2>/dev/null || note "the daemon has ended"
if grep -q '^00000000000000c' "$work/log"; then
  note "UNASKED: $(grep -c '^00000000000000c' "$work/log") writes ran whose id no client sent as a request"
  exit 1
fi
note "held"
exit 0
