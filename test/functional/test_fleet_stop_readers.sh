#!/usr/bin/env bash
# Guards against answers that a planned stop cuts because their callers read them late, and
# against a router that stops before the grace is nearly over with such answers in delivery.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
GRACE=6s
CALLERS=6
LARGE_BYTES=$((3 * 1024 * 1024)) # fake-platform's LARGE_BYTES
BEFORE_SECOND=1.8
BEFORE_READING=0.3

text() { printf 'GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 9000\r\n\r\n' "$1" "$2"; }

# caller NAME: connects before the stop, asks for a large answer when it has begun, sends a
# further request, and only then reads.
caller() {
  local name=$1 connection
  trap '' PIPE
  exec {connection}<>"/dev/tcp/$(router_address 1)/$REQUESTS_PORT"
  touch "$FOLDER/$name-connected"
  until [ -e "$FOLDER/stopping" ]; do sleep 0.02; done
  text /x/large "$name-1" >&"$connection"
  sleep $BEFORE_SECOND
  text /x/2 "$name-2" >&"$connection" || true
  sleep $BEFORE_READING
  timeout 10 cat <&"$connection" >"$FOLDER/$name" || echo 'broken off' >"$FOLDER/$name-ended"
}
# The answer's bytes are letters that no head has so often.
whole() { [ "$(tr -cd l <"$FOLDER/$1" | wc -c)" -ge $LARGE_BYTES ] && [ ! -e "$FOLDER/$1-ended" ]; }
connected() { [ "$(find "$FOLDER" -name 'reader*-connected' | wc -l)" = $CALLERS ]; }
stopping() { ! ready 1; }

TIMEOUT=9s fleet_start
READERS=()
for n in $(seq $CALLERS); do
  caller "reader$n" &
  READERS+=($!)
done
wait_for 5 connected
kill -TERM "${PIDS[router-1]}"
wait_for 5 stopping
touch "$FOLDER/stopping"
for reader in "${READERS[@]}"; do wait "$reader" || true; done
cut=0
for n in $(seq $CALLERS); do
  whole "reader$n" || cut=$((cut + 1))
done
[ "$(grep -c '^reader[0-9]*-1 ' "$FOLDER/runs")" = $CALLERS ] || fail 'not all were run'
[ $cut = 0 ] || fail "$cut of $CALLERS answers were cut"
! grep -q -- 'reader[0-9]*-2 ' "$FOLDER/runs" || fail 'a request behind an answer that closes was run'
wait "${PIDS[router-1]}" || fail 'a router did not stop cleanly'
unset 'PIDS[router-1]'
echo 'good: callers that read late in a planned stop'
