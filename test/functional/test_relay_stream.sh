#!/usr/bin/env bash
# Guards against a relay that passes the rest of a stream on after it has swallowed a part: what
# comes behind would be answered in place of what was lost.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/addresses.sh"
FOLDER=$(mktemp -d)
PIDS=()
cleanup() {
  kill "${PIDS[@]}" 2>/dev/null || true
  wait
  rm -rf "$FOLDER"
}
trap cleanup EXIT
trap '' PIPE # a connection may be closed
fail() { echo "$1" >&2; exit 1; }

addresses_hold
SERVER=127.$NET.1.1
RELAY=127.$NET.1.2
CONTROL_READ_SECONDS=0.2 # the relay reads its control file every 20 ms
SILENCE_SECONDS=1
"$BUILD/test/fake-raw-backend" $SERVER 8000 1 "$FOLDER" & PIDS+=($!)
echo pass >"$FOLDER/control"
"$BUILD/test/fake-relay" --control "$FOLDER/control" --route $RELAY:8000,$SERVER:8000 >/dev/null &
PIDS+=($!)

set_control() { echo "$1" >"$FOLDER/control"; sleep $CONTROL_READ_SECONDS; }
send() { # ID CONNECTION; it may be closed
  printf 'GET /x/length HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n\r\n' "$1" >&"$2" || true
} 2>/dev/null
# The first line that comes on connection $1.
hear() { local line; read -r -t $SILENCE_SECONDS -u "$1" line && echo "${line%$'\r'}" || echo silent; }
connected() { exec {connection}<>/dev/tcp/$RELAY/8000; } 2>/dev/null

answered() { connected && send "$1" "$connection" && [ "$(hear "$connection")" = 'HTTP/1.1 200 OK' ]; }

for _ in $(seq 50); do answered first && break || sleep 0.1; done # until both listen
answered first || fail 'a request through the relay is not answered'

connected || fail 'no connection'
set_control drop-to
send lost "$connection"
sleep $CONTROL_READ_SECONDS
set_control pass
send behind "$connection"
[ "$(hear "$connection")" = silent ] || fail 'a request behind a lost one was answered'
answered fresh || fail 'a new connection is not answered'
echo 'good: a stream that has lost bytes stays silent'
