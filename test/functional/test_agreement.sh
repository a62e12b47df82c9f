#!/usr/bin/env bash
# Accepted sheets through real processes: kills during submissions, a frozen
# leader, equal numbers, wiped data folders, a replica and an entry VM that are
# hundreds of changes behind.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
LOOP=
trap '[ -z "$LOOP" ] || kill "$LOOP" 2>/dev/null || true; cluster_kill; rm -rf "$FOLDER"' EXIT

SUBMISSIONS=${SUBMISSIONS:-300}

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# sheet_with NUMBER [CAP]: a sheet file with that number.
sheet_with() {
  sed -E "s/number,,[0-9]+/number,,$1/; s/cost_cap,,([0-9]+)/cost_cap,,${2:-}\1/" \
    "$SHEET" >"$FOLDER/sheet-$1${2:+-$2}.csv"
  echo "$FOLDER/sheet-$1${2:+-$2}.csv"
}

# The answer without the VM that gave it.
submit() { ctl -t 30 sheet submit "$(sheet_with "$1")" | sed 's/, by .*//' >"$FOLDER/answer-$1"; }

leader() {
  { ctl -o json -t 5 shift status 2>/dev/null || true; } | sed -nE 's/.*"leader": *"([^"]+)".*/\1/p' | head -1
}

has_leader() { [ -n "$(leader)" ]; }

# Its exit code tells whether the sheet is in force everywhere.
status_of() { ctl -o json -t 2 -v "$1" shift status 2>/dev/null || true; }

# votes VM: it leads or follows with a vote of its own.  Another VM's answer
# does not count.
votes() {
  status_of "$1" | tr -d ' \n' | grep -Eq "\"vm\":\"$1\",\"role\":\"(leader|follower)\""
}

in_force_everywhere() {
  local vm
  for vm in $VMS; do sheet_in_force_on "$vm" "$1" || return 1; done
}

# No entry VM ever put a lower number in force than it had, in any life.
never_back() {
  local vm
  for vm in $VMS; do
    sed -nE 's/.*event=sheet_in_force number=([0-9]+).*/\1/p' "$FOLDER/entry-$vm.log" |
      sort -n -c || fail "$vm went back"
  done
}

wipe() {
  kill_one KILL "control-$1"
  rm -rf "$FOLDER/var/$1"
  start_control "$1"
}

cluster_prepare
for vm in $CONTROL_VMS; do start_control "$vm"; done
for vm in $VMS; do start_entry "$vm"; done
wait_for 10 has_leader
N=1000

# Kills in a loop during submissions.
(
  for i in $(seq "$SUBMISSIONS"); do
    submit $((N + i)) || echo "$((N + i))" >>"$FOLDER/lost"
  done
  touch "$FOLDER/enough"
) &
LOOP=$!
KILLS=0
while [ ! -e "$FOLDER/enough" ]; do
  for vm in $CONTROL_VMS; do
    sleep 0.3
    [ ! -e "$FOLDER/enough" ] || break
    kill_one KILL "control-$vm"
    start_control "$vm"
    KILLS=$((KILLS + 1))
  done
done
wait "$LOOP"
LOOP=
[ ! -e "$FOLDER/lost" ] || fail "not accepted: $(tr '\n' ' ' <"$FOLDER/lost")"
[ $KILLS -ge 5 ] || fail "only $KILLS kills"
N=$((N + SUBMISSIONS))
wait_for 10 in_force_everywhere $N
never_back
# A sheet's new budget is shared out by a few entries, not by a storm of them.
INDEX=$(sed -nE "s/.*event=sheet_applied number=$N .*index=([0-9]+).*/\1/p" "$FOLDER"/control-*.log | sort -n | tail -1)
[ "$INDEX" -le $((SUBMISSIONS * 30)) ] || fail "$INDEX entries for $SUBMISSIONS sheets"
for i in 1001 $((N / 2 + 500)) $N; do
  cp "$FOLDER/answer-$i" "$FOLDER/first"
  submit $i
  cmp -s "$FOLDER/first" "$FOLDER/answer-$i" || { cat "$FOLDER/first" "$FOLDER/answer-$i"; fail "a resend of $i got another answer"; }
done
echo "good: $SUBMISSIONS submissions under $KILLS kills"

# Equal numbers: one wins, and all learn which.
N=$((N + 1))
for side in 1 2 3 4; do
  ctl -t 30 sheet submit "$(sheet_with $N $side)" >"$FOLDER/race-$side" 2>&1 &
  eval "RACE_$side=$!"
done
WON=0
for side in 1 2 3 4; do
  eval "pid=\$RACE_$side"
  if wait "$pid"; then
    WON=$((WON + 1))
    DIGEST=$(sha256sum "$FOLDER/sheet-$N-$side.csv" | cut -d' ' -f1)
  fi
done
[ $WON = 1 ] || fail "$WON of four equal numbers won"
[ "$(grep -l "$DIGEST" "$FOLDER"/race-[1-4] | wc -l)" -ge 3 ] || fail 'the losers were not told the winner'
echo 'good: equal numbers'

# The leader freezes for longer than its lease, and thaws.
OLD=$(leader)
kill_one STOP "control-$OLD"
N=$((N + 1))
submit $N
sleep 1
kill_one CONT "control-$OLD"
N=$((N + 1))
ctl -t 30 -v "$OLD" sheet submit "$(sheet_with $N)" >/dev/null || fail 'the thawed replica takes no sheet'
wait_for 10 in_force_everywhere $N
never_back
echo 'good: a frozen leader'

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
halted() { status_of "$1" | tr -d ' \n' | grep -q "\"vm\":\"$1\",\"role\":\"halted\""; }
wait_for 5 halted "$1"
curl -s "http://$(vm_address "$1"):9091/health" | grep -q "mend the disk" || fail "its health page says nothing"
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
