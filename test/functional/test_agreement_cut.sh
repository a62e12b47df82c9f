#!/usr/bin/env bash
# The leader's control VM is cut off from the other control VMs by relays that
# swallow what passes: silently, both ways and one way.  Entry VMs still reach
# it and its old state.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

submit() {
  sed -E "s/number,,[0-9]+/number,,$1/" "$SHEET" >"$FOLDER/next.csv"
  ctl -t 20 ${2:+-v "$2"} sheet submit "$FOLDER/next.csv" >/dev/null || fail "sheet $1 was not accepted"
}

control_says() { # VM PATTERN
  { ctl -o json -t 2 -v "$1" shift status 2>/dev/null || true; } |
    tr -d ' \n' | grep -Eq "\"vm\":\"$1\",$2"
}

in_force_everywhere() {
  local vm
  for vm in $VMS; do sheet_in_force_on "$vm" "$1" || return 1; done
}

never_back() {
  local vm
  for vm in $VMS; do
    sed -nE 's/.*event=sheet_in_force number=([0-9]+).*/\1/p' "$FOLDER/entry-$vm.log" |
      sort -n -c || fail "$vm went back"
  done
}

cluster_prepare
set -- $CONTROL_VMS
CUT=$1
shift

# Between CUT and each other control VM stands a relay, one for each way.
ROUTES=()
CUT_SETTINGS=$FOLDER/cut.yaml
OTHER_SETTINGS=$FOLDER/other.yaml
cp "$SETTINGS" "$CUT_SETTINGS"
cp "$SETTINGS" "$OTHER_SETTINGS"
I=0
for vm in "$@"; do
  I=$((I + 1))
  ROUTES+=(--route "127.$NET.9.$I:7071,$(vm_address "$vm"):7071")
  sed -i -E "/name: $vm,/s/address: [0-9.]+/address: 127.$NET.9.$I/" "$CUT_SETTINGS"
done
ROUTES+=(--route "127.$NET.8.1:7071,$(vm_address "$CUT"):7071")
sed -i -E "/name: $CUT,/s/address: [0-9.]+/address: 127.$NET.8.1/" "$OTHER_SETTINGS"
echo pass >"$FOLDER/relay"
start relay "$BUILD/test/fake-relay" --control "$FOLDER/relay" "${ROUTES[@]}"

start "control-$CUT" "$BUILD/mulberry-control" -s "$CUT_SETTINGS" -v "$CUT"
for vm in "$@"; do
  # Each knows its own address, and CUT's by the relay.
  start "control-$vm" "$BUILD/mulberry-control" -s "$OTHER_SETTINGS" -v "$vm"
done
for vm in $VMS; do start_entry "$vm"; done
N=1000
submit $N
wait_for 10 in_force_everywhere $N

for way in drop drop-to drop-from; do
  echo "$way" >"$FOLDER/relay"
  # The first goes to the cut-off VM, where it finds no majority, and on.
  N=$((N + 1))
  submit $N "$CUT"
  for vm in "$@"; do
    N=$((N + 1))
    submit $N "$vm"
  done
  wait_for 10 in_force_everywhere $N
  # It answers entry VMs that have just started, with its old state.
  for vm in $VMS; do
    kill_one KILL "entry-$vm"
    start_entry "$vm"
  done
  sleep 1
  never_back
  if [ "$way" = drop ]; then
    control_says "$CUT" '"role":"follower","leader":""' || fail 'the cut-off replica does not say so'
  fi
  echo pass >"$FOLDER/relay"
  wait_for 10 control_says "$CUT" "\"role\":\"[a-z]*\",\"leader\":\"[^\"]+\",\"term\":[0-9]+,\"number\":$N"
  never_back
  echo "good: $way"
done
cluster_stop || fail 'a process did not stop cleanly'
echo good
