#!/usr/bin/env bash
# Guards against look-ups that name a restarted entry VM before it can serve, and against one
# that is cut off from control and never named again.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=cooperative
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

cluster_prepare
short_deadlines 2000
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
cluster_start
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done

set -- $VMS
RESTARTED=$1
ASKED=$(vm_address "$5"):8080
# Look up for blocks that start at different VMs; the VMs named go to FOLDER/named.
look_up() {
  local n
  for n in $(seq 40); do
    curl -sf -m 5 "http://$ASKED/v1/lookup?service=kalendar&block=$n" || return 1
  done >"$FOLDER/named"
}
names() { grep -qF "\"$1\"" "$FOLDER/named"; }
named() { look_up && names "$(vm_address "$RESTARTED"):8080"; }
wait_for 20 named

# Without control processes it learns neither a sheet nor what it may spend.
for vm in $CONTROL_VMS; do kill_one KILL "control-$vm"; done
kill_one KILL "entry-$RESTARTED"
start_entry "$RESTARTED"
wait_for 20 curl -s -m 2 -o "$FOLDER/probe" "http://$(vm_address "$RESTARTED"):8080/v1/lookup"
END=$((SECONDS + 2)) # it applies no sheet that may be old for 4 s
while [ $SECONDS -lt $END ]; do
  look_up
  names "$ASKED" || { echo "a look-up does not name $5" >&2; exit 1; }
  if names "$(vm_address "$RESTARTED"):8080"; then
    echo "a look-up names $RESTARTED, which has no sheet" >&2
    exit 1
  fi
  sleep 0.1
done
wait_for 20 named
cluster_stop
