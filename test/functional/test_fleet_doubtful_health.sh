#!/usr/bin/env bash
# Guards against a backend server that is in use again by a health check whose response contradicts itself or is none.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" $RAW_OFFSET "${DOMAINS[@]}"
start_raw checked 1 2
start_raw good 3 4
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
wait_for 15 put "$(config 00000005 non_idempotent /x/)"
served() { [ "$(request "$1" /x/length "id-$RANDOM$RANDOM")" = 200 ]; }
for i in 1 2 3; do wait_for 10 served $i; done

checks() { grep -c "event=backend_probed backend=north-a-[01] ${1:-}" "$FOLDER/router-1.log" || true; }

# A backend server that can't be reached is out until a check succeeds.
is_out() {
  request 1 /x/length "out-$RANDOM$RANDOM" -H "Cookie: Affinity-Key=$RANDOM" >/dev/null || true
  [ "$(checks 'healthy=0')" -ge $((BEFORE + 2)) ]
}

# checked NAME: health checks are answered with the response NAME; sets HEALTHY to those that succeed.
checked() {
  kill_one KILL checked
  BEFORE=$(checks 'healthy=0')
  wait_for 15 is_out
  local healthy n
  healthy=$(checks 'healthy=1')
  start_raw checked 1 2 "$1"
  n=$(checks)
  enough() { [ "$(checks)" -ge $((n + 4)) ] || [ "$(checks 'healthy=1')" -gt "$healthy" ]; }
  wait_for 15 enough
  HEALTHY=$(($(checks 'healthy=1') - healthy))
}

for name in ran-200-stated status-000 status-099 status-600 status-999 ran-503 ran-503-rest ran-429 ran-421; do
  checked $name
  echo "$name: $HEALTHY checks succeeded"
  [ "$HEALTHY" = 0 ] || fail "$name: a health check succeeded"
done
# The same servers are in use again by a good response.
checked length
[ "$HEALTHY" -gt 0 ] || fail 'no health check succeeds'
