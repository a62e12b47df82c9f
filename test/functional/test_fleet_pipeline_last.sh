#!/usr/bin/env bash
# Guards against requests that are passed on behind a response that ends their connection, so
# that they run and their responses are dropped: the route is idempotent, the response has no
# length and is read late.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"
HUGE_BYTES=$((12 * 1024 * 1024)) # fake-raw-backend's HUGE_BYTES
ROUNDS=5
BEFORE_READING=0.2

wait_for 10 put "$(config 00000006 idempotent /x/)"
wait_for 10 logged 'event=config_in_force version=6' router-1

text() { printf 'GET /x/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n' "$1" "$2"; }
ended() { logged "event=request_ended id=$1 " router-1; }

# last N: the second request comes while the first one's response is written.
last() {
  exec {caller}<>"/dev/tcp/$(router_address 1)/$REQUESTS_PORT"
  text huge-close "last-1-$1" >&"$caller"
  wait_for 10 ended "last-1-$1"
  text length "last-2-$1" >&"$caller"
  sleep $BEFORE_READING
  timeout 20 cat <&"$caller" >"$FOLDER/piped" 2>/dev/null || fail "last-$1: its connection ends by an error"
  exec {caller}>&-
  sed '1,/^\r$/d' "$FOLDER/piped" >"$FOLDER/after-head"
  [ "$(stat -c %s "$FOLDER/after-head")" = $HUGE_BYTES ] || fail "last-$1: not the first response alone"
}
for round in $(seq $ROUNDS); do last "$round"; done
ran=$(grep -c '^last-2-' "$FOLDER/runs" || true)
[ "$ran" = 0 ] || fail "$ran of $ROUNDS requests ran behind a response that ends their connection"

# Such requests overlap where the responses keep the connection.
exec {caller}<>"/dev/tcp/$(router_address 1)/$REQUESTS_PORT"
{ text length kept-1; text length kept-2; } >&"$caller"
wait_for 10 ended kept-2
exec {caller}>&-
echo 'good: requests behind a last response'
