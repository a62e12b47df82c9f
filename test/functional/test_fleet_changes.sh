#!/usr/bin/env bash
# A fleet that changes while it runs: settings without a signal, callers who
# leave while they wait, a director that is replaced at another address.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
TIMEOUT=20s

fleet_start

# A failure domain that only the changed settings know; no signal is sent.
[ "$(order POST /Evacuations.Start/west-a)" = 400 ] || fail 'an unknown failure domain was accepted'
DOMAINS+=(west-a)
for i in 1 2 3; do write_settings director $i; write_settings router $i; done
accepted() { [ "$(order POST /Evacuations.End/west-a)" = 200 ]; }
wait_for 10 accepted
reloaded() { grep -q 'event=settings_reloaded changed=1' "$FOLDER/router-1.log"; }
wait_for 10 reloaded
echo 'vm: broken' >"$FOLDER/router-1.yaml"
refused() { grep -q 'event=settings_refused' "$FOLDER/router-1.log"; }
wait_for 10 refused
served 1 || fail 'a router does not serve on beside a broken file'
echo 'good: settings change without a signal'

# Every slot is taken, and one caller leaves while it waits for its turn.
held() { curl -s -m 30 -o /dev/null -w '%{http_code}\n' -H 'Host: a.example' -H "Request-Id: $1" -H 'Deadline-Ms: 20000' \
  "http://$(router_address 2):$REQUESTS_PORT/x/held"; }
for n in $(seq 60); do held "id-held-$n" >>"$FOLDER/held" & HELD+=($!); done
full() { [ "$(grep -c '^id-held' "$FOLDER/runs")" -ge 30 ]; }
wait_for 10 full
curl -s -m 1 -o /dev/null -H 'Host: a.example' -H 'Request-Id: id-left' -H 'Deadline-Ms: 20000' \
  "http://$(router_address 2):$REQUESTS_PORT/x/1" && fail 'a request was answered though no slot was free'
left() { grep -q 'event=request_ended id=id-left outcome=gone' "$FOLDER/router-2.log"; }
wait_for 5 left
touch "$FOLDER/release"
for pid in "${HELD[@]}"; do wait "$pid"; done
[ "$(grep -c 200 "$FOLDER/held")" = 60 ] || fail "requests that waited: $(sort "$FOLDER/held" | uniq -c)"
! grep -q '^id-left ' "$FOLDER/runs" || fail 'the request of a caller who had left ran'
echo 'good: a caller who leaves'

# A stop while a backend server does not answer: the caller is told before the
# grace is over, and the router ends as planned.
rm "$FOLDER/release"
LAST=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: a.example' -H 'Request-Id: id-last' -H 'Deadline-Ms: 20000' \
  "http://$(router_address 1):$REQUESTS_PORT/x/held" &
  for _ in $(seq 100); do grep -q '^id-last ' "$FOLDER/runs" && break; sleep 0.1; done
  kill -TERM "${PIDS[router-1]}"
  wait)
wait "${PIDS[router-1]}" || fail 'a router with a request under way did not stop cleanly'
unset 'PIDS[router-1]'
[ "$LAST" = 502 ] || fail "the request under way ended with $LAST"
grep -q 'event=stopped' "$FOLDER/router-1.log" || fail 'the log ends early'
touch "$FOLDER/release"
echo 'good: a stop with a request under way'

# A director is gone for good; an empty one at another address takes its place,
# and then counts for the majority.
kill_one KILL director-3
FIRST_START=false
mkdir "$FOLDER/data-4"
start_vm director 4
AT=1
knows() { [ "$(AT=$1 order GET /Config.Get)" = 200 ] && grep -q "\"version\":\"$2\"" "$FOLDER/body"; }
votes() { grep -q 'event=replica_role role=follower' "$FOLDER/director-4.log"; }
wait_for 20 votes
wait_for 10 knows 4 00000005
kill_one KILL director-1
AT=2
wait_for 20 put "$(config 00000007 idempotent /y/)"
wait_for 10 knows 4 00000007
moved() { [ "$(request 3 /y/1 "id-y$RANDOM")" = 200 ]; }
wait_for 10 moved
echo 'good: a director at another address'
