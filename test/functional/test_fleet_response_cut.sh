#!/usr/bin/env bash
# Guards against a response without a length that the router breaks off, when it is killed
# or stops, and that looks to the caller as if it had ended.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"
HUGE_BYTES=$((12 * 1024 * 1024))

# A caller that reads nothing more until FOLDER/read-on exists.
slow_caller() {
  local ended=0
  curl -s -m 60 -H 'Host: a.example' -H "Request-Id: $1" -H 'Deadline-Ms: 3000' \
    "http://$(router_address 1):$REQUESTS_PORT/x/huge-close" || ended=$?
  echo $ended >"$FOLDER/ended"
}
read_later() {
  while [ ! -e "$FOLDER/read-on" ]; do sleep 0.1; done
  cat >"$FOLDER/part"
}

# cut_by SIGNAL: router 1 ends by it while a caller does not read.
cut_by() {
  local bytes
  rm -f "$FOLDER/read-on"
  slow_caller "cut-$1" | read_later &
  local reader=$!
  answered() { grep -q "event=request_ended id=cut-$1 " "$FOLDER/router-1.log"; }
  wait_for 10 answered "$1"
  kill_one "$1" router-1
  touch "$FOLDER/read-on"
  wait $reader
  N=$((N + 1))
  bytes=$(stat -c %s "$FOLDER/part")
  echo "$1: $bytes bytes, curl $(cat "$FOLDER/ended")"
  [ "$bytes" -lt $HUGE_BYTES ] || fail "the response was not broken off"
  [ "$(cat "$FOLDER/ended")" != 0 ] || WRONG+="cut-$1: $bytes of $HUGE_BYTES bytes, and an ordinary end"$'\n'
  start_vm router 1
  wait_for 10 served 1
}

cut_by KILL
cut_by TERM
check_all
echo "good: $N responses"
