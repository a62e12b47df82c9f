#!/usr/bin/env bash
# Guards against a backend server that is flooded because it started again, cold, under its old id,
# and the routers still believe what they knew of its last start.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
N_ROUTERS=60     # each sends too little to one backend server to notice by itself
RATE=4           # requests a second at each router
COLD_RATE=2
COLD_MAX=8 # requests a second: COLD_RATE * cold_overshoot + cold_slack
N_OBJECTS=101
LOAD_SECONDS=25
PAUSE_SECONDS=${PAUSE_SECONDS:-0} # of all directors, from the server's end on

fleet_start
wait_for 15 put "$(config 00000006 idempotent /x/ | sed "s/\"cold_per_s\":5/\"cold_per_s\":$COLD_RATE/")"
for i in $(seq 4 $N_ROUTERS); do start_vm router "$i"; done
for i in $(seq 4 $N_ROUTERS); do wait_for 10 served "$i"; done

# Each router gets requests for all objects in turn, so that it sends few to each backend server.
for i in $(seq $N_ROUTERS); do
  for n in $(seq $((RATE * LOAD_SECONDS))); do
    [ "$n" = 1 ] || echo next
    printf 'url="http://%s:%s/x/%s"\nheader="Host: a.example"\nheader="Request-Id: load-%s-%s"
header="Deadline-Ms: 3000"\ncookie="Affinity-Key=%s"\noutput=/dev/null\nwrite-out="%%{http_code}\\n"\n' \
      "$(router_address "$i")" $REQUESTS_PORT "$n" "$i" "$n" $((n * 7 % N_OBJECTS + i))
  done >"$FOLDER/load-$i"
  curl -s --rate "$RATE/s" -K "$FOLDER/load-$i" >"$FOLDER/answers-$i" &
  LOADS+=($!)
done
sleep 3
request 1 /x/restart id-restart >/dev/null || true
started() { [ -s "$FOLDER/starts" ]; }
if [ "$PAUSE_SECONDS" -gt 0 ]; then
  kill -STOP "${PIDS[director-1]}" "${PIDS[director-2]}" "${PIDS[director-3]}"
  sleep "$PAUSE_SECONDS"
  kill -CONT "${PIDS[director-1]}" "${PIDS[director-2]}" "${PIDS[director-3]}"
fi
wait_for 10 started
read -r _ BACKEND STARTED _ <"$FOLDER/starts"
wait "${LOADS[@]}"

# The busiest second of BACKEND between two offsets in msec from its start, by the files that follow.
busiest() {
  local from=$1 to=$2
  shift 2
  (cd "$FOLDER" && sort -snk3 "$@") | awk -v backend="$BACKEND" -v from="$((STARTED + from))" -v to="$((STARTED + to))" '
    $2 == backend && $3 >= from && $3 < to {
      at[++n] = $3
      while (at[n] - at[first + 1] >= 1000) first++
      if (n - first > most) most = n - first
    }
    END { print most + 0 }'
}
touch "$FOLDER/checks" # no health check: no file
BEFORE=$(busiest -4000 -1200 reached)
COLD=$(busiest 0 3000 reached)
CHECKS=$(busiest 0 3000 checks)
BOTH=$(busiest 0 3000 reached checks)
AFTER=$(busiest 6000 16000 reached)
echo "$BACKEND: requests in the busiest second: before=$BEFORE cold=$COLD after=$AFTER;" \
  "health checks while cold=$CHECKS, with requests=$BOTH;" \
  "answers: $(sort "$FOLDER"/answers-* | uniq -c | awk '{ printf "%s=%d ", $2, $1 }')"
[ "$BEFORE" -gt $COLD_MAX ] || fail 'the load before the restart shows nothing'
[ "$COLD" -le $COLD_MAX ] || fail "the cold backend server got $COLD requests in a second, $COLD_MAX are allowed"
[ "$BOTH" -le $COLD_MAX ] || fail "the cold backend server got $BOTH requests and health checks in a second, $COLD_MAX are allowed"
[ "$AFTER" -gt $COLD_MAX ] || fail 'the backend server gets no more requests than a cold one for good'
echo 'good: a backend server that started again under its old id'
