#!/usr/bin/env bash
# soak.sh BUILD SOURCE [SEED [SECONDS]]: routers and directors under faults from
# outside, drawn from SEED, in series and overlapping; callers go on meanwhile.
#
# Checked while it runs and after it, from what callers and backend servers see:
#   - a request that may run once ran at most once, and once where it has an answer;
#   - a request that was told "not run" (503) did not run;
#   - no director tells a configuration older than one that was acknowledged;
#   - when the faults end, every router serves the newest configuration.
#
# It ends only processes that it started.  On a failure it names the seed and
# keeps the logs.
set -euo pipefail
BUILD=$1
SOURCE=$2
SEED=${3:-1}
SPAN=${4:-15}
source "$SOURCE/test/functional/fleet.sh"
RANDOM=$SEED
VERSION=1
ACKED=0
CALLERS=()

# Keep what a failed run left.
soak_fail() {
  cp -r "$FOLDER" "${SOAK_KEEP:-/tmp}/soak-$SEED" 2>/dev/null || true
  echo "seed $SEED: $*" >&2
  exit 1
}

between() { echo $(($1 + RANDOM % ($2 - $1 + 1))); }

# One caller: 10 requests a connection, to a router of its choice, until the end.
caller() {
  local number=$1 n=0 router args
  RANDOM=$((SEED * 100 + number))
  while [ ! -e "$FOLDER/enough" ]; do
    router=$(between 1 3)
    args=()
    for _ in 1 2 3 4 5 6 7 8 9 10; do
      n=$((n + 1))
      [ ${#args[@]} = 0 ] || args+=(--next)
      args+=(-s -m 4 -o /dev/null -w "s$number-$n %{http_code}\n" -X POST -d body -H 'Host: a.example'
        -H "Request-Id: s$number-$n" -H 'Deadline-Ms: 3000' -b "Affinity-Key=$((n % 7))"
        "http://$(router_address "$router"):$REQUESTS_PORT/x/$n$([ $((n % 8)) -gt 0 ] || echo lost)")
    done
    curl "${args[@]}" >>"$FOLDER/told-$number" 2>/dev/null || true
  done
}

put_next() {
  VERSION=$((VERSION + 1))
  AT=$(between 1 3)
  local status
  status=$(order POST /Config.Put "$(config "$(printf %08x $VERSION)" non_idempotent /x/)" || true)
  [ "$status" != 200 ] || ACKED=$VERSION
}

# No director tells an older version than the last one acknowledged before it was asked.
check_read() {
  local told acked=$ACKED
  AT=$(between 1 3)
  [ "$(order GET /Config.Get || true)" = 200 ] || return 0
  told=$((16#$(sed -nE 's/.*"version":"([0-9a-f]+)".*/\1/p' "$FOLDER/body" | head -1)))
  [ $told -ge $acked ] || soak_fail "director $AT told version $told after $acked was acknowledged"
}

thaw_later() { (sleep "$1"; kill -CONT "$2" 2>/dev/null || true) & }

# A director at a time is down or wiped, as a majority is needed.
fault() {
  local victim
  victim=$(between 1 3)
  FIRST_START=false
  case $(between 1 8) in
    1) kill_one KILL "director-$victim"; start_vm director "$victim" ;;
    2) kill_one KILL "router-$victim"; start_vm router "$victim" ;;
    3) kill -STOP "${PIDS[director-$victim]}"; thaw_later 1.5 "${PIDS[director-$victim]}" ;;
    4) kill -STOP "${PIDS[router-$victim]}"; thaw_later 1 "${PIDS[router-$victim]}" ;;
    5) kill -TERM "${PIDS[router-$victim]}"; wait "${PIDS[router-$victim]}" || soak_fail "router $victim did not stop cleanly"
       start_vm router "$victim" ;;
    6) [ "$(AT=1 order GET /Config.Get || true)" = 200 ] || return 0
       kill_one KILL "director-$victim"; rm -rf "$FOLDER/data-$victim"; mkdir "$FOLDER/data-$victim"
       start_vm director "$victim"; sleep 4 ;;
    7) kill -HUP "${PIDS[router-$victim]}" ;;
    8) echo "${DOMAINS[$((victim - 1))]}-0" >"$FOLDER/draining" ;;
  esac
}

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
first_put() { put_next; [ $ACKED -gt 0 ]; }
wait_for 20 first_put
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(router_address "$1"):7813/ready")" = 200 ]; }
for i in 1 2 3; do wait_for 15 ready $i; done
for i in 1 2 3 4; do
  caller $i &
  CALLERS+=($!)
done

END=$((SECONDS + SPAN))
while [ $SECONDS -lt $END ]; do
  fault
  put_next
  check_read
  sleep "0.$(between 1 9)"
done

# All is calm: the newest configuration is served by every router.
sleep 2
accepted() { put_next; [ $ACKED = $VERSION ]; }
wait_for 20 accepted
newest() { [ "$(AT=$1 order GET /Config.Get)" = 200 ] && grep -q "\"version\":\"$(printf %08x $ACKED)\"" "$FOLDER/body"; }
in_force() { grep -q "event=config_in_force version=$ACKED " "$FOLDER/router-$1.log"; }
for i in 1 2 3; do wait_for 15 newest $i; wait_for 15 in_force $i; wait_for 15 ready $i; done
touch "$FOLDER/enough"
wait "${CALLERS[@]}"

cat "$FOLDER"/told-* >"$FOLDER/told"
awk -v seed="$SEED" '
  NR == FNR { runs[$1]++; next }
  { told[$1] = $2; n[$2]++ }
  END {
    for (id in runs) if (runs[id] > 1) { print "ran " runs[id] " times: " id; bad = 1 }
    for (id in told) {
      if (told[id] == 503 && runs[id]) { print "told not run, but it ran: " id; bad = 1 }
      if (told[id] == 200 && runs[id] != 1) { print "answered, but did not run once: " id; bad = 1 }
    }
    printf "seed %s: %d answered, %d not run, %d unknown, %d without an answer\n", seed, n[200], n[503], n[502] + n[504], n["000"]
    if (n[200] < 100) { print "too few were answered"; bad = 1 }
    exit bad
  }' "$FOLDER/runs" "$FOLDER/told" || soak_fail "the runs and what callers were told do not agree"
