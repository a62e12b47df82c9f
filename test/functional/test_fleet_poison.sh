#!/usr/bin/env bash
# Guards against a request that ends one backend server after the other, with
# the requests of others that run there: after three crashes every router
# refuses it, and says so; other requests are served on.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
SETTLE_MSEC=3000
RETRIES_MAX=3

fleet_start

# The same request at one router after the other, as a caller that retries.
for n in $(seq 1 18); do
  request $((n % 3 + 1)) /x/crash "crash-$n" >"$FOLDER/status-$n" || true
  sleep 0.5
done
read -r CRASHES LATE < <(awk -v settle=$SETTLE_MSEC '
  $1 ~ /^crash-/ && ++n == 3 { third = $3 }
  $1 ~ /^crash-/ && n > 3 && $3 > third + settle { late++ }
  END { print n + 0, late + 0 }' "$FOLDER/runs")
echo "crashes=$CRASHES late=$LATE"
[ "$CRASHES" -ge 3 ] || fail 'three crashes were to be seen'
[ "$LATE" -le $RETRIES_MAX ] || fail "$LATE more crashes, later than $SETTLE_MSEC ms after the third"

for i in 1 2 3; do
  [ "$(request $i /x/crash "refused-$i" -D "$FOLDER/head")" = 503 ] || fail "router $i does not refuse the request"
  grep -qi '^retry-after: 60' "$FOLDER/head" || fail "router $i does not say when to come back: $(cat "$FOLDER/head")"
  grep -qx quarantined "$FOLDER/answer" || fail "router $i does not say why"
  [ "$(request $i /x/crash "other-$i" -H "Authorization: Token another-caller-$i" -X HEAD -m 1)" != 503 ] ||
    fail "router $i refuses the request of another caller"
  wait_for 10 served $i
done
! grep -q '^refused-' "$FOLDER/runs" || fail 'a request that was told as not run has run'
listed() { "$BUILD/mulberryctl" fleet show "$(director_address "$1"):$OPERATORS_PORT" | grep -q '^quarantined: requests [0-9a-f]\{32\}'; }
for i in 1 2 3; do wait_for 5 listed $i; done

# An operator ends the quarantine, at one director: it ends at all of them and at the routers.
release() { "$BUILD/mulberryctl" fleet release "$1" --director "$(director_address 2):$OPERATORS_PORT"; }
rc=0
release 0123456789abcdef0123456789abcdef 2>"$FOLDER/error" || rc=$?
[ $rc = 3 ] || fail "a fingerprint that is not quarantined: exit code $rc"
# All that are listed: what a request of others crashed on may be listed too.
all_released() {
  local fingerprint i
  for fingerprint in $("$BUILD/mulberryctl" fleet show "$(director_address 2):$OPERATORS_PORT" |
    sed -nE 's/^quarantined: requests ([0-9a-f]{32}).*/\1/p'); do release "$fingerprint" || return 1; done
  for i in 1 2 3; do ! listed $i || return 1; done
}
wait_for 10 all_released
no_longer_refused() { ! { [ "$(request "$1" /x/crash "released-$1")" = 503 ] && grep -qx quarantined "$FOLDER/answer"; }; }
wait_for 5 no_longer_refused 3
grep -q '^released-3 ' "$FOLDER/runs" || fail 'the request did not run after its quarantine was ended'
echo 'good: a request that crashes backend servers'
