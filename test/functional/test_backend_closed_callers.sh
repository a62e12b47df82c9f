#!/usr/bin/env bash
# Guards against a stand-in that reads a freed client, when several clients close their
# connections while it is paused.
set -euo pipefail
BUILD=$1
SOURCE=$2
NET=
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

addresses_hold
ADDRESS=127.$NET.1.1
PORT=8000
start backends "$BUILD/test/fake-backend" --backend "one,search,$ADDRESS,$PORT,2" --journal "$FOLDER/journal"
wait_for 20 curl -s "http://$ADDRESS:$PORT/health"

ask() { printf 'GET %s HTTP/1.1\r\nHost: one\r\nX-Request-Id: %s\r\n\r\n' "$1" "$2"; }
exec {running}<>"/dev/tcp/$ADDRESS/$PORT" {idle}<>"/dev/tcp/$ADDRESS/$PORT"
ask /health idle >&"$idle"
read -r _ <&"$idle"
ask '/run?us=60000000' running >&"$running"
wait_for 20 grep -q '^start .* id=running ' "$FOLDER/journal"
kill_one STOP backends
wait_for 20 grep -q '^State:.*stopped' "/proc/${PIDS[backends]}/status"
exec {running}>&-
exec {idle}>&-
kill_one CONT backends
wait_for 20 grep -q '^end .* id=running how=cancelled' "$FOLDER/journal"
cluster_stop
