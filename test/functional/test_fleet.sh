#!/usr/bin/env bash
# Directors and routers as real processes, through their public interface:
# configurations, look-ups, requests, drains, evacuations, stops, lost directors.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done

# Without a configuration: refused as not run, never "not found".
sleep 1
[ "$(request 1 /x/1 id-0)" = 503 ] || fail 'a router without a configuration did not answer 503'
wait_for 15 put "$(config 00000005 idempotent /x/)"
for i in 1 2 3; do wait_for 10 ready $i; done
unknown=$(curl -s -w ' %{http_code}' "http://$(router_address 1):7813/other")
[[ $unknown == *'ask for /ready'*' 404' ]] || fail "an unknown page of the readiness port told '$unknown'"
echo 'good: started'

# The newest configuration, from any director; what is invalid or older changes nothing.
for AT in 1 2 3; do
  [ "$(order GET /Config.Get)" = 200 ] || fail "director $AT can't tell the configuration"
  grep -q '"version":"00000005"' "$FOLDER/body" || fail "director $AT told another version"
done
[ "$(order POST /Config.Put "$(config 00000006 often /x/)")" = 400 ] || fail 'an unknown kind was not refused'
grep -q 'route_kind' "$FOLDER/body" || fail 'the refusal does not name the field'
[ "$(order POST /Config.Put '{"version":"00000009"')" = 400 ] || fail 'half a configuration was not refused'
[ "$(order POST /Config.Put "$(config 00000004 idempotent /old/)")" = 200 ] || fail 'an older version was not acknowledged'
order GET /Config.Get >/dev/null
grep -q '"version":"00000005"' "$FOLDER/body" || fail 'an older version came into force'
echo 'good: configurations'

# Look-ups name the routers of the caller's region, its own failure domain first.
named() {
  curl -s "http://$NET.1.2:$LOOKUPS_PORT/resolve?name=a.example&region=north&zone=north-b" |
    grep -q "\"addresses\":\\[\"$NET.2.2:7812\",\"$NET.2.1:7812\"\\]"
}
wait_for 5 named # routers are ready before every director has heard of them
echo 'good: look-ups'

# Requests: the query arrives, an unknown path is not found, two lengths are refused.
[ "$(request 1 '/x/1?q=2' id-1)" = 200 ] || fail 'a request was not answered'
grep -q '^id-1 ' "$FOLDER/runs" || fail 'the request did not run'
[ "$(request 1 /x/3 id-3a -X POST -H 'Content-Type:' -d '')" = 200 ] || fail 'a request without a body was not answered'
grep -q '^id-3a .* -$' "$FOLDER/runs" || fail 'a request without a Content-Type got one'
[ "$(request 1 /y/1 id-2)" = 404 ] || fail 'an unknown path was not 404'
printf 'POST /x/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-3\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' \
  | timeout 3 bash -c "exec 3<>/dev/tcp/$(router_address 1)/$REQUESTS_PORT; cat >&3; cat <&3" >"$FOLDER/raw" || true
grep -q '^HTTP/1.1 400' "$FOLDER/raw" || fail 'two lengths were not refused'
! grep -q '^id-3 ' "$FOLDER/runs" || fail 'a request with two lengths ran'
echo 'good: requests'

# What a director knows.
"$BUILD/mulberryctl" fleet show "$NET.1.3:$OPERATORS_PORT" >"$FOLDER/view" || fail 'fleet show'
grep -q 'configuration 5,' "$FOLDER/view" || fail "fleet show: $(head -1 "$FOLDER/view")"
for word in router-2 north-a-0 /x/ $NET.1.2; do grep -q -- "$word" "$FOLDER/view" || fail "fleet show does not tell of $word"; done
"$BUILD/mulberryctl" fleet show $NET.1.9:1 >/dev/null 2>&1 && fail 'fleet show of nobody'

# What became of a request, from the logs alone.
told() {
  "$BUILD/mulberryctl" explain id-1 --log "$FOLDER/router-1.log" --log "$FOLDER/router-2.log" >"$FOLDER/story" || return 1
  grep -q 'request_sent id=id-1' "$FOLDER/story" && tail -1 "$FOLDER/story" | grep -q 'passed on'
}
wait_for 5 told # the log is written a little later
"$BUILD/mulberryctl" explain id-9 <"$FOLDER/router-1.log" >/dev/null && fail 'a story of a request that never came'
echo 'good: explained'

# A new version is in force on every router; one that changes what may run twice.
wait_for 5 put "$(config 00000008 non_idempotent /z/)"
moved() { [ "$(request "$1" /z/1 "id-z$1")" = 200 ]; }
for i in 1 2 3; do
  wait_for 3 moved $i
  [ "$(request $i /x/1 id-x$i)" = 404 ] || fail "router $i still has the old route"
done
echo 'good: a change is in force everywhere'

# A draining backend server, and an evacuated failure domain, get nothing new.
echo north-a-0 >"$FOLDER/draining"
[ "$(order POST /Evacuations.Start/north-b)" = 200 ] || fail 'an evacuation was not acknowledged'
[ "$(order POST /Evacuations.Start/nowhere)" = 400 ] || fail 'an unknown failure domain was accepted'
sleep 3
for n in $(seq 60); do
  [ "$(request $((n % 3 + 1)) "/z/$n" "id-d$n" -b "Affinity-Key=$n" -X POST -d body)" = 200 ] || fail "request $n was not answered"
done
[ "$(grep -c '^id-d' "$FOLDER/runs")" = 60 ] || fail 'a request ran twice or not at all'
! grep -qE '^id-d.* (north-a-0|north-b-)' "$FOLDER/runs" || fail 'a leaving backend server got new work'
[ "$(order POST /Evacuations.End/north-b)" = 200 ] || fail 'the evacuation could not be ended'
echo 'good: drains and evacuations'

# A planned stop: what is under way is answered, the look-ups forget the router.
request 1 /z/slow id-slow >"$FOLDER/slow" &
SLOW=$!
sleep 0.2
kill -TERM "${PIDS[router-1]}"
wait "$SLOW"
[ "$(cat "$FOLDER/slow")" = 200 ] || fail "a stop cut a request: $(cat "$FOLDER/slow")"
wait "${PIDS[router-1]}" || fail 'the router did not stop cleanly'
unset 'PIDS[router-1]'
forgotten() { ! curl -s "http://$NET.1.2:$LOOKUPS_PORT/resolve?name=a.example&region=north&zone=north-a" | grep -q $NET.2.1; }
wait_for 5 forgotten
grep -q 'event=stopped' "$FOLDER/router-1.log" || fail 'the log ends early'
echo 'good: a planned stop'

# A director that loses its disk, killed together with another one: nothing is forgotten.
FIRST_START=false
kill_one KILL director-1
rm -rf "$FOLDER/data-1"
mkdir "$FOLDER/data-1"
start_vm director 1
AT=2
wait_for 10 put "$(config 0000000a idempotent /w/)"
kill_one KILL director-2
kill_one KILL director-3
start_vm director 2
start_vm director 3
newest() { [ "$(AT=$1 order GET /Config.Get)" = 200 ] && grep -q '"version":"0000000a"' "$FOLDER/body"; }
for i in 1 2 3; do wait_for 15 newest $i; done
served() { [ "$(request 2 /w/1 "id-w$RANDOM")" = 200 ]; }
wait_for 10 served
echo 'good: lost directors'
