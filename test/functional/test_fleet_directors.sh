#!/usr/bin/env bash
# 27 directors: they come to a roster, acknowledge a configuration, lose nine of
# them, are all killed at once, and still know what they acknowledged.  Guards
# against a deployment of many directors that never gets a roster, and against
# messages that do not fit.
set -euo pipefail
BUILD=$1
SOURCE=$2
DIRECTORS=27
source "$SOURCE/test/functional/fleet.sh"

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in $(seq $DIRECTORS); do mkdir "$FOLDER/data-$i"; start_vm director "$i"; done
start_vm router 1
served() { [ "$(request 1 /x/1 "id-$RANDOM")" = 200 ]; }
published() { grep -q 'event=config_published' "$FOLDER/director-$1.log"; }
in_force() { [ "$(order GET /Config.Get)" = 200 ] && grep -q "$1" "$FOLDER/body"; }
wait_for 20 put "$(config 00000005 idempotent /x/)"
wait_for 10 served
for i in $(seq $DIRECTORS); do
  wait_for 10 logged "event=roster_adopted slots=$DIRECTORS" "director-$i"
done
echo "good: $DIRECTORS directors with one roster"

# A third of them, one failure domain, is gone: the others elect a leader.
for i in $(seq 3 3 $DIRECTORS); do kill_one KILL "director-$i"; done
wait_for 10 put "$(config 00000006 idempotent /x/)"
wait_for 10 served
echo 'good: nine directors lost'

# Many configurations in the log.  Guards against a start that hands each of
# them out in turn, which takes so long that the leader loses its lease.
for version in $(seq 11 40); do
  wait_for 10 put "$(config "000000$version" idempotent /x/)"
done

for i in "${!PIDS[@]}"; do
  case $i in director-*) kill -KILL "${PIDS[$i]}" ;; esac
done
for i in $(seq $DIRECTORS); do
  wait "${PIDS[director-$i]:-1}" 2>/dev/null || true
  unset "PIDS[director-$i]"
done
FIRST_START=false
for i in $(seq $DIRECTORS); do : >"$FOLDER/director-$i.log"; start_vm director "$i"; done
for at in 1 3 $DIRECTORS; do AT=$at wait_for 10 in_force 00000040; done
for i in 1 2 $DIRECTORS; do
  wait_for 10 published "$i"
  n=$(grep -c 'event=config_published' "$FOLDER/director-$i.log")
  [ "$n" -le 5 ] || fail "director $i published $n configurations"
done
wait_for 10 served
end_all "${!PIDS[@]}"
! grep -hE 'rpc_(call|reply)_too_long|roster_full' "$FOLDER"/*.log || fail 'a message did not fit'
echo 'good: all directors killed'
