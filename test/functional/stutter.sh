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

# Of lines "200 ID", the ids whose body is not the one that belongs to them (see body_of).
not_own_body() {
  awk -v folder="$FOLDER/bodies" -v n=$BODY_BYTES '{
    id = $2; own = ""; body = ""
    for (i = 0; i < n; i++)
      own = own (i % 2 == 0 ? substr(id, int(i / 2) % length(id) + 1, 1) : sprintf("%c", 97 + i % 26))
    getline body < (folder "/" id)
    close(folder "/" id)
    if (body != own) print id
  }'
}

# check_told NAME KIND: no wrong body, no non-idempotent request ran twice; sets N_TOLD and
# N_FAILED.
check_told() {
  local twice wrong
  wrong=$(grep '^200 ' "$FOLDER/told" | not_own_body)
  [ -z "$wrong" ] || fail "not their own bodies:" $wrong
  if [ "$2" = non_idempotent ]; then
    twice=$(grep "^$1-$2-" "$FOLDER/runs" | cut -d' ' -f1 | sort | uniq -d)
    [ -z "$twice" ] || fail "ran twice:" $twice
  fi
  N_TOLD=$(wc -l <"$FOLDER/told")
  N_FAILED=$(grep -vc '^200 ' "$FOLDER/told" || true)
  echo "$1, $2: $N_TOLD requests, $N_FAILED not served:" \
    "$(cut -d' ' -f1 "$FOLDER/told" | sort | uniq -c | tr -s ' \n' ' ')"
}
