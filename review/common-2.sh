# A small deployment on loopback addresses: three directors, three routers, the platform's list
# and the servers.  Source it in a case's folder with HERE (that folder) set.  It leaves
# FOLDER, a temporary one, and ends what it started.  Exit codes: 0 the rule held, 1 it was
# broken, 2 the case couldn't run.

ROOT=$(cd "$HERE/../.." && pwd)
BIN=$ROOT/target
STANDINS=$ROOT/target/review-2
TROUBLE=${TROUBLE:-1}
FOLDER=$(mktemp -d)
declare -A PIDS
ZONES=(zapad-a stred-a vychod-a)

end_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$FOLDER"
}
trap end_all EXIT

cannot_run() {
  echo "the case could not run: $*" | tee -a "$RECORD"
  tail -n 3 "$FOLDER"/*.log >&2 || true
  exit 2
}

# say TEXT: to the record and to standard output.
say() { echo "$*" | tee -a "$RECORD"; }

# sent ID WHAT: notes a request before it is sent, with the steady clock's time in ms.
sent() { echo "$(awk '{ printf "%d", $1 * 1000 }' /proc/uptime) sent $*" >>"$FOLDER/sent"; }

for program in "$BIN/mulberry-router" "$BIN/mulberry-director" "$STANDINS/standin-servers" \
  "$STANDINS/standin-client"; do
  [ -x "$program" ] || cannot_run "$program is missing: build it first"
done
: >"$RECORD"

# Loopback addresses that nobody else uses: a locked file holds them until this script ends.
hold_addresses() {
  local n lock
  for n in $(seq 60 250); do
    exec {lock}>"${TMPDIR:-/tmp}/mulberry-addresses-$n.lock"
    if flock --nonblock "$lock"; then
      NET=127.$n
      return
    fi
    exec {lock}>&-
  done
  cannot_run 'no free addresses'
}
hold_addresses

director_address() { echo "$NET.1.$1"; }
router_address() { echo "$NET.2.$1"; }
LIST_ADDRESS=$NET.9.1
LIST_PORT=7900

# settings KIND NUMBER: as the platform makes them from platform/settings.yaml.in.
settings() {
  local kind=$1 number=$2 address zone z
  address=$("${kind}_address" "$number")
  zone=${ZONES[$((number - 1))]}
  echo "vm: $kind-$number"
  echo "address: $address"
  echo "failure_domain: $zone"
  echo "region: ${zone%-*}"
  if [ "$kind" = router ]; then
    echo "requests: $address:8641"
    echo "readiness: $address:8640"
  else
    echo "operators: $address:8649"
    echo "lookups: $address:8650"
    echo "data_folder: $FOLDER/data-$number"
  fi
  cat <<YAML
peer_port: 7620
metrics_port: 9100
peer_secret: mulberrychute
first_start: true
backend_list: $LIST_ADDRESS:$LIST_PORT
backend_list_rate: 47.0
backend_list_lag: 800ms
failure_domains:
$(for z in "${ZONES[@]}"; do printf '  - name: %s\n    region: %s\n' "$z" "${z%-*}"; done)
seeds: [$NET.1.1:8649,$NET.1.2:8649,$NET.1.3:8649]
bounds:
  drain: 3000ms
  grace: 6s
  config_apply: 2500ms
  settle: 3000ms
  lookup_age: 5s
  retry_ratio: 0.2
  retry_base: 58
  retry_window: 10s
  cold_overshoot: 1.5
  cold_slack: 5
  shift_ratio: 0.15
YAML
}

# start NAME COMMAND...: in the background, its output in FOLDER/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$FOLDER/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_vm() {
  settings "$1" "$2" >"$FOLDER/$1-$2.yaml"
  start "$1-$2" "$BIN/mulberry-$1" --settings "$FOLDER/$1-$2.yaml"
}

# wait_for SECONDS COMMAND...: until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || cannot_run "never came true: $*"
    sleep 0.1
  done
}

# config VERSION KIND: one route, /x/, to the service "search"; a second service, "archive",
# has no route.
config() {
  cat <<JSON
{"version":"$1","routes":{"r-1":{"host":"a.example","path_prefix":"/x/","route_kind":"$2",
"timeout":"15000ms","target_latency":"400ms","priority":1,"service":"search","attempts":2,
"sticky":false,"home_regions":[]}},"services":{"search":{"health_path":"/health","max_conns":330,
"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":5.7},"archive":{"health_path":"/health",
"max_conns":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":5.7}},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",
"idle_timeout":"15000ms"}}
JSON
}
put() { "$STANDINS/standin-client" put "$(director_address 1):8649" "$1"; }
get() { "$STANDINS/standin-client" get "$(router_address "$1"):8641" "$2" "$3"; }
serves() { get "$1" /x/warm "warm-$1-$RANDOM$RANDOM"; }

# start_all KIND [ARGS OF standin-servers]: all processes; returns once every router serves the
# route, which is of KIND, and has been up for longer than settle_window.
start_all() {
  local kind=$1 i
  shift
  start servers "$STANDINS/standin-servers" "$LIST_ADDRESS" "$LIST_PORT" "$FOLDER/runs" \
    search:zapad-a search:zapad-a search:stred-a search:stred-a search:vychod-a \
    search:vychod-a "$@"
  for i in 1 2 3; do
    mkdir "$FOLDER/data-$i"
    start_vm director $i
    start_vm router $i
  done
  config 00000005 "$kind" >"$FOLDER/config"
  wait_for 20 put "$FOLDER/config"
  for i in 1 2 3; do wait_for 15 serves $i; done
  sleep 4
}
