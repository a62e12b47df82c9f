#!/usr/bin/env bash
# A burst of one tenant, many times what the backend servers run at once,
# leaves another tenant's requests in time.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

cluster_prepare
# A short longest deadline: owners of slots are quiet for as long at the start.
short_deadlines 3000
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
SERVICE_TIME_US=20000
cluster_start
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done
sleep 3.5 # the quiet time

ENTRIES=()
for vm in $VMS; do ENTRIES+=(--entry "$(vm_address "$vm"):8080"); done
# 36 slots of 20 ms; 1,200 requests at once wait for 650 ms.
start burst timeout 40 "$BUILD/bench/bench-load" "${ENTRIES[@]}" --tenant burst \
  --service chartroom:GET:chart-read:1000000 --connections 1200 --duration 6 --deadline-ms 3000
BURST=${PIDS[burst]}
sleep 1
"$BUILD/bench/bench-load" "${ENTRIES[@]}" --tenant other --service chartroom:GET:chart-read:1000000 \
  --rate 100 --connections 32 --duration 4 --deadline-ms 400 --journal "$FOLDER/told" >"$FOLDER/other"
unset 'PIDS[burst]'
wait "$BURST" || { cat "$FOLDER/burst.out" "$FOLDER/burst.log" >&2; exit 1; }
cat "$FOLDER/burst.out" "$FOLDER/other"
cluster_stop
awk '/^told/ { sent++; if (/outcome=answer/) answered++ }
     END { print "other tenant: " answered + 0 " of " sent + 0 " answered in time"
           exit !(sent > 100 && answered >= 0.99 * sent) }' "$FOLDER/told"
