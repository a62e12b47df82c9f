#!/usr/bin/env bash
# Guards against requests of a connection that wait for those before them, responses out of
# order, requests that may run once and run beside others, and pipelined requests that a
# planned stop cuts.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
GRACE=6s
REQUEST_TIMEOUT=5

# send NAME METHOD PATH...: send requests NAME-1, NAME-2, ... on one connection at once, which
# stays open as file descriptor $connection.
send() {
  local name=$1 method=$2 n=0 text='' last
  shift 2
  last=$#
  for path in "$@"; do
    n=$((n + 1))
    text+="$method $path HTTP/1.1"$'\r\n'"Host: a.example"$'\r\n'"Request-Id: $name-$n"$'\r\n'
    text+="Deadline-Ms: 9000"$'\r\n'
    [ "$method" = GET ] || text+="Content-Length: 0"$'\r\n'
    [ $n != "$last" ] || [ -n "${KEEP_OPEN:-}" ] || text+="Connection: close"$'\r\n'
    text+=$'\r\n'
  done
  exec {connection}<>"/dev/tcp/$(router_address 1)/$REQUESTS_PORT"
  printf '%s' "$text" >&"$connection"
}
hang_up() { exec {connection}>&-; }
# pipeline NAME METHOD PATH...: the same; the answers go to FOLDER/NAME.
pipeline() {
  send "$@"
  timeout 12 cat <&"$connection" >"$FOLDER/$1" &
  READER=$!
  hang_up
}
reached() { grep -q "^$1 " "$FOLDER/reached"; }
# answers NAME: the ids of the answers, in order.
answers() { tr -d '\r' <"$FOLDER/$1" | sed -n 's/^Request-Id: //ip' | xargs; }
whole() { [ "$(grep -o 'HTTP/1.1 200' "$FOLDER/$1" | wc -l)" = "$2" ]; }

TIMEOUT=9s fleet_start

# The second and third requests are served while the first one runs.
pipeline beside GET /x/held /x/2 /x/3
wait_for $REQUEST_TIMEOUT reached beside-1
wait_for $REQUEST_TIMEOUT reached beside-2
wait_for $REQUEST_TIMEOUT reached beside-3
touch "$FOLDER/release"
wait $READER
[ "$(answers beside)" = 'beside-1 beside-2 beside-3' ] || fail "answered: $(answers beside)"
whole beside 3 || fail 'not all were served'
rm "$FOLDER/release"

# A refused request keeps its place, and what follows is served.
pipeline refused GET /x/held /none/2 /x/3
wait_for $REQUEST_TIMEOUT reached refused-3
touch "$FOLDER/release"
wait $READER
[ "$(answers refused)" = 'refused-1 refused-2 refused-3' ] || fail "answered: $(answers refused)"
rm "$FOLDER/release"

# A caller who leaves takes all its requests along.
send gone GET /x/held /x/held
wait_for $REQUEST_TIMEOUT reached gone-2
hang_up
ended() { [ "$(grep -c 'event=request_ended id=gone-[12] outcome=gone' "$FOLDER/router-1.log")" = 2 ]; }
wait_for $REQUEST_TIMEOUT ended

# A planned stop: both are answered, and the connection ends after the last one.
KEEP_OPEN=1 pipeline stop GET /x/held /x/held
wait_for $REQUEST_TIMEOUT reached stop-2
kill -TERM "${PIDS[router-1]}"
stopping() { ! ready 1; }
wait_for $REQUEST_TIMEOUT stopping
touch "$FOLDER/release"
wait $READER || fail 'the connection did not end'
[ "$(answers stop)" = 'stop-1 stop-2' ] || fail "answered: $(answers stop)"
whole stop 2 || fail 'not all were served'
wait "${PIDS[router-1]}" || fail 'a router did not stop cleanly'
unset 'PIDS[router-1]'
rm "$FOLDER/release"
start_vm router 1
wait_for 10 served 1

# A request that may run once waits for its turn.
wait_for 10 put "$(TIMEOUT=9s config 00000006 non_idempotent /y/)"
routed() { [ "$(request 1 /y/1 "id-$RANDOM$RANDOM")" = 200 ]; }
wait_for 10 routed
pipeline once POST /y/held /y/2
wait_for $REQUEST_TIMEOUT reached once-1
request 1 /y/other-connection after-1 >"$FOLDER/status" # served meanwhile
! reached once-2 || fail 'a request that may run once ran beside another'
touch "$FOLDER/release"
wait $READER
[ "$(answers once)" = 'once-1 once-2' ] || fail "answered: $(answers once)"
[ "$(grep -c '^once-' "$FOLDER/runs")" = 2 ] || fail 'a request ran twice'
echo 'good: pipelined requests'
