#!/usr/bin/env bash
# Guards against bodies that the configuration allows and a router refuses, since it holds them whole, and
# against a router whose memory grows with them.
set -euo pipefail
BUILD=$1
SOURCE=$2
TIMEOUT=20s
source "$SOURCE/test/functional/response_ends.sh"
LONGEST=67108864
UPLOADS=4
GROWTH_KIB_MAX=32768 # of a router, by the longest body and then UPLOADS at once

long_config() { config "$1" non_idempotent /x/ | sed "s/\"limits\":{}/\"limits\":{\"max_body_bytes\":$LONGEST}/"; }
head -c $LONGEST /dev/urandom >"$FOLDER/longest"
head -c 40000000 "$FOLDER/longest" >"$FOLDER/long"

# upload ROUTER NAME ID FILE [curl options]: its status to FOLDER/ID.status.
upload() {
  local router=$1 name=$2 id=$3 file=$4
  shift 4
  curl -s -m 20 -o "$FOLDER/$id.answer" -w '%{http_code}' -H 'Host: a.example' -H "Request-Id: $id" \
    -H 'Deadline-Ms: 20000' -H 'Expect:' --data-binary "@$file" "$@" \
    "http://$(router_address "$router"):$REQUESTS_PORT/x/$name" >"$FOLDER/$id.status" || true
}
memory_kib() { awk -v key="$2:" '$1 == key { print $2 }' "/proc/${PIDS[router-$1]}/status"; }
# The upload ID of FILE arrived whole and once, and has its own answer.
arrived() {
  [ "$(cat "$FOLDER/$1.status")" = 200 ] || fail "$1: status $(cat "$FOLDER/$1.status")"
  cmp -s "$2" "$FOLDER/body-$1" || fail "$1: another body arrived"
  body_of "$1" | cmp -s - "$FOLDER/$1.answer" || fail "$1: not its own answer"
  [ "$(grep -c "^$1 " "$FOLDER/runs")" = 1 ] || fail "$1 did not run once"
  rm "$FOLDER/body-$1"
}

# Without a limit in the configuration, the bound is what a router holds whole.
upload 1 keeps-body no-limit "$FOLDER/long"
[ "$(cat "$FOLDER/no-limit.status")" = 413 ] || fail "no limit: status $(cat "$FOLDER/no-limit.status")"
wait_for 15 put "$(long_config 00000006)"
in_force() { grep -q 'event=config_in_force version=6 ' "$FOLDER/router-1.log"; }
wait_for 10 in_force
before=$(memory_kib 1 VmRSS)
upload 1 keeps-body longest "$FOLDER/longest"
arrived longest "$FOLDER/longest"
uploading=()
for n in $(seq $UPLOADS); do
  upload 1 keeps-body "at-once-$n" "$FOLDER/long" &
  uploading+=($!)
done
wait "${uploading[@]}"
for n in $(seq $UPLOADS); do arrived "at-once-$n" "$FOLDER/long"; done
after=$(memory_kib 1 VmHWM)
[ $((after - before)) -le $GROWTH_KIB_MAX ] || fail "a router's memory grew from $before to $after KiB"
echo "good: the longest, and $UPLOADS at once; memory grew by $((after - before)) KiB"

# One byte more than is allowed, and one with no length that is longer than what is held.
echo >>"$FOLDER/longest"
upload 1 keeps-body too-long "$FOLDER/longest"
[ "$(cat "$FOLDER/too-long.status")" = 413 ] || fail "too long: status $(cat "$FOLDER/too-long.status")"
upload 1 keeps-body in-chunks "$FOLDER/long" -H 'Transfer-Encoding: chunked'
[ "$(cat "$FOLDER/in-chunks.status")" = 413 ] || fail "in chunks: status $(cat "$FOLDER/in-chunks.status")"
! grep -q '^too-long \|^in-chunks ' "$FOLDER/runs" || fail 'a request with too long a body ran'
echo 'good: too long'

# Slow readers, slow callers, answers before the end of the body.
upload 2 reads-late reads-late "$FOLDER/long" &
late=$!
upload 2 keeps-body slow-caller "$FOLDER/long" --limit-rate 20M
arrived slow-caller "$FOLDER/long"
wait $late
[ "$(cat "$FOLDER/reads-late.status")" = 200 ] || fail "reads-late: status $(cat "$FOLDER/reads-late.status")"
upload 2 answers-early answers-early "$FOLDER/long"
[ "$(cat "$FOLDER/answers-early.status")" = 200 ] || fail "answers-early: status $(cat "$FOLDER/answers-early.status")"
echo 'good: slow readers and callers, an early answer'

# What was passed on is gone: a refusal is told, and no other backend server gets the request.
upload 2 refused refused "$FOLDER/long"
[ "$(cat "$FOLDER/refused.status")" = 503 ] || fail "refused: status $(cat "$FOLDER/refused.status")"
n=$(grep -c 'event=request_sent id=refused ' "$FOLDER/router-2.log")
[ "$n" = 1 ] || fail "a request whose body was gone was sent $n times"
echo 'good: refused'

# What has ended is told at once, though most of the body is still to come: to one that waits to be told to go
# on with it, to one that asks for the head alone, to ones that send no more of it.
head_only() { # ROUTER METHOD PATH ID [field]: the first line of the answer within 3 s
  printf '%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nContent-Length: 40000000\r\n%s\r\n%s' \
    "$2" "$3" "$4" "${5:+$5$'\r\n'}" "${6:-}" |
    timeout 3 bash -c "exec 3<>/dev/tcp/$(router_address "$1")/$REQUESTS_PORT; cat >&3; head -n 1 <&3" | tr -d '\r'
}
STALLED=8
case $(head_only 3 POST /nowhere no-route 'Expect: 100-continue') in
  'HTTP/1.1 404 '*) ;;
  *) fail 'a request without a route was not told so at once' ;;
esac
case $(head_only 3 HEAD /x/length head) in
  'HTTP/1.1 200 '*) ;;
  *) fail 'a HEAD with a long body was not answered at once' ;;
esac
for n in $(seq $STALLED); do
  case $(head_only 3 POST /x/length "stalls-$n" 'Deadline-Ms: 600' 'a part') in
    'HTTP/1.1 504 '*) ;;
    *) fail 'a caller that sends no more of its body was not told 504 in time' ;;
  esac
done
! grep -q 'event=backend_probed .*failures=[1-9]' "$FOLDER/router-3.log" || fail 'backend servers are blamed for callers that stall'
! grep -q '^stalls-' "$FOLDER/runs" || fail 'a request ran whose body did not come to its end'
echo 'good: told at once'

# A caller that leaves in the middle: the request does not run, and the router goes on.
upload 2 keeps-body leaves "$FOLDER/long" --limit-rate 10M -m 1
wait_for 5 grep -q 'event=request_ended id=leaves outcome=gone' "$FOLDER/router-2.log"
! grep -q '^leaves ' "$FOLDER/runs" || fail 'a request ran whose body did not come to its end'
each good length
check_all
echo 'good: a caller who leaves'
