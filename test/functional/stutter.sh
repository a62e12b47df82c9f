# Requests to backend servers that answer one in eight of them twice.  Source it with
# BUILD and SOURCE set; it sources response_ends.sh.

source "$SOURCE/test/functional/response_ends.sh"
CLIENTS=6
EACH=${EACH:-167}

# requests_of CLIENT NAME KIND: its requests for the response NAME, as a file for curl: one
# after the other, on a connection that is kept.
requests_of() {
  local client=$1 name=$2 kind=$3 i id
  for ((i = 0; i < EACH; i++)); do
    id=$name-$kind-$client-$i
    [ $i = 0 ] || echo next
    cat <<CURL
url = "http://$(router_address $((client % 3 + 1))):$REQUESTS_PORT/x/$name"
header = "Host: a.example"
header = "Request-Id: $id"
header = "Deadline-Ms: 3000"
header = "Cookie: Affinity-Key=$((i % 7))"
output = "$FOLDER/bodies/$id"
write-out = "%{http_code} $id\n"
max-time = 5
CURL
  done
}

# load NAME KIND: CLIENTS times EACH requests; the status and the id of each in FOLDER/told.
load() {
  local client
  local pids=()
  mkdir -p "$FOLDER/bodies"
  for ((client = 0; client < CLIENTS; client++)); do
    requests_of $client "$1" "$2" >"$FOLDER/curl-$client"
    curl -s -K "$FOLDER/curl-$client" >"$FOLDER/part-$client" &
    pids+=($!)
  done
  wait "${pids[@]}" || true
  cat "$FOLDER/part-"* >"$FOLDER/told"
}

# check_told NAME KIND: no wrong body, no non-idempotent request ran twice; sets N_TOLD and
# N_FAILED.
check_told() {
  local status id twice
  while read -r status id; do
    [ "$status" != 200 ] || body_of "$id" | cmp -s - "$FOLDER/bodies/$id" || fail "$id: not its own body"
  done <"$FOLDER/told"
  if [ "$2" = non_idempotent ]; then
    twice=$(grep "^$1-$2-" "$FOLDER/runs" | cut -d' ' -f1 | sort | uniq -d)
    [ -z "$twice" ] || fail "ran twice:" $twice
  fi
  N_TOLD=$(wc -l <"$FOLDER/told")
  N_FAILED=$(grep -vc '^200 ' "$FOLDER/told" || true)
  echo "$1, $2: $N_TOLD requests, $N_FAILED not served:" \
    "$(cut -d' ' -f1 "$FOLDER/told" | sort | uniq -c | tr -s ' \n' ' ')"
}
