#!/usr/bin/env bash
# Guards against a request that is told as not run and runs, by what happens between its last byte and its answer.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
# Most requests are answered, so that servers stay in use.
ENDS=length,late,idle-close,late,length,late-reset,late,idle-close-later,late-or-refused,length,late,reset-or-refused
ENDS+=,late,idle-reset,length,late-close,late-or-refused,late,reset,length,late,refused
CALLERS=()

call() { # SEED DEADLINE_MSEC
  "$BUILD/test/fake-caller" --ends "$ENDS" --deadline "$2" "$1" "$FOLDER/enough" \
    "$NET".2.{1,2,3}:$REQUESTS_PORT >"$FOLDER/told-$1" 2>>"$FOLDER/callers.log" &
  CALLERS+=($!)
  PIDS[caller-$1]=$!
}

# pause SECONDS PROCESS
pause() {
  kill -STOP "${PIDS[$2]}"
  sleep "$1"
  kill -CONT "${PIDS[$2]}"
  sleep 0.4
}

stop_router() {
  kill -TERM "${PIDS[router-$1]}"
  wait "${PIDS[router-$1]}" || fail "router $1 did not stop cleanly"
  start_vm router "$1"
  wait_for 10 ready "$1"
}

kill_router() {
  kill_one KILL "router-$1"
  start_vm router "$1"
  wait_for 10 ready "$1"
}

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" $RAW_OFFSET "${DOMAINS[@]}"
start_raw raw-1 1 3
start_raw raw-4 4 3
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
wait_for 15 put "$(two_routes 00000005)"
for i in 1 2 3; do wait_for 10 served $i; done

for n in {1..16}; do call "$n" 3000; done
for n in {17..20}; do call "$n" 300; done
for i in 1 2 3; do
  pause 0.1 "router-$i"
  pause 0.5 "router-$i"
  pause 1.2 "router-$i"
  stop_router $i
  pause 2.4 raw-$((i == 2 ? 4 : 1))
  kill_router $i
  kill -USR1 "${PIDS[raw-4]}"
  sleep 0.3
  kill_one TERM raw-4
  start_raw raw-4 4 3
  pause 2.4 "router-$i"
done
for i in 1 2 3; do stop_router $i; done
touch "$FOLDER/enough"
wait "${CALLERS[@]}"
sleep 0.3 # the longest pause of a backend server: what it has read is in its record
end_all router-{1,2,3}

cat "$FOLDER"/told-* >"$FOLDER/told"
awk '
  FILENAME ~ /runs$/ { runs[$1]++; next }
  { told[$1] = $2; n[$2]++ }
  END {
    for (id in runs) if (runs[id] > 1 && id !~ /^g/) { print "ran " runs[id] " times: " id; bad = 1 }
    for (id in told) {
      ran += id in runs
      if (told[id] ~ /^(408|421|429|503)$/ && runs[id]) { print "told " told[id] ", but it ran: " id; bad = 1 }
    }
    for (status in n) printf "%s: %d, ", status, n[status]
    print ran " ran"
    if (n[200] < 100 || n[503] < 20 || n[502] < 20) { print "too few of a kind"; bad = 1 }
    exit bad
  }' "$FOLDER/runs" "$FOLDER/told" || fail 'the runs and what callers were told do not agree'
for i in 1 2 3; do
  ! logged 'event=request_ended .* status=\(408\|421\|429\|503\) may_have_run=1' router-$i ||
    fail 'a request that may have run ended with a promise'
done
