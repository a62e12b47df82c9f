#!/usr/bin/env bash
# The disks of control VMs are full for some seconds, one after another, never
# two at once.  Guards against processes that run on but take part in nothing
# once there is room again, so that sheets are refused for good.
set -euo pipefail
BUILD=$1
SOURCE=$2
SHIM=$BUILD/test/libfault-shim.so
[ -e "$SHIM" ] || { echo 'not run: the sanitizers take the place of the shim'; exit 0; }
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

fail() {
  [ -z "${KEEP_LOGS:-}" ] || cp -r "$FOLDER" "$KEEP_LOGS"
  echo "FAILED: $*" >&2
  grep -h 'level=\(error\|warning\)' "$FOLDER"/control-*.log | tail -n 8 >&2
  exit 1
}
start_control() {
  start "control-$1" env LD_PRELOAD="$SHIM" FAULT_CONTROL="$FOLDER/fault-$1" \
    "$BUILD/mulberry-control" -s "$SETTINGS" -v "$1"
}
# submit SECONDS: one more sheet is accepted within that time; the same one is
# sent, by any control VM, until it is.
submit() {
  N=$((N + 1))
  sed -E "s/number,,[0-9]+/number,,$N/" "$SHEET" >"$FOLDER/next.csv"
  submitted() { ctl -t 2 sheet submit "$FOLDER/next.csv"; }
  wait_for "$1" submitted || fail "sheet $N was not accepted within $1 s"
}
# Its exit code tells whether the sheet is in force on entry VMs; none run.
status_of() { { ctl -o json -t 2 -v "$1" shift status 2>/dev/null || true; } | tr -d ' \n'; }
votes() { status_of "$1" | grep -Eq "\"vm\":\"$1\",\"role\":\"(leader|follower)\""; }
healthy() { ! curl -s "http://$(vm_address "$1"):9091/health" | grep -q 'data folder'; }
lost_disk() { grep -q 'event=storage_failed' "$FOLDER/control-$1.log"; }

cluster_prepare
N=1000
for vm in $CONTROL_VMS; do start_control "$vm"; done
cluster_runs
submit 20
for how in full short sync; do
  for vm in $CONTROL_VMS; do
    : >"$FOLDER/control-$vm.log"
    echo "$how" >"$FOLDER/fault-$vm"
    END=$((SECONDS + 10))
    until lost_disk "$vm"; do
      submit 10
      [ $SECONDS -lt $END ] || fail "the disk of $vm refused nothing"
    done
    submit 10
    rm "$FOLDER/fault-$vm"
  done
  submit 10
  for vm in $CONTROL_VMS; do
    wait_for 10 votes "$vm" || fail "$vm takes no part after its disk was full ($how)"
    wait_for 5 healthy "$vm" || fail "$vm says that its disk still fails"
  done
  echo "good: $how, one after another"
done

# A process that starts without its folder, on a full disk.
set -- $CONTROL_VMS
kill_one KILL "control-$1"
rm -rf "$FOLDER/var/$1"
echo 'full create' >"$FOLDER/fault-$1"
: >"$FOLDER/control-$1.log"
start_control "$1"
says_so() { curl -s "http://$(vm_address "$1"):9091/health" | grep -q 'data folder'; }
wait_for 10 says_so "$1" || fail "the health page of $1 says nothing"
submit 10
kill -0 "${PIDS[control-$1]}" || fail "$1 ended"
rm "$FOLDER/fault-$1"
wait_for 15 votes "$1" || fail "$1 takes no part after a start on a full disk"
wait_for 5 healthy "$1" || fail "$1 says that its disk still fails"
echo 'good: a start on a full disk'

# All that take part again count: the others may be lost.
set -- $CONTROL_VMS
for vm in "${@:1:$((($# - 1) / 2))}"; do kill_one KILL "control-$vm"; done
submit 10
echo 'good: a minority lost afterwards'
