#!/usr/bin/env bash
# crashes.sh BUILD SOURCE [SEED [ROUNDS]]: requests that end the backend servers that run them, with
# callers, pauses, run times and timeouts drawn from SEED. In half of the rounds one director or one
# router is lost all the while, since before the round, longer than the time in which the others settle.
#
# Checked in each round: late attempts stay within the bound, and no request is quarantined that
# merely ran beside it (test/functional/crash_load.sh).
#
# It ends only processes that it started.  On a failure it names the seed and keeps the logs in
# SOAK_KEEP.
set -euo pipefail
BUILD=$1
SOURCE=$2
SEED=${3:-1}
ROUNDS=${4:-3}
source "$SOURCE/test/functional/fleet.sh"
source "$SOURCE/test/functional/crash_load.sh"
RANDOM=$SEED
CALLERS=(1 2 3 4 5 6 9 12)
PAUSES=(0.05 0.1 0.3 1)
RUN_MSEC=(0 50 300 700 1400 2000 2500 3000)
ENDS=("" "" "" -504)
STAYS=("" "" 0.3 0.5) # how long the callers stay; "": until the end
SETTLED_SECONDS=4
ENDS_MIN=0 # one caller alone may end two in a round

# draw NAME: one of the array's values, in DRAWN.  A subshell's RANDOM does not follow the seed.
draw() {
  local -n values=$1
  DRAWN=${values[$((RANDOM % ${#values[@]}))]}
}

fleet_start
for round in $(seq "$ROUNDS"); do
  lost=
  case $((RANDOM % 4)) in
    0) lost=director-$((RANDOM % 3 + 1)) ;;
    1) lost=router-$((RANDOM % 3 + 1)) ;;
  esac
  draw CALLERS; callers=$DRAWN
  draw PAUSES; pause=$DRAWN
  draw RUN_MSEC; run=$DRAWN
  draw ENDS; run+=$DRAWN
  draw STAYS; LEAVES=$DRAWN
  echo "round $round: $callers callers, $pause s, $run ms, stay: ${LEAVES:-until the end}, lost: ${lost:-none}"
  if [ -n "$lost" ]; then
    kill_one KILL "$lost"
    sleep $SETTLED_SECONDS
  fi
  try "round$round" "$callers" "$pause" "$run" 12
  [ -z "$lost" ] || start_vm "${lost%-*}" "${lost#*-}"
done
if [ -n "$FAULTS" ]; then
  [ -z "${SOAK_KEEP:-}" ] || cp -r "$FOLDER" "$SOAK_KEEP/crashes-$SEED"
  echo "seed $SEED: $FAULTS" >&2
  exit 1
fi
echo "seed $SEED: good"
