#!/usr/bin/env bash
# Guards against directors that elect no leader for as long as each sync of their disks takes a while.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
need_shim
SYNC_MSEC=300
ACCEPT_SECONDS=10 # some thirty syncs

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do
  mkdir "$FOLDER/data-$i"
  echo "slow $SYNC_MSEC" >"$FOLDER/fault-director-$i"
  start_vm director $i
done
wait_for $ACCEPT_SECONDS put "$(config 00000005 idempotent /x/)"
echo good
