#!/usr/bin/env bash
# Single requests: tickets, resends, conflicts, short and crossed answers,
# callers that go, deadlines, silent connections.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

fail() {
  echo "FAILED: $*" >&2
  cat "$FOLDER/head" "$FOLDER/body" >&2 || true
  exit 1
}

cluster_prepare
short_deadlines 2000
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
SERVICE_TIME_US=1000
cluster_start
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done
sleep 2.5 # the quiet time of the owners of slots

set -- $VMS
HERE=$(vm_address "$1"):8080
ELSEWHERE=$(vm_address "$9"):8080

# ask ENTRY PATH CURL-ARGS...: sets OUTCOME, STATUS and REASON.
ask() {
  local entry=$1 path=$2
  shift 2
  curl -s -m 5 -D "$FOLDER/head" -o "$FOLDER/body" "$@" "http://$entry$path" || true
  tr -d '\r' <"$FOLDER/head" >"$FOLDER/lines"
  STATUS=$(sed -nE '1s/^HTTP[^ ]* ([0-9]*).*/\1/p' "$FOLDER/lines")
  OUTCOME=$(sed -nE 's/^X-Mulberry-Outcome: //p' "$FOLDER/lines")
  REASON=$(sed -nE 's/^X-Mulberry-Reason: //p' "$FOLDER/lines")
}
ticket() {
  curl -s -m 2 "http://$HERE/v1/lookup?service=$1&block=b&ticket=1" |
    sed -E 's/.*"ticket":"([^"]*)".*/\1/'
}
runs() { cat "$FOLDER"/journal-* | grep -c "^start .*caller=$1 " || true; }
ended() { cat "$FOLDER"/journal-* | grep -q "^end .*how=$1"; }

# Without a ticket, and with one that isn't ours.
ask "$HERE" "/s/dedicate/q?caller=t1" -d body
[ "$OUTCOME $STATUS" = "not-run 400" ] || fail "no ticket: $OUTCOME $STATUS"
ask "$HERE" "/s/dedicate/q?caller=t1" -d body -H "Idempotency-Key: forged"
[ "$OUTCOME" = not-run ] || fail "forged ticket: $OUTCOME"
[ "$(runs t1)" = 0 ] || fail "a refused request ran"

# A resend gets the recorded answer, also through another entry VM.
TICKET=$(ticket dedicate)
ask "$HERE" "/s/dedicate/q?caller=t2&bytes=50" -d body -H "Idempotency-Key: $TICKET"
[ "$OUTCOME $STATUS" = "answer 200" ] || fail "first: $OUTCOME $STATUS"
cp "$FOLDER/body" "$FOLDER/first"
for entry in "$HERE" "$ELSEWHERE"; do
  ask "$entry" "/s/dedicate/q?caller=t2&bytes=50" -d body -H "Idempotency-Key: $TICKET"
  [ "$OUTCOME $STATUS" = "answer 200" ] || fail "resend: $OUTCOME $STATUS $REASON"
  cmp "$FOLDER/body" "$FOLDER/first" || fail "the resend got another answer"
done
[ "$(runs t2)" = 1 ] || fail "it ran $(runs t2) times"

# The same ticket for another request.
ask "$ELSEWHERE" "/s/dedicate/q?caller=t3" -d other -H "Idempotency-Key: $TICKET"
[ "$OUTCOME" != answer ] || fail "a ticket was good for two requests"
[ "$(runs t3)" = 0 ] || fail "the second request of a ticket ran"

# Short and crossed answers are never passed on.
for fault in short crossed; do
  ask "$HERE" "/s/dedicate/q?caller=$fault&bytes=500&$fault=1" -d x \
    -H "Idempotency-Key: $(ticket dedicate)"
  [ "$OUTCOME" = unknown ] || fail "$fault: $OUTCOME $STATUS"
  [ "$(runs $fault)" = 1 ] || fail "$fault ran $(runs $fault) times"
  ask "$HERE" "/s/songfind/q?caller=$fault-read&bytes=500&$fault=1"
  [ "$OUTCOME" != answer ] || fail "$fault read: $OUTCOME $STATUS"
done

# A backend server that closes a kept connection after it read the request:
# the request isn't sent a second time.
timeout 30 "$BUILD/bench/bench-load" --entry "$HERE" --service dedicate:POST:dedication:200 -c 24 >"$FOLDER/load.out"
for i in 1 2 3 4 5 6; do
  ask "$HERE" "/s/dedicate/q?caller=hangup$i&hangup=1" -d "x$i" -H "Idempotency-Key: $(ticket dedicate)"
  [ "$OUTCOME" = unknown ] || fail "hangup: $OUTCOME $STATUS $REASON"
  [ "$(runs hangup$i)" = 1 ] || fail "a request ran $(runs hangup$i) times after a hang-up"
done

# A caller that goes takes its work along.
ask "$HERE" "/s/songfind/q?caller=gone&us=1900000" -m 0.3
wait_for 2 ended cancelled
[ "$(runs gone)" = 1 ] || fail "an abandoned request ran $(runs gone) times"

# A deadline that can't be met.
ask "$HERE" "/s/dedicate/q?caller=late&us=1500000" -d x -H "X-Deadline-Ms: 200" \
  -H "Idempotency-Key: $(ticket dedicate)"
[ "$OUTCOME $STATUS $REASON" = "unknown 504 deadline" ] || fail "late: $OUTCOME $STATUS $REASON"
[ "$(runs late)" = 1 ] || fail "a late request ran $(runs late) times"

# Connections to one backend server go silent: reads are answered elsewhere.
SILENT=$(awk -F, '$1 == "backend" && $2 == "queueboard" { print $5; exit }' "$SHEET")
curl -s -m 2 -X POST "http://$SILENT/fake?silent_after=3" >"$FOLDER/body"
timeout 30 "$BUILD/bench/bench-load" --entry "$HERE" --entry "$ELSEWHERE" \
  --service queueboard:GET:host-read:2000 --rate 400 -c 64 --deadline-ms 1500 \
  --journal "$FOLDER/told" >"$FOLDER/load.out"
cat "$FOLDER/load.out"
UNKNOWN=$(grep -c outcome=unknown "$FOLDER/told" || true)
[ "$UNKNOWN" -le 4 ] || fail "$UNKNOWN reads were lost on a silent connection"
cluster_stop
echo passed
