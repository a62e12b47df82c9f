#!/usr/bin/env bash
# A director's data folder can't be opened for some seconds, and a spare director
# takes its slot.  Guards against a roster that is never saved.
set -euo pipefail
BUILD=$1
SOURCE=$2
SHIM=$BUILD/test/libfault-shim.so
[ -e "$SHIM" ] || { echo 'not run: the sanitizers take the place of the shim'; exit 0; }
source "$SOURCE/test/functional/fleet.sh"

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
echo 'short truncate' >"$FOLDER/fault-director-3"
echo create >"$FOLDER/fault-director-1"
wait_for 10 put 00000006
wait_for 15 said 4 'event=roster_adopted slots=3 slot=2'
wait_for 10 said 1 'event=roster_not_saved'
wait_for 10 put 00000007
rm "$FOLDER/fault-director-3" "$FOLDER/fault-director-1"
same_roster() { cmp "$FOLDER/data-$1/roster" "$FOLDER/data-$2/roster"; }
wait_for 10 same_roster 1 4
echo 'good: the roster is saved once there is room'
