#!/usr/bin/env bash
# Accepted sheets through real processes: a full disk, wiped data folders, a replica
# and an entry VM that are hundreds of changes behind.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/agreement.sh"

for i in $(seq "$SUBMISSIONS"); do submit $((N + i)); done
N=$((N + SUBMISSIONS))

# A full disk (a limit of file sizes stands for it) stops that replica alone.
set -- $CONTROL_VMS
kill_one KILL "control-$1"
(
  trap '' XFSZ
  ulimit -f 64
  exec "$BUILD/mulberry-control" -s "$SETTINGS" -v "$1"
) >"$FOLDER/full.log" 2>&1 &
PIDS[control-$1]=$!
filled() {
  N=$((N + 1))
  submit $N
  grep -q 'event=storage_failed kind=storage' "$FOLDER/full.log"
}
wait_for 20 filled
# It opens the folder anew every second, and may use it again until the limit is
# reached once more.
is_halted() { status_of "$1" | tr -d ' \n' | grep -q "\"vm\":\"$1\",\"role\":\"halted\""; }
says_so() { curl -s "http://$(vm_address "$1"):9091/health" | grep -q "mend the disk"; }
END=$((SECONDS + 10))
until is_halted "$1" && says_so "$1"; do
  N=$((N + 1))
  submit $N
  [ $SECONDS -lt $END ] || fail "$1 is not halted, or its health page says nothing"
done
N=$((N + 1))
submit $N
kill_one KILL "control-$1"
start_control "$1"
wait_for 15 votes "$1"
echo 'good: a full disk'

# Wiped data folders, one after the other; then a second one right after the
# repair of the first, and one during it.
for vm in $CONTROL_VMS; do
  wipe "$vm"
  wait_for 15 votes "$vm"
  N=$((N + 1))
  submit $N
done
set -- $CONTROL_VMS
wipe "$1"
wait_for 15 votes "$1"
wipe "$2"
N=$((N + 1))
submit $N
wait_for 15 votes "$2"
wipe "$3"
wipe "$4"
N=$((N + 1))
submit $N
wait_for 15 votes "$3"
wait_for 15 votes "$4"
cp "$FOLDER/answer-1001" "$FOLDER/first"
submit 1001
cmp -s "$FOLDER/first" "$FOLDER/answer-1001" || fail 'a wiped cluster forgot sheet 1001'
echo 'good: wiped data folders'

# One of each is hundreds of changes behind.
kill_one KILL "control-$1"
kill_one KILL "entry-$1"
for _ in $(seq 200); do
  N=$((N + 1))
  submit $N
done
start_control "$1"
start_entry "$1"
wait_for 10 sheet_in_force_on "$1" $N
wait_for 10 grep -q "event=sheet_applied number=$N\|event=snapshot_restored" "$FOLDER/control-$1.log"
never_back

# All at once.
for vm in $CONTROL_VMS; do kill_one KILL "control-$vm"; done
for vm in $CONTROL_VMS; do start_control "$vm"; done
N=$((N + 1))
submit $N
wait_for 10 in_force_everywhere $N
never_back
cluster_stop || fail 'a process did not stop cleanly'
echo good
