#!/usr/bin/env bash
# Guards against requests that run without a valid key or for another account, keys that
# reach backend servers or logs, and quotas that the routers break together.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
RATE=2
BURST=2
WINDOW_SECONDS=5
ALLOWED=$(((RATE * WINDOW_SECONDS + BURST) * 11 / 10 + 20))

# accounts_config VERSION ALPHA_KEYS
accounts_config() {
  cat <<JSON
{"version":"$1","routes":{
"r":{"host":"a.example","path_prefix":"/x/","route_kind":"idempotent","timeout":"2s",
"target_latency":"300ms","priority":1,"service":"search","attempts":2,"sticky":false,"home_regions":[]},
"o":{"host":"a.example","path_prefix":"/open/","route_kind":"idempotent","timeout":"2s","anonymous":true,
"target_latency":"300ms","priority":1,"service":"search","attempts":2,"sticky":false,"home_regions":[]}},
"services":{"search":{"health_path":"/health","max_conns":300,"cold_start":"3s","cold_per_s":5}},
"limits":{},"tenants":{
"alpha":{"api_keys":[$2],"priority":0,"rate_per_s":$RATE,"burst":$BURST,"home_regions":[]},
"beta":{"api_keys":["secret-beta"],"priority":0,"home_regions":["east"]}}}
JSON
}

# ask ROUTER PATH ID [KEY]
ask() { request "$1" "$2" "$3" ${4:+-H "Authorization: Token $4"} -H 'Tenant: forged'; }
account_of() { awk -v id="$1" '$1 == id { print $2, $4 }' "$FOLDER/accounts"; }

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
put() { [ "$(order POST /Config.Put "$(accounts_config "$@")")" = 200 ]; }
wait_for 15 put 00000005 '"secret-alpha","secret-old"'
for i in 1 2 3; do
  serves() { [ "$(ask $i /x/1 "warm-$i-$RANDOM$RANDOM" secret-beta)" = 200 ]; }
  wait_for 10 serves
done

[ "$(ask 1 /x/1 none)" = 401 ] || fail 'a request without a key was not refused'
[ "$(ask 1 /x/1 wrong secret-none)" = 401 ] || fail 'a request with an unknown key was not refused'
[ "$(ask 1 /none/1 lost secret-none)" = 404 ] || fail 'a request without a route was not refused as such'
[ "$(ask 1 /x/1 beta-1 secret-beta)" = 200 ] || fail 'a request with a key was not served'
[ "$(account_of beta-1)" = 'beta no-key' ] || fail "the backend server was told: $(account_of beta-1)"
[ "$(ask 2 /open/1 open-1)" = 200 ] || fail 'a request of an anonymous route was not served'
[ "$(account_of open-1)" = '- no-key' ] || fail "the backend server was told: $(account_of open-1)"
grep -qE '^(none|wrong) ' "$FOLDER/reached" && fail 'a refused request reached a backend server'
awk '$1 ~ /^(warm|beta)/ && $2 !~ /^east/ { exit 1 }' "$FOLDER/reached" || fail "an account's request left its home region"

# A shared key is refused, and the message names no key.
order POST /Config.Put "$(accounts_config 00000006 '"secret-alpha","secret-beta"')" >"$FOLDER/status"
grep -qx 400 "$FOLDER/status" && grep -q 'share a key' "$FOLDER/body" || fail 'a shared key was not refused'

# An account presses through all routers, over its quota; a director is killed meanwhile.
press() {
  local n
  for n in $(seq 1 "$2"); do
    ask "$1" /x/1 "alpha-$1-$n" secret-alpha >>"$FOLDER/status-$1"
    echo >>"$FOLDER/status-$1"
    [ $n != 20 ] || [ "$1" != 1 ] || kill_one KILL director-1
    sleep 0.05
  done
}
LOADS=()
for i in 1 2 3; do
  press $i 120 &
  LOADS+=($!)
done
for n in $(seq 1 20); do
  [ "$(ask 2 /x/1 "calm-$n" secret-beta)" = 200 ] || fail 'another account was refused'
  sleep 0.1
done
wait "${LOADS[@]}"
MOST=$(awk -v span=$((WINDOW_SECONDS * 1000)) '
  /^alpha-/ { t[n++] = $3 }
  END { for (i = 0; i < n; i++) { c = 0; for (j = 0; j < n; j++) if (t[j] >= t[i] && t[j] < t[i] + span) c++; if (c > most) most = c } print most + 0 }' "$FOLDER/runs")
REFUSED=$(cat "$FOLDER"/status-? | grep -cx 429)
echo "quota: $MOST ran in $WINDOW_SECONDS s, $ALLOWED are allowed; $REFUSED of 360 refused"
[ "$MOST" -le $ALLOWED ] || fail "$MOST requests of an account ran in $WINDOW_SECONDS s"
[ "$MOST" -ge $((RATE * WINDOW_SECONDS / 2)) ] || fail "only $MOST requests of an account ran"
[ "$REFUSED" -gt 0 ] || fail 'no request was refused'
over() { [ "$(request 2 /x/1 "over-$RANDOM$RANDOM" -D "$FOLDER/head" -H 'Authorization: Token secret-alpha')" = 429 ]; }
wait_for 10 over
grep -qi '^Retry-After: ' "$FOLDER/head" || fail 'a refusal does not say when to come back'

# A key that is taken away is refused.
put_again() { AT=2 put 00000007 '"secret-alpha"'; }
wait_for 10 put_again
gone() { [ "$(ask 3 /x/1 "old-$RANDOM$RANDOM" secret-old)" = 401 ]; }
wait_for 5 gone
end_all "${!PIDS[@]}"
! grep -q 'secret-' "$FOLDER"/*.log || fail 'a log holds a key'
echo 'good: client accounts, keys and quotas'
