#!/usr/bin/env bash
# Guards against requests that reach a backend server which has told the router
# that it leaves, or that it wants a rest, before any list shows it.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
DRAIN_MSEC=3000
REST_MSEC=4000
IN_FLIGHT_MSEC=500
REACH_MAX=2 # requests of one router during a rest

fleet_start
now_msec() { date +%s%3N; }

# load NAME SECONDS: requests of many objects through router 1, one after the other.
load() {
  local end=$((SECONDS + $2)) n=0
  while [ $SECONDS -lt $end ]; do
    n=$((n + 1))
    request 1 "/x/$((n % 40))" "$1-$n" -H "Cookie: Affinity-Key=$((n % 40))" >>"$FOLDER/status-$1"
    echo >>"$FOLDER/status-$1"
  done
}

# One backend server leaves; the list goes on to show it as ready.
echo north-a-0 >"$FOLDER/leaving"
load leave 7
FIRST=$(awk '/^leave-/ && $2 == "north-a-0" { print $3; exit }' "$FOLDER/reached")
[ -n "$FIRST" ] || fail 'the backend server that leaves got no request'
LATE=$(awk -v end=$((FIRST + DRAIN_MSEC)) '/^leave-/ && $2 == "north-a-0" && $3 > end { n++ } END { print n + 0 }' "$FOLDER/reached")
AFTER=$(awk '/^leave-/ && $2 == "north-a-0" { n++ } END { print n - 1 }' "$FOLDER/reached")
echo "leaving: $AFTER requests after the first answer, $LATE later than $DRAIN_MSEC ms"
[ "$LATE" = 0 ] || fail "$LATE requests reached the backend server later than $DRAIN_MSEC ms after it said that it leaves"
told_leaving() { grep -q 'event=backend_leaving .*backend=north-a-0' "$FOLDER/router-1.log"; }
wait_for 5 told_leaving
# shown_as ID WORDS: a director says it of the backend server.
shown_as() {
  for i in 1 2 3; do "$BUILD/mulberryctl" fleet show "$(director_address "$i"):$OPERATORS_PORT"; done >"$FOLDER/shown"
  grep -q "^$1 .* $2" "$FOLDER/shown"
}
wait_for 5 shown_as north-a-0 'leaves, told 1 router'
! shown_as north-b-0 'told' || fail 'a backend server is shown with what it did not say'
! grep -vqx 200 "$FOLDER/status-leave" || fail "not all were served: $(sort "$FOLDER/status-leave" | uniq -c)"

# Another wants a rest; fleet show names it, and the retries are served elsewhere.
echo north-b-0 >"$FOLDER/resting"
load rest 6 &
LOAD=$!
wait_for 5 shown_as north-b-0 'rests [0-9]* ms more, told 1 router'
wait "$LOAD"
FIRST=$(awk '/^rest-/ && $2 == "north-b-0" && $4 == "refused" { print $3; exit }' "$FOLDER/reached")
[ -n "$FIRST" ] || fail 'the backend server that rests got no request'
N=$(awk -v from=$((FIRST + IN_FLIGHT_MSEC)) -v to=$((FIRST + REST_MSEC)) '
  /^rest-/ && $2 == "north-b-0" && $3 > from && $3 < to { n++ } END { print n + 0 }' "$FOLDER/reached")
echo "resting: $N requests during the rest"
[ "$N" -le $REACH_MAX ] || fail "$N requests reached the backend server during its rest"
told_resting() { grep -q 'event=backend_resting .*backend=north-b-0.*rest_ms=4000' "$FOLDER/router-1.log"; }
wait_for 5 told_resting
rm "$FOLDER/resting" # or it wants another rest when the first one has ended
shown_no_more() { ! shown_as north-b-0 'rests'; }
wait_for 6 shown_no_more
! grep -vqx 200 "$FOLDER/status-rest" || fail "not all were served: $(sort "$FOLDER/status-rest" | uniq -c)"

# All of them rest: a request that can't wait is told when to come back.
for d in "${DOMAINS[@]}"; do printf '%s-0\n%s-1\n' "$d" "$d"; done >"$FOLDER/resting"
rejected() {
  [ "$(request 2 /x/1 "all-$RANDOM$RANDOM" -D "$FOLDER/head" -H 'Connection: close')" = 503 ] && grep -qx resting "$FOLDER/answer"
}
wait_for 10 rejected
AFTER=$(tr -d '\r' <"$FOLDER/head" | sed -nE 's/^Retry-After: ([0-9]+).*/\1/ip')
[ "${AFTER:-0}" -ge 1 ] && [ "$AFTER" -le 4 ] || fail "Retry-After is '$AFTER'"
rm "$FOLDER/resting"
for i in 1 2 3; do wait_for 10 served $i; done
ended() { grep -q 'event=backend_rest_ended' "$FOLDER/router-2.log"; }
wait_for 5 ended
echo 'good: backend servers that leave, and that rest'
