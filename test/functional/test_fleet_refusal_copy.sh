#!/usr/bin/env bash
# Guards against a request that is told as not run and runs: a copy of the refusal of an earlier attempt,
# with the same id and on the same connection, is taken for its answer.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
# One attempt each, so that callers are told of refusals; two for requests to a renamed server.
routes() {
  local rest='"timeout":"2s","target_latency":"300ms","priority":1,"service":"search","sticky":true,"home_regions":[]'
  cat <<JSON
{"version":"00000005","routes":{"q":{"host":"a.example","path_prefix":"/q/","route_kind":"non_idempotent","attempts":1,$rest},
"x":{"host":"a.example","path_prefix":"/x/","route_kind":"non_idempotent","attempts":2,$rest}},
"services":{"search":{"health_path":"/health","max_conns":300,"cold_start":"3s","cold_per_s":50}},"limits":{}}
JSON
}

# Routers that have not seen yet that the server answers twice: they would give each request a connection of
# its own.
renew_routers() {
  local i
  end_all router-{1,2,3}
  for i in 1 2 3; do start_vm router $i; done
  for i in 1 2 3; do wait_for 10 served $i; done
}

# play SPAN NAME PAUSE N: for SPAN s N callers send refused requests again after PAUSE ms.
play() {
  local n callers=()
  renew_routers
  rm -f "$FOLDER/enough" "$FOLDER"/told-*
  : >"$FOLDER/runs"
  for n in $(seq "$4"); do
    "$BUILD/test/fake-caller" --ends "$2" --again "$3" "$n" "$FOLDER/enough" \
      "$(router_address $((n % 3 + 1))):$REQUESTS_PORT" >"$FOLDER/told-$n" &
    callers+=($!)
    PIDS[caller-$n]=$!
  done
  sleep "$1"
  touch "$FOLDER/enough"
  wait "${callers[@]}"
  sleep 0.3 # longer than a run: the record has all of them
  cat "$FOLDER"/told-* >"$FOLDER/told"
  check "$2, $4 callers"
  awk '$2 == 200 { n++ } END { exit n < 12 }' "$FOLDER/told" || fail "$2: too few were answered"
}

check() { awk -v name="$1" -f "$SOURCE/test/functional/check_tries.awk" "$FOLDER/runs" "$FOLDER/told" || WRONG=1; }

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" $RAW_OFFSET "${DOMAINS[@]}"
start_raw raw 1 1
printf '%s\n' north-a-1 north-b-0 north-b-1 east-a-0 east-a-1 >"$FOLDER/gone"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
wait_for 15 put "$(routes)"
for i in 1 2 3; do wait_for 10 served $i; done

WRONG=
play 3 refused-copied-60 20 3
play 3 refused-copied-30 10 3
play 4 refused-copied-60 10 12

# The router itself sends a request twice on one connection: two servers of the list have one address.
echo 'north-a-0 north-a-9' >"$FOLDER/renamed"
listed() { for i in 1 2 3; do logged 'event=backends_in_force backends=2 ' router-$i || return 1; done; }
wait_for 10 listed
renew_routers
: >"$FOLDER/runs"
: >"$FOLDER/told"
for i in 1 2 3; do
  for _ in {1..12}; do served $i; done # each adds to what may be sent to a second server
  from=$(date +%s%3N)
  status=$(request $i /x/misdirected-copied renamed-$i -X POST -d body || true)
  echo "renamed-$i $status - - $from $(date +%s%3N)" >>"$FOLDER/told"
done
sleep 0.3
check renamed
[ "$(grep -c '^renamed-' "$FOLDER/runs")" = 3 ] || fail 'not all ran at the renamed server'
[ -z "$WRONG" ] || fail 'a request was told as not run, and ran'
# Each router met a connection that had carried the id, in the plays with few callers and here.
end_all router-{1,2,3}
for i in 1 2 3; do
  n=$(grep -c 'event=id_sent_again' "$FOLDER/router-$i.log" || true)
  [ "$n" -ge 3 ] || fail "router $i met only $n connections that had carried the id: nothing is shown"
done
echo good
