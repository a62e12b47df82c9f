#!/usr/bin/env bash
# Guards against directors that elect no leader for as long as each sync of their disks takes a while, or lose
# it with each change of their roster.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
need_shim
SYNC_MSEC=300
ACCEPT_SECONDS=10 # some thirty syncs

slow_director() {
  mkdir "$FOLDER/data-$1"
  echo "slow $SYNC_MSEC" >"$FOLDER/fault-director-$1"
  start_vm director "$1"
}

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do slow_director $i; done
wait_for $ACCEPT_SECONDS put "$(config 00000005 idempotent /x/)"
echo 'good: accepted'

# One takes the place of a director that is gone for good: the majority needs it then.
kill_one KILL director-3
FIRST_START=false
slow_director 4
votes() { grep -q 'event=replica_role role=follower' "$FOLDER/director-4.log"; }
wait_for 20 votes
wait_for $ACCEPT_SECONDS put "$(config 00000006 idempotent /x/)"
kill_one KILL director-1
AT=2
wait_for 20 put "$(config 00000007 idempotent /x/)"
echo 'good: a director at another address'
