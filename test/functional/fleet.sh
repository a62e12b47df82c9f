# Routers and directors on loopback addresses, with the platform's stand-in.
# Source it with BUILD and SOURCE set; it leaves FOLDER and ends what it started.

FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/addresses.sh"
addresses_hold
NET=127.$NET
declare -A PIDS
DOMAINS=(north-a north-b east-a)
LIST=$NET.9.1:7900
OPERATORS_PORT=7810
LOOKUPS_PORT=7811
REQUESTS_PORT=7812
RAW_OFFSET=20 # of the ports of raw backend servers, where the list's are

fail() {
  echo "failed: $*" >&2
  tail -n 5 "$FOLDER"/*.log >&2
  exit 1
}

# The address of a director or router; numbers go round the failure domains.
director_address() { echo "$NET.1.$1"; }
router_address() { echo "$NET.2.$1"; }

# Routers and directors get a disk that can be made full (test/fakes/fault_shim.c).
need_shim() {
  SHIM=$BUILD/test/libfault-shim.so
  [ -e "$SHIM" ] || { echo 'not run: the sanitizers take the place of the shim'; exit 0; }
}

settings_of() {
  local kind=$1 number=$2 address domain region
  address=$("${kind}_address" "$number")
  domain=${DOMAINS[$(((number - 1) % 3))]}
  region=${domain%-*}
  cat <<YAML
vm: $kind-$number
address: $address
failure_domain: $domain
region: $region
requests: $address:$REQUESTS_PORT
readiness: $address:7813
operators: $address:$OPERATORS_PORT
lookups: $address:$LOOKUPS_PORT
peer_port: 7820
metrics_port: 7830
peer_secret: test
first_start: ${FIRST_START:-true}
data_folder: $FOLDER/data-$number
backend_list: $LIST
backend_list_rate: 50
body_memory_mb: ${BODY_MEMORY_MB:-64}
failure_domains:
$(for d in "${DOMAINS[@]}"; do printf '  - name: %s\n    region: %s\n' "$d" "${d%-*}"; done)
seeds: [$NET.1.1:1, $NET.1.2:1, $NET.1.3:1]
bounds: {drain: 3s, grace: ${GRACE:-2s}, config_apply: 2500ms, settle: 3s, lookup_age: ${LOOKUP_AGE:-5s},
  retry_ratio: 0.2, retry_base: 58, retry_window: 10s, cold_overshoot: 1.5,
  cold_slack: 5, shift_ratio: 0.15}
YAML
}

start() {
  local name=$1
  shift
  "$@" >>"$FOLDER/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# The settings' file, replaced whole as an operator's tool does.
write_settings() {
  settings_of "$1" "$2" >"$FOLDER/$1-$2.new"
  mv "$FOLDER/$1-$2.new" "$FOLDER/$1-$2.yaml"
}

start_vm() {
  write_settings "$1" "$2"
  start "$1-$2" ${SHIM:+env LD_PRELOAD="$SHIM" FAULT_CONTROL="$FOLDER/fault-$1-$2"} \
    "${PROGRAMS:-$BUILD}/mulberry-$1" --settings "$FOLDER/$1-$2.yaml"
}

kill_one() {
  kill "-$1" "${PIDS[$2]}" 2>/dev/null || true
  wait "${PIDS[$2]}" 2>/dev/null || true
  unset "PIDS[$2]"
}

# wait_for SECONDS COMMAND...: until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || fail "never came true: $*"
    sleep 0.1
  done
}

listens() { : <"/dev/tcp/$1/$2"; }

# start_raw NAME FIRST N [RESPONSE]: N backend servers from the FIRST of the list on (1: the first),
# which frame and end responses in every way.  They know their ids: a router that has one out
# sends it health checks alone, which name no id.
start_raw() {
  local name=$1 first=$2 n=$3 i port
  shift 3
  for ((i = first; i < first + n; i++)); do
    port=$((${LIST#*:} + RAW_OFFSET + i))
    echo "${DOMAINS[$(((i - 1) / 2))]}-$(((i - 1) % 2))" >"$FOLDER/instance-$port"
  done
  start "$name" "$BUILD/test/fake-raw-backend" "${LIST%:*}" $((${LIST#*:} + RAW_OFFSET + first)) "$n" "$FOLDER" "$@"
  wait_for 10 listens "${LIST%:*}" $port # the last one that is opened
}

# logged PATTERN PROCESS...: whether the log of one of them has it; a log is written a little
# after the event, so wait for it.
logged() {
  local pattern=$1 name
  shift
  for name in "$@"; do grep -q "$pattern" "$FOLDER/$name.log" && return 0; done
  return 1
}

# Every event is in the log of a process that has ended in order.
end_all() {
  local name
  for name in "$@"; do kill -TERM "${PIDS[$name]}" 2>/dev/null || true; done
  for name in "$@"; do
    wait "${PIDS[$name]}" 2>/dev/null || true
    unset "PIDS[$name]"
  done
}

fleet_end() {
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$FOLDER"
}
trap fleet_end EXIT

# order METHOD PATH [DATA]: ask director ${AT:-1}; the status on standard output,
# the body in FOLDER/body.
order() {
  curl -s -m 5 -L -o "$FOLDER/body" -w '%{http_code}' -X "$1" ${3:+--data-binary "$3"} \
    "http://$(director_address "${AT:-1}"):$OPERATORS_PORT$2"
}

# config VERSION KIND PREFIX
config() {
  cat <<JSON
{"version":"$1","routes":{"r":{"host":"a.example","path_prefix":"$3","route_kind":"$2",
"timeout":"${TIMEOUT:-2s}","target_latency":"300ms","priority":1,"service":"search","attempts":2,
"sticky":true,"home_regions":[]}},"services":{"search":{"health_path":"/health",
"max_conns":300,"cold_start":"3s","cold_per_s":5}},"limits":{}}
JSON
}

# two_routes VERSION: requests under /x/ run at most once, those under /p/ may be sent again.
two_routes() {
  local rest='"timeout":"2s","target_latency":"300ms","priority":1,"service":"search","attempts":2,"home_regions":[]'
  cat <<JSON
{"version":"$1","routes":{"x":{"host":"a.example","path_prefix":"/x/","route_kind":"non_idempotent",$rest},
"p":{"host":"a.example","path_prefix":"/p/","route_kind":"idempotent",$rest}},
"services":{"search":{"health_path":"/health","max_conns":300,"cold_start":"3s","cold_per_s":50}},"limits":{}}
JSON
}

# Whether a router says that it takes requests.
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(router_address "$1"):7813/ready")" = 200 ]; }

# request ROUTER PATH ID [curl options]: the status.
request() {
  local router=$1 path=$2 id=$3
  shift 3
  curl -s -m 5 -o "$FOLDER/answer" -w '%{http_code}' -H 'Host: a.example' \
    -H "Request-Id: $id" -H "Deadline-Ms: ${DEADLINE_MSEC:-3000}" "$@" \
    "http://$(router_address "$router"):$REQUESTS_PORT$path"
}

# put CONFIG: whether a director accepts it.
put() { [ "$(order POST /Config.Put "$1")" = 200 ]; }

# served ROUTER: whether it passes a request on and gets an answer.
served() { [ "$(request "$1" /x/1 "id-$RANDOM$RANDOM")" = 200 ]; }

# Three directors, three routers and the backend servers, which serve /x/.
fleet_start() {
  local i
  start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
  for i in 1 2 3; do
    mkdir "$FOLDER/data-$i"
    start_vm director $i
    start_vm router $i
  done
  wait_for 15 put "$(config 00000005 idempotent /x/)"
  for i in 1 2 3; do wait_for 10 served $i; done
}
