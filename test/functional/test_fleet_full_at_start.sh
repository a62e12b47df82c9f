#!/usr/bin/env bash
# Directors start while their disks are full.  Guards against processes that end
# for that, and so take no part once there is room.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
need_shim

full() { echo "$2" >"$FOLDER/fault-director-$1"; }
room() { rm -f "$FOLDER/fault-director-$1"; }
runs() { kill -0 "${PIDS[director-$1]}" 2>/dev/null || fail "director $1 ended"; }
put() { [ "$(AT=$1 order POST /Config.Put "$(config "$2" idempotent /x/)")" = 200 ]; }
said() { grep -q "$2" "$FOLDER/director-$1.log"; }
applied() { said "$1" "event=command_applied .* version=$2 "; }

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"

# The first start: director 2 can't create its folder, director 3 can't write
# to it.
mkdir "$FOLDER/data-1" "$FOLDER/data-3"
full 2 'full create'
full 3 full
for i in 1 2 3; do start_vm director $i; done
for i in 2 3; do wait_for 10 said $i 'event=disk_lost'; done
sleep 1
for i in 2 3; do runs $i; room $i; done
wait_for 20 put 1 00000005
for i in 1 2 3; do wait_for 10 applied $i 5; done
echo 'good: a first start'

# A later start, with half of a record that can't be cut off.
for i in 1 2 3; do
  : >"$FOLDER/director-$i.log"
  full $i 'short truncate'
  until said $i 'event=disk_not_regained'; do
    VERSION=$((${VERSION:-10} + 1))
    for at in 1 2 3; do put "$at" "000000$VERSION" && break; done
    sleep 0.1
  done
  kill_one KILL "director-$i"
  : >"$FOLDER/director-$i.log"
  FIRST_START=false start_vm director $i
  wait_for 10 said $i 'event=disk_not_regained'
  runs $i
  room $i
  wait_for 10 said $i 'event=disk_regained'
  wait_for 10 applied $i "$((16#000000$VERSION))"
done
echo 'good: a later start'
