#!/usr/bin/env bash
# Guards against a router that reads a backend server's record after it was
# freed: the server left the list before it answered its last request.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; done
start_vm router 1
TIMEOUT=10s
wait_for 15 put "$(config 00000005 idempotent /x/)"
served() { [ "$(request 1 /x/1 "id-$RANDOM$RANDOM")" = 200 ]; }
wait_for 10 served
sent_to() { sed -nE "/event=request_sent .*id=$1 /{s/.* backend=([^ ]+).*/\1/p;q}" "$FOLDER/router-1.log" | grep .; }
listed() { grep 'event=backends_in_force' "$FOLDER/router-1.log" | tail -n 1 | grep -q " backends=$1 "; }

# A request is held at a backend server that leaves the list.
DEADLINE_MSEC=10000 request 1 /x/held held -m 12 >"$FOLDER/status" &
CALLER=$!
wait_for 5 sent_to held
BACKEND=$(sent_to held)
echo "$BACKEND" >"$FOLDER/gone"
wait_for 10 listed 5
touch "$FOLDER/release"
wait "$CALLER" || fail "the router did not answer: $(grep -m 1 SUMMARY "$FOLDER/router-1.log")"
[ "$(cat "$FOLDER/status")" = 200 ] || fail "status $(cat "$FOLDER/status")"
ended() { grep -q "event=request_ended .*id=held .*backend=$BACKEND " "$FOLDER/router-1.log"; }
wait_for 5 ended
wait_for 5 served
echo 'good: a backend server that left the list before it answered'
