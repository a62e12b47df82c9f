#!/usr/bin/env bash
# A request that crashes each server that runs it comes again and again, at one router after the
# other, from a client that leaves before the crash.  TROUBLE=0: the client stays.
set -euo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
RECORD=$HERE/record.txt
source "$HERE/../common-2.sh"
TIMES=30
CRASH_MSEC=800
LEAVE_MSEC=500
[ "$TROUBLE" != 0 ] || LEAVE_MSEC=5000
SETTLE_MSEC=3000
RETRIES_ALLOWED=3

start_all non_idempotent
# Other clients, with orders of their own.
(
  n=0
  while [ ! -e "$FOLDER/enough" ]; do
    n=$((n + 1))
    sent "other-$n" POST "/x/wait-300/item-$n" to router-$((n % 3 + 1))
    "$STANDINS/standin-client" post "$(router_address $((n % 3 + 1))):8641" "/x/wait-300/item-$n" \
      "other-$n" 100 >>"$FOLDER/others" || true
  done
) &
PIDS[others]=$!
for n in $(seq $TIMES); do
  sent "poison-$n" GET /x/crash-$CRASH_MSEC to router-$((n % 3 + 1)), left after $LEAVE_MSEC ms
  "$STANDINS/standin-client" leave "$(router_address $((n % 3 + 1))):8641" /x/crash-$CRASH_MSEC \
    "poison-$n" $LEAVE_MSEC >>"$FOLDER/answers" || true
  sleep 0.5
done
sleep 1
touch "$FOLDER/enough"
wait "${PIDS[others]}" || true
unset 'PIDS[others]'

{
  echo '--- what was sent: MSEC (of the steady clock, as below)'
  cat "$FOLDER/sent"
  echo '--- what the client got: ID STATUS BYTES'
  cat "$FOLDER/answers"
  echo '--- what the other clients got: ID STATUS BYTES'
  cat "$FOLDER/others"
  echo '--- what the servers did: MSEC'
  grep -E 'poison-|other-' "$FOLDER/runs"
} >>"$RECORD"
third=$(awk '$2 == "crash" && ++n == 3 { print $1 }' "$FOLDER/runs")
[ -n "$third" ] || cannot_run 'fewer than three crashes'

crashes=$(grep -c ' crash poison-' "$FOLDER/runs")
late=$(awk -v from=$((third + SETTLE_MSEC)) '$2 == "run" && $3 ~ /^poison-/ && $1 > from' "$FOLDER/runs" | wc -l)
say "other clients: $(awk '$2 == 200' "$FOLDER/others" | wc -l) orders served, $(awk '$2 != 200' "$FOLDER/others" | wc -l) not"
say "$crashes crashes; the request reached servers $late times later than $SETTLE_MSEC ms after the third, $RETRIES_ALLOWED are allowed"
[ "$late" -le $RETRIES_ALLOWED ] || exit 1
