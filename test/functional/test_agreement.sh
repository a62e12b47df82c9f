#!/usr/bin/env bash
# Accepted sheets through real processes: kills during submissions, equal numbers,
# a frozen leader.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/agreement.sh"

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
applied() {
  INDEX=$(sed -nE "s/.*event=sheet_applied number=$N .*index=([0-9]+).*/\1/p" "$FOLDER"/control-*.log | sort -n | tail -1)
  [ -n "$INDEX" ]
}
wait_for 10 applied
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

cluster_stop || fail 'a process did not stop cleanly'
echo good
