# Starts a small deployment on loopback addresses, with stand-ins for the
# platform, the operator and the clients.  A run.sh sources it with CASE set to
# its folder and RECORD to the record in it, and ends with verdict.  Exit codes:
# 1 the rule was broken, 0 it held, 2 the case couldn't run.

ROOT=$(cd "$CASE/../.." && pwd)
BIN=$ROOT/review/bin
TROUBLE=${TROUBLE:-1}
FOLDER=$(mktemp -d)
declare -A PIDS
ZONES=(north-a east-a west-a)
PEER_PORT=7620
METRICS_PORT=9100
OPERATORS_PORT=8649
LOOKUPS_PORT=8644
REQUESTS_PORT=8641
READY_PORT=8640
LIST_PORT=8642
ENDPOINT_PORT=8500

note() { "$BIN/standin-order" note "$*" 2>/dev/null || echo "$*" >>"$RECORD"; }

end_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$FOLDER"
}
trap end_all EXIT

give_up() {
  echo "the case couldn't run: $*" >&2
  note "couldn't run: $*"
  tail -qn 3 "$FOLDER"/*.log >&2
  exit 2
}

# verdict BROKEN TEXT: BROKEN is 1 or 0.
verdict() {
  note "verdict: $2"
  echo "$2"
  exit "$1"
}

# A part of 127.0.0.0/8 in which nothing listens.
choose_net() {
  local a b hex
  while :; do
    a=$((RANDOM % 200 + 20))
    b=$((RANDOM % 250 + 1))
    hex=$(printf '%02X%02X7F' "$b" "$a")
    grep -qiE "^ *[0-9]+: [0-9A-F]{2}$hex:" /proc/net/tcp || break
  done
  NET=127.$a.$b
}

director_address() { echo "$NET.$((10 + $1))"; }
router_address() { echo "$NET.$((20 + $1))"; }
endpoint_address() { echo "$NET.$((100 + $1))"; }
LIST_HOST() { echo "$NET.9"; }

# Settings with the keys of platform/settings.yaml.in and the bounds of the
# small sites.
write_settings() {
  local kind=$1 number=$2 address zone
  address=$("${kind}_address" "$number")
  zone=${ZONES[$(((number - 1) % ${#ZONES[@]}))]}
  {
    echo "vm: $kind-$number"
    echo "address: $address"
    echo "failure_domain: $zone"
    echo "region: ${zone%-*}"
    if [ "$kind" = router ]; then
      echo "requests: $address:$REQUESTS_PORT"
      echo "readiness: $address:$READY_PORT"
    else
      echo "operators: $address:$OPERATORS_PORT"
      echo "lookups: $address:$LOOKUPS_PORT"
      echo "data_folder: $FOLDER/data-$number"
    fi
    echo "peer_port: $PEER_PORT"
    echo "metrics_port: $METRICS_PORT"
    echo "peer_secret: mulberrychute"
    echo "first_start: true"
    echo "backend_list: $(LIST_HOST):$LIST_PORT"
    echo "backend_list_rate: 47.0"
    echo "backend_list_lag: 800ms"
    echo "failure_domains:"
    local z
    for z in "${ZONES[@]}"; do
      echo "  - name: $z"
      echo "    region: ${z%-*}"
    done
    echo "seeds: [$(director_address 1):$OPERATORS_PORT, $(director_address 2):$OPERATORS_PORT, $(director_address 3):$OPERATORS_PORT]"
    cat <<'YAML'
bounds:
  drain: 3s
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
  } >"$FOLDER/$kind-$number.yaml"
}

# start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" >>"$FOLDER/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# The programs, as deploy/system.toml runs them.
start_vm() {
  [ -x "$ROOT/target/mulberry-$1" ] || give_up "target/mulberry-$1 is not built"
  write_settings "$1" "$2"
  (cd "$ROOT" && exec "target/mulberry-$1" --settings "$FOLDER/$1-$2.yaml") \
    >>"$FOLDER/$1-$2.log" 2>&1 &
  PIDS[$1-$2]=$!
  note "start $1-$2"
}

# wait_for SECONDS COMMAND...: until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || give_up "never came true: $*"
    sleep 0.1
  done
}

# order METHOD PATH [FILE]: the status on the first line, then the body; at
# director ${AT:-1}.
order() {
  "$BIN/standin-order" "$1" "$(director_address "${AT:-1}"):$OPERATORS_PORT" \
    "$2" ${3:+"$3"}
}

order_status() { order "$@" | head -n 1; }

# Send an order again until it is accepted, to one director after the other.
order_until_accepted() {
  local i
  for i in $(seq 40); do
    AT=$((i % 3 + 1))
    [ "$(AT=$AT order_status "$@")" = 200 ] && return 0
    sleep 0.2
  done
  return 1
}

is_ready() {
  [ "$(RECORD='' "$BIN/standin-order" GET "$(router_address "$1"):$READY_PORT" /ready | head -n 1)" = 200 ]
}

# start_deployment ENDPOINT...: the platform, three directors, three routers.
start_deployment() {
  local i
  [ -x "$BIN/standin-platform" ] || give_up "review/build.sh was not run"
  choose_net
  mkdir -p "$FOLDER/platform"
  local at=1 endpoints=()
  for i in "$@"; do # NAME,SERVICE,ZONE,SLOTS
    endpoints+=("${i%,*},$(endpoint_address "$at"):$ENDPOINT_PORT,${i##*,}")
    at=$((at + 1))
  done
  start platform "$BIN/standin-platform" "$(LIST_HOST):$LIST_PORT" \
    "$FOLDER/platform" "${endpoints[@]}"
  for i in 1 2 3; do start_vm director "$i"; done
  for i in 1 2 3; do start_vm router "$i"; done
}

# Put the configuration in FILE and wait until all routers serve.
configure() {
  local i
  order_until_accepted POST /Config.Put "$1" || give_up "no configuration was accepted"
  for i in 1 2 3; do wait_for 15 is_ready "$i"; done
  sleep 1
}

# route NAME KIND PREFIX SERVICE TIMEOUT
route() {
  printf '"%s":{"host":"a.example","path_prefix":"%s","route_kind":"%s","timeout":"%s","target_latency":"400ms","priority":1,"service":"%s","attempts":2,"sticky":false,"home_regions":[]}' \
    "$1" "$3" "$2" "$5" "$4"
}

# config VERSION ROUTES: services dedicate and songfind.
config() {
  local service='{"health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":5.7}'
  printf '{"version":"%s","routes":{%s},"services":{"dedicate":%s,"songfind":%s},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}' \
    "$1" "$2" "$service" "$service"
}

# clients NAME OPTION...: in the background, as PIDS[NAME].
clients() {
  local name=$1 directory
  shift
  directory=$(director_address 1):$LOOKUPS_PORT,$(director_address 2):$LOOKUPS_PORT,$(director_address 3):$LOOKUPS_PORT
  start "$name" "$BIN/standin-client" directory="$directory" host=a.example tag="$name" "$@"
}

wait_clients() {
  local name
  for name in "$@"; do
    wait "${PIDS[$name]}"
    unset "PIDS[$name]"
  done
}
