#!/usr/bin/env bash
# Guards against requests that are refused for the cost cap while the control processes elect a
# leader, although the cap is not used up and their deadline is far.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT
CAP=10        # yen: about 2,000 requests
REQUESTS=60   # more than what one entry VM holds of it
DEADLINE_MS=1500 # elections may take 4 s

cluster_prepare
sed -i "s/^shift,,,cost_cap,,.*/shift,,,cost_cap,,$CAP/; /^shift,,,expected_requests/d" "$SHEET"
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
cluster_start
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done
sleep 4.5 # the quiet time of the owners of slots

set -- $VMS
HERE=$(vm_address "$1"):8080
ask() { # N
  curl -s -m 8 -D "$FOLDER/told-$1" -o /dev/null -H "X-Deadline-Ms: $DEADLINE_MS" -H "X-Request-Id: r$1" \
    "http://$HERE/s/songfind/item?caller=c$1" || true
}
ask first
grep -q ' 200 ' "$FOLDER/told-first" || { cat "$FOLDER/told-first" >&2; exit 1; }

# Those that go on have no majority, and say at once that they are no leader.
STOPPED=$(echo $CONTROL_VMS | cut -d' ' -f1-3)
for vm in $STOPPED; do kill_one KILL "control-$vm"; done
asks=()
for n in $(seq $REQUESTS); do
  ask "$n" &
  asks+=($!)
done
wait "${asks[@]}"
WAITED=0
for n in $(seq $REQUESTS); do
  if grep -q 'Reason: deadline' "$FOLDER/told-$n"; then
    WAITED=$((WAITED + 1))
  elif ! grep -q ' 200 ' "$FOLDER/told-$n"; then
    echo "request $n, sent while there was no leader:" >&2
    cat "$FOLDER/told-$n" >&2
    exit 1
  fi
done
[ $WAITED -gt 0 ] || { echo "no request had to wait: the test shows nothing" >&2; exit 1; }
for vm in $STOPPED; do start_control "$vm"; done
answered_again() {
  ask again
  grep -q ' 200 ' "$FOLDER/told-again"
}
wait_for 20 answered_again
cluster_stop
