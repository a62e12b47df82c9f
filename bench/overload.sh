#!/usr/bin/env bash
# Real processes at 50, 95 and 150% of what the slots of one service carry:
# answers a second against capacity, and how soon refusals come.
# overload.sh BUILD SOURCE
BUILD=$1 SOURCE=$2 ORG=consortium NET=${NET:-53}
FOLDER=$(mktemp -d)
. "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT
SERVICE_TIME_US=20000 BACKENDS=12 SLOTS=3 LOAD_SECONDS=6 DEADLINE_MS=800

cluster_prepare
short_deadlines 2000
cluster_start
wait_for 10 ctl sheet submit "$SHEET"
number=$(sed -nE 's/^shift,,,number,,//p' "$SHEET")
for vm in $VMS; do wait_for 10 sheet_in_force_on "$vm" "$number"; done
entries=()
for vm in $VMS; do entries+=(--entry "$(vm_address "$vm"):8080"); done
warm() { curl -sf "http://$(vm_address "$1"):8080/s/songfind/item" -o "$FOLDER/warm"; }
for vm in $VMS; do wait_for 10 warm "$vm"; done

capacity=$((BACKENDS * SLOTS * 1000000 / SERVICE_TIME_US))
echo "capacity: $capacity answers a second ($BACKENDS backend servers, $SLOTS slots, $SERVICE_TIME_US us)"
printf '%6s %8s %9s %8s %8s %12s %12s %14s\n' load% sent/s answer/s not-run unknown p99-ms refusal-p50 refusal-p99-ms
for percent in 50 95 150; do
  rate=$((capacity * percent / 100))
  rm -f "$FOLDER/told"
  timeout 60 "$BUILD/bench/bench-load" "${entries[@]}" --connections 600 --rate $rate --duration $LOAD_SECONDS \
    --deadline-ms $DEADLINE_MS --seed $percent --journal "$FOLDER/told" \
    --service songfind:GET:search:10000000 >"$FOLDER/load" || { cat "$FOLDER/load"; exit 1; }
  grep 'outcome=not-run' "$FOLDER/told" | sed -E 's/.* us=([0-9]+).*/\1/' | sort -n >"$FOLDER/refusals" || true
  awk -v percent=$percent -v seconds=$LOAD_SECONDS -v file="$FOLDER/refusals" '
    /^songfind/ {
      while ((getline us < file) > 0) wait[n++] = us
      printf "%6d %8.0f %9.0f %8d %8d %12s %12.1f %14.1f\n", percent, $4 / seconds, $5 / seconds,
        $6, $7, $10, wait[int(n / 2)] / 1000, wait[int(n * 0.99)] / 1000
    }' "$FOLDER/load"
done
cluster_stop
