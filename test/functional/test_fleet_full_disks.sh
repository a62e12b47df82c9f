#!/usr/bin/env bash
# The disks of directors are full for some seconds, one after another, while the
# configuration changes.  Guards against directors that do not take part again
# once there is room, so that changes are refused for good.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
need_shim
DIRECTORS=${DIRECTORS:-3}
VERSION=10

full() { echo "${2:-full}" >"$FOLDER/fault-director-$1"; }
room() { rm -f "$FOLDER/fault-director-$1"; }
count() { grep -c "event=$2" "$FOLDER/director-$1.log" || true; }

# change SECONDS: one more configuration is acknowledged within that time, by
# any director; the same one is sent until it is.
change() {
  local end=$((SECONDS + $1))
  VERSION=$((VERSION + 1))
  while :; do
    for AT in $(seq "$DIRECTORS"); do
      put "$(config "$(printf %08d $VERSION)" idempotent /x/)" && return
    done
    [ $SECONDS -lt $end ] || fail "configuration $VERSION was not acknowledged within $1 s"
    sleep 0.05
  done
}
# Whether a director has applied the last configuration.
applied() { tail -n 40 "$FOLDER/director-$1.log" | grep -q "event=command_applied .* version=$((16#$(printf %08d $VERSION))) "; }

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in $(seq "$DIRECTORS"); do mkdir "$FOLDER/data-$i"; start_vm director "$i"; done
start_vm router 1
change 20

# The next disk is full as soon as the previous one has room, whether its
# director has caught up or not.
for how in full short sync create rename 'short truncate'; do
  for victim in $(seq "$DIRECTORS"); do
    lost=$(count "$victim" disk_lost)
    full "$victim" "$how"
    for _ in 1 2 3 4; do change 10; sleep 0.1; done
    room "$victim"
  done
  change 10
  [ "$how" = create ] || [ "$how" = rename ] || [ "$(count "$victim" disk_lost)" -gt "$lost" ] \
    || fail "the disk of director $victim refused nothing ($how)"
  for i in $(seq "$DIRECTORS"); do wait_for 10 applied "$i"; done
  echo "good: $how, one after another"
done

# All take part again: without any one of them changes are still acknowledged.
for victim in $(seq "$DIRECTORS"); do
  kill_one KILL "director-$victim"
  change 10
  FIRST_START=false start_vm director "$victim"
  wait_for 10 applied "$victim"
done
echo 'good: each one lost afterwards'
