#!/usr/bin/env bash
# A director's data folder can't be opened for some seconds, or it is frozen, and a
# spare director takes its slot.  Guards against a director that stays out for good then, though
# another one is lost later, and against a roster that is never saved.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
SHIM=$BUILD/test/libfault-shim.so
[ -e "$SHIM" ] || SHIM=

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; done
put() { # VERSION: to any director that runs
  for AT in 1 2 3 4; do
    [ -z "${PIDS[director-$AT]:-}" ] && continue
    [ "$(order POST /Config.Put "$(config "$1" idempotent /x/)")" = 200 ] && return
  done
  return 1
}
said() { grep -q "$2" "$FOLDER/director-$1.log"; }
wait_for 20 put 00000005
FIRST_START=false
mkdir "$FOLDER/data-4"
start_vm director 4
wait_for 10 said 4 'event=roster_adopted slots=3 slot=255'

# Half of a record is on director 3's disk, and can't be cut off.  Director 1
# can't save the roster that it then gets.
full_disk() {
  echo 'short truncate' >"$FOLDER/fault-director-3"
  echo create >"$FOLDER/fault-director-1"
  wait_for 10 put 00000006
  wait_for 15 said 4 'event=roster_adopted slots=3 slot=2$'
  wait_for 10 said 1 'event=roster_not_saved'
  wait_for 10 put 00000007
  rm "$FOLDER/fault-director-3" "$FOLDER/fault-director-1"
  same_roster() { cmp "$FOLDER/data-$1/roster" "$FOLDER/data-$2/roster"; }
  wait_for 10 same_roster 1 4
  echo 'good: the roster is saved once there is room'
  wait_for 10 said 3 'event=disk_regained'
  wait_for 10 put 00000008
}
# The sanitizers take the place of the shim: director 3 is frozen.
freeze() {
  kill -STOP "${PIDS[director-3]}"
  wait_for 10 put 00000006
  wait_for 15 said 4 'event=roster_adopted slots=3 slot=2$'
  kill -CONT "${PIDS[director-3]}"
  wait_for 10 put 00000008
}
if [ -n "$SHIM" ]; then full_disk; else freeze; fi

# Director 4 leads, of which director 3's roster knows nothing.
leads() { grep 'event=replica_role' "$FOLDER/director-$1.log" | tail -n 1 | grep -q 'role=leader'; }
one_leads() { leads 1 || leads 2 || leads 4; }
END=$((SECONDS + 30))
until leads 4; do
  for i in 1 2; do
    leads $i || continue
    kill -STOP "${PIDS[director-$i]}"
    sleep 1
    kill -CONT "${PIDS[director-$i]}"
    sleep 1
  done
  [ $SECONDS -lt $END ] || fail 'director 4 never leads'
  wait_for 10 one_leads
done

# Director 2 is gone for good: director 3 takes its slot and its vote, so that
# director 1 may be lost too.
kill_one KILL director-2
wait_for 20 said 3 'event=roster_adopted slots=3 slot=1$'
wait_for 10 put 00000009
votes() { said "$1" "event=command_applied .* version=$2 "; }
wait_for 10 votes 3 9
swapped() { said 1 'event=replica_swapped slot=1'; }
wait_for 10 swapped
kill_one KILL director-1
wait_for 15 put 0000000a
for i in 3 4; do wait_for 10 votes $i 10; done
echo 'good: a director that had lost its slot takes another'
