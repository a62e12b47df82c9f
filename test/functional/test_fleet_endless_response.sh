#!/usr/bin/env bash
# Guards against a router or director whose memory fills, or whose other callers wait, while a
# faulty endpoint sends heads, bodies or bytes that are no response, without end.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
source "$SOURCE/test/functional/endless.sh"
BACKENDS=6
FAULTY=2        # the first ones, while all that they get is answered without end
AT_ONCE=8       # requests that get such a response
OTHERS=8        # requests beside them, at once
LATE_MSEC=2000  # the timeout of the route, of fleet.sh

# The list without end: directors go on, and get the list once it is whole.
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; done
asked() { [ "$(order GET /Config.Get)" != 000 ]; }
wait_for 10 asked
for name in $ENDLESS_HEADS $ENDLESS_OTHER $ENDLESS_BODIES $ENDLESS_CHUNKS; do
  start list "$BUILD/test/fake-raw-backend" "${LIST%:*}" "${LIST#*:}" 1 "$FOLDER" "$name"
  wait_for 10 begun "$name"
  sleep 0.3
  asked || fail "$name: a director does not answer its operators"
  check_peak "$name as list" director-1 director-2 director-3
  kill_one KILL list
done
rm "$FOLDER/endless"

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" $RAW_OFFSET "${DOMAINS[@]}"
start_raw raw 1 $BACKENDS
for i in 1 2 3; do start_vm router $i; done
wait_for 15 put "$(config 00000005 non_idempotent /x/)"
served() { [ "$(request "$1" /x/length "id-$RANDOM$RANDOM")" = 200 ]; }
for i in 1 2 3; do wait_for 10 served $i; done

# other NAME: a request of another caller; its milliseconds are appended to FOLDER/NAME.
other() {
  local told
  told=$(request 1 /x/length "other-$RANDOM$RANDOM" -w '%{http_code} %{time_total}' \
    -H "Cookie: Affinity-Key=$RANDOM") || true
  [ "${told% *}" = 200 ] || { echo "beside $1 another caller was told $told" >&2; return 1; }
  awk -v seconds="${told#* }" 'BEGIN { printf "%d\n", seconds * 1000 }' >>"$FOLDER/$1"
}

# ask NAME I: its status goes to FOLDER/NAME.told.
ask() {
  curl -s -m 5 -o /dev/null -w '%{http_code}\n' -H 'Host: a.example' -H "Request-Id: $1-$2" \
    -H 'Deadline-Ms: 3000' -H "Cookie: Affinity-Key=$2" \
    "http://$(router_address 1):$REQUESTS_PORT/x/$1" >>"$FOLDER/$1.told" || true
}

# Requests that are answered without end, on kept connections, and other callers beside them.
for name in $ENDLESS_HEADS $ENDLESS_OTHER $ENDLESS_BODIES $ENDLESS_CHUNKS $STALLED_HEADS; do
  asking=()
  for i in $(seq $AT_ONCE); do request 1 /x/length "warm-$name-$i" -H "Cookie: Affinity-Key=$i" >/dev/null; done
  for i in $(seq $AT_ONCE); do ask "$name" "$i" & asking+=($!); done
  sleep 0.3 # until the sockets are full
  others=()
  for i in $(seq $OTHERS); do other "$name" & others+=($!); done
  for pid in "${others[@]}"; do wait "$pid" || fail "beside $name another caller was not answered"; done
  wait "${asking[@]}"
  check_peak "$name" router-1
  [ "$(awk -v max=$LATE_MSEC '$1 > max' "$FOLDER/$name" | wc -l)" = 0 ] ||
    fail "beside $name others waited $(sort -n "$FOLDER/$name" | tr '\n' ' ')ms"
  # One with a length that is followed by other bytes is whole; of the rest nothing is passed on.
  [ "$name" = endless-after ] || ! grep -q 200 "$FOLDER/$name.told" || fail "$name was told as 200"
  echo "$name: told $(sort "$FOLDER/$name.told" | uniq -c | tr -s ' \n' ' '); others $(sort -n "$FOLDER/$name" | tr '\n' ' ')ms; router $(peak_kib router-1) KiB"
done

# probed NAME: whether a health check, which has no id, was answered so; backend servers that
# fail get them.
probed() {
  request 1 /x/length "probe-$RANDOM$RANDOM" -H "Cookie: Affinity-Key=$RANDOM" >/dev/null || true
  grep -q "^$1  " "$FOLDER/endless"
}

# Health checks that are answered without end, of two backend servers.
kill_one KILL raw
start_raw raw $((1 + FAULTY)) $((BACKENDS - FAULTY))
for name in endless-body endless-fields endless-trailers endless-small-chunks; do
  rm -f "$FOLDER/endless"
  start_raw faulty 1 $FAULTY "$name"
  wait_for 20 probed "$name"
  for i in 1 2 3; do wait_for 10 served $i; done
  for i in 1 2 3; do check_peak "$name as health check" router-$i; done
  kill_one KILL faulty
done
check_peak 'at the end' director-1 director-2 director-3
echo "good: routers $(for i in 1 2 3; do peak_kib router-$i; done | tr '\n' ' '), directors $(for i in 1 2 3; do peak_kib director-$i; done | tr '\n' ' ')KiB"
