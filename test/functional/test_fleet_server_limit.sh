#!/usr/bin/env bash
# Guards against a backend server that gets more requests than the limit that it names, from all
# routers together.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
N_ROUTERS=${N_ROUTERS:-3}
N_CALLERS=$((N_ROUTERS < 12 ? 12 / N_ROUTERS : 1)) # at each router
RATE=$((72 / N_ROUTERS / N_CALLERS))               # requests a second of each caller
[ "$RATE" -ge 2 ] || RATE=2
N_OBJECTS=101
PHASE_SECONDS=10
SETTLE_MSEC=3000
WINDOW_MSEC=4000
LIMITED=north-a-0
# 1.5 times what the limit allows in a window, and 5.
allowed() { awk -v limit="$1" -v msec=$WINDOW_MSEC 'BEGIN { print int(1.5 * limit * msec / 1000 + 5) }'; }

fleet_start
for i in $(seq 4 "$N_ROUTERS"); do start_vm router "$i"; done
for i in $(seq 4 "$N_ROUTERS"); do wait_for 15 served "$i"; done
now_msec() { date +%s%3N; }

# load NAME: requests of all objects in turn by all callers, for PHASE_SECONDS.
load() {
  local name=$1 i caller n pids=()
  for i in $(seq "$N_ROUTERS"); do
    for caller in $(seq $N_CALLERS); do
      for n in $(seq $((RATE * PHASE_SECONDS))); do
        [ "$n" = 1 ] || echo next
        printf 'url="http://%s:%s/x/%s"\nheader="Host: a.example"\nheader="Request-Id: %s-%s-%s-%s"
header="Deadline-Ms: 3000"\ncookie="Affinity-Key=%s"\noutput=/dev/null\nwrite-out="%%{http_code} %%{time_total} %%header{retry-after}\\n"\n' \
          "$(router_address "$i")" $REQUESTS_PORT "$n" "$name" "$i" "$caller" "$n" $((n * 7 % N_OBJECTS + i + caller))
      done >"$FOLDER/load-$i-$caller"
      timeout $((PHASE_SECONDS + 1)) stdbuf -oL curl -s --rate "$RATE/s" -K "$FOLDER/load-$i-$caller" >"$FOLDER/answers-$name-$i-$caller" &
      pids+=($!)
    done
  done
  wait "${pids[@]}" || true # the last requests may be cut
}

# busiest ID FROM: the most requests and health checks that ID got in one window from FROM on.
busiest() {
  touch "$FOLDER/checks"
  (cd "$FOLDER" && sort -snk3 reached checks) | awk -v backend="$1" -v from="$2" -v window=$WINDOW_MSEC '
    $2 == backend && $3 >= from {
      at[++n] = $3
      while (at[n] - at[first + 1] >= window) first++
      if (n - first > most) most = n - first
    }
    END { print most + 0 }'
}

# phase NAME LINE...: a load while the backend servers of the LINEs name their limits.
phase() {
  local name=$1 from line id limit n most
  shift
  from=$(now_msec)
  printf '%s\n' "$@" >"$FOLDER/limited.new"
  mv "$FOLDER/limited.new" "$FOLDER/limited"
  load "$name"
  for line in "$@"; do
    id=${line% *} limit=${line#* }
    n=$(busiest "$id" $((from + SETTLE_MSEC)))
    most=$(allowed "$limit")
    echo "$name: $id names $limit: $n requests in the busiest window, $most allowed"
    [ "$n" -le "$most" ] || fail "$id, which names $limit, got $n requests in a window; $most are allowed"
  done
  echo "$name: answers: $(cut -d' ' -f1 "$FOLDER/answers-$name"-* | sort | uniq -c | awk '{ printf "%s=%d ", $2, $1 }')"
}
all_served() { ! cut -d' ' -f1 "$FOLDER/answers-$1"-* | grep -qvx 200 || fail "$1: not all were served"; }

phase one "$LIMITED 1.1"
all_served one
phase higher "$LIMITED 2.8"
all_served higher

# It names none any more: after that it gets its part again.
rm "$FOLDER/limited"
FROM=$(now_msec)
load ended
N=$(busiest "$LIMITED" $((FROM + SETTLE_MSEC)))
echo "ended: $N requests in the busiest window"
[ "$N" -gt "$(allowed 2.8)" ] || fail "a limit that is not named any more holds: $N requests"
all_served ended

# All are limited: who doesn't fit is told at once when to come back.
ALL=()
for d in "${DOMAINS[@]}"; do ALL+=("$d-0 1.1" "$d-1 1.1"); done
phase all "${ALL[@]}"
! cut -d' ' -f1 "$FOLDER"/answers-all-* | grep -qvx -e 200 -e 503 || fail 'all: an answer is neither 200 nor 503'
grep -q '^200' "$FOLDER"/answers-all-* || fail 'all: nothing was served'
! grep -h '^503' "$FOLDER"/answers-all-* | grep -qvE ' [0-9.]+$' || fail 'all: a rejection has no Retry-After'
SLOW=$(awk '$1 == 503 && $2 > 0.5 { n++ } $1 == 503 { all++ } END { print (n > all / 20 ? n : 0) }' "$FOLDER"/answers-all-*)
[ "$SLOW" = 0 ] || fail "all: $SLOW rejections took over half a second"
AFTERS=$(awk '$1 == 503 { print $3 }' "$FOLDER"/answers-all-* | sort -u | wc -l)
[ "$AFTERS" -gt 5 ] || fail "all: the rejections name only $AFTERS different times to come back"

# Odd texts limit nothing and end nothing.
phase before_odd "$LIMITED 2.8"
for text in nan -1 1e3 0x10 '' '1,5'; do
  FROM=$(now_msec)
  echo "$LIMITED $text" >"$FOLDER/limited"
  sleep 0.5
  for n in 1 2 3; do request 1 "/x/$n" "odd-$FROM-$n" -o /dev/null >/dev/null; done
done
! logged "event=backend_limit .*in_force=0.*odd-" router-1 || fail 'a text that is no number ended the limit'

# No director runs: each router keeps to its part of a limit that it is told.
for i in 1 2 3; do kill_one KILL "director-$i"; done
phase alone "north-b-1 2.8"
echo 'good: limits that backend servers name'
