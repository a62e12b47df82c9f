# Planned stops of a router while callers go on.  Source it with BUILD and SOURCE set.

source "$SOURCE/test/functional/fleet.sh"
source "$SOURCE/test/functional/stop_check.sh"
STEP_MSEC=100
LEAD_MSEC=400

long_routes() {
  cat <<JSON
{"version":"00000005","routes":{
"r":{"host":"a.example","path_prefix":"/x/","route_kind":"non_idempotent","timeout":"30s",
"target_latency":"300ms","priority":1,"service":"search","attempts":2,"home_regions":[]},
"l":{"host":"a.example","path_prefix":"/long/","route_kind":"non_idempotent","timeout":"30s",
"target_latency":"900ms","priority":1,"service":"search","attempts":2,"home_regions":[]}},
"services":{"search":{"health_path":"/health","max_conns":300,"cold_start":"3s","cold_per_s":5}},"limits":{}}
JSON
}

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; done
for i in 2 3; do start_vm router $i; done
put() { [ "$(order POST /Config.Put "$(long_routes)")" = 200 ]; }
wait_for 15 put
served() { [ "$(request 1 /long/long "id-$RANDOM$RANDOM")" = 200 ]; }

# stop_with GRACE_MSEC [FROZEN_MSEC]: a planned stop of router 1 while callers go on; it
# does not run for the first FROZEN_MSEC of the grace.
stop_with() {
  local grace=$1 frozen=${2:-0} told=$FOLDER/told-$1-${2:-0} callers until runs_from=100
  until=$(awk -v g="$grace" 'BEGIN { m = 0.85 * g; if (g - 600 < m) m = g - 600; print m }')
  GRACE=${grace}ms start_vm router 1
  wait_for 10 served
  served || fail 'a router is not ready'
  "$BUILD/test/fake-stop-caller" "$(router_address 1):$REQUESTS_PORT" $((grace + LEAD_MSEC)) $STEP_MSEC \
    "g$grace-$frozen" >"$told" &
  callers=$!
  sleep 0.4
  kill -TERM "${PIDS[router-1]}"
  if [ "$frozen" -gt 0 ]; then
    sleep 0.1
    kill -STOP "${PIDS[router-1]}"
    sleep "$((frozen / 1000)).$(printf %03d $((frozen % 1000)))"
    kill -CONT "${PIDS[router-1]}"
    until=$((frozen - 200))
    runs_from=$((100 + frozen)) # what was sent before is past its deadline when it runs again
  fi
  wait "${PIDS[router-1]}" || fail 'a router did not stop cleanly'
  unset 'PIDS[router-1]'
  wait $callers
  stop_check "$told" "$FOLDER/runs" $((LEAD_MSEC + runs_from)) "$((LEAD_MSEC + ${until%.*}))" ||
    fail "a stop with a grace of $grace ms, frozen for $frozen"
}
