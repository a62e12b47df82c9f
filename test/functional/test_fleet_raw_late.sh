#!/usr/bin/env bash
# Guards against a stand-in of a backend server that stays out for good: where all routers had
# it out before it served a request, its health checks were answered without its id.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
BACKENDS=6

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" $RAW_OFFSET "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; done
start_vm router 1
wait_for 15 put "$(config 00000005 idempotent /x/)"
wait_for 15 ready 1
all_out() {
  served 1 && fail 'served though no backend server listens'
  local n
  n=$(grep 'event=backend_probed' "$FOLDER/router-1.log" | grep -o 'backend=[^ ]*' | sort -u | wc -l)
  [ "$n" = $BACKENDS ]
}
wait_for 20 all_out
start_raw raw 1 $BACKENDS
served() { [ "$(request "$1" /x/length "id-$RANDOM$RANDOM")" = 200 ]; }
wait_for 10 served 1
echo 'good: served after all were out'
