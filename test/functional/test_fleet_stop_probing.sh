#!/usr/bin/env bash
# Guards against a router that does not end in order while health checks are under way.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"

fleet_start
kill -STOP "${PIDS[platform]}"
probing() {
  DEADLINE_MSEC=300 served 1 || true
  logged 'event=backend_probed .* healthy=0' router-1
}
wait_for 30 probing
kill -TERM "${PIDS[router-1]}"
wait "${PIDS[router-1]}" || fail 'a router did not stop cleanly'
unset 'PIDS[router-1]'
echo 'good: stopped while health checks are under way'
