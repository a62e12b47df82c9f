#!/usr/bin/env bash
# How each role's cost grows with the system, by real processes at three sizes:
# bench/capacity.sh BUILD SOURCE.  docs/CAPACITY.md says what follows from it.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=46
SIZES="${SIZES:-24 48 96}"
IDLE_SECONDS=${IDLE_SECONDS:-8}
CHANGES=${CHANGES:-10}
TOP=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
source "$SOURCE/bench/scale_settings.sh"
trap 'cluster_kill; rm -rf "$TOP"' EXIT
TICKS=$(getconf CLK_TCK)

# State by size, in one process.
pairs=()
for n in 400 800 1600; do
  FOLDER=$TOP/state-$n
  mkdir "$FOLDER"
  scale_prepare "$n" 18 64 $((n * 3))
  pairs+=("$SETTINGS" "$SHEET")
done
"$BUILD/bench/bench-capacity" "${pairs[@]}"

# cpu PREFIX: CPU ticks of all processes whose name begins so.
cpu() {
  local name sum=0 fields
  for name in "${!PIDS[@]}"; do
    [[ $name == $1* ]] || continue
    fields=$(sed 's/.*) //' "/proc/${PIDS[$name]}/stat")
    set -- "$1" $fields
    sum=$((sum + ${13} + ${14}))
  done
  echo "$sum"
}

# rss PREFIX: the largest resident size in KiB.
rss() {
  local name most=0 size
  for name in "${!PIDS[@]}"; do
    [[ $name == $1* ]] || continue
    size=$(awk '/VmRSS/ {print $2}' "/proc/${PIDS[$name]}/status")
    [ "$size" -gt "$most" ] && most=$size
  done
  echo "$most"
}

# page_sum NAME: a counter, summed over the control VMs' pages.
page_sum() {
  local vm
  for vm in $CONTROL_VMS; do curl -s "http://$(vm_address "$vm"):9091/metrics"; done |
    awk -v name="$1" '$1 == name { sum += $2 } END { print sum + 0 }'
}

all_have() {
  local vm
  for vm in $ENTRIES; do sheet_in_force_on "$vm" "$1" || return 1; done
}

# mark: remember the counters; since SECONDS LABEL: print the rates.
mark() {
  CONTROL_CPU=$(cpu control-)
  ENTRY_CPU=$(cpu entry-)
  IN=$(page_sum mulberry_rpc_in_bytes_total)
  OUT=$(page_sum mulberry_rpc_out_bytes_total)
  STARTED=$(date +%s.%N)
}

since() {
  local seconds
  seconds=$(awk -v a="$STARTED" -v b="$(date +%s.%N)" 'BEGIN {print b - a}')
  awk -v label="$1" -v n="$2" -v t="$seconds" -v ticks="$TICKS" \
    -v control=$(($(cpu control-) - CONTROL_CPU)) \
    -v entry=$(($(cpu entry-) - ENTRY_CPU)) \
    -v bytes=$(($(page_sum mulberry_rpc_in_bytes_total) - IN + $(page_sum mulberry_rpc_out_bytes_total) - OUT)) \
    -v control_rss="$(rss control-)" -v entry_rss="$(rss entry-)" 'BEGIN {
      printf "%-8s %4d entry VMs, %4.1f s: control (3 VMs) %.2f%% of a core, %d KiB each; an entry VM %.3f%%, %d KiB; control bytes a second and entry VM %.0f\n",
        label, n, t, 100 * control / ticks / t, control_rss, 100 * entry / ticks / t / n, entry_rss, bytes / t / n }'
}

for n in $SIZES; do
  FOLDER=$TOP/run-$n
  mkdir "$FOLDER"
  scale_prepare "$n" 6 12 96
  ENTRIES=$(seq -f 'vm-%g' 0 $((n - 1)))
  for vm in $CONTROL_VMS; do start_control "$vm"; done
  for vm in $CONTROL_VMS; do wait_for 20 curl -sf "http://$(vm_address "$vm"):9091/health"; done
  for vm in $ENTRIES; do start_entry "$vm"; done
  wait_for 20 ctl sheet submit "$SHEET"
  wait_for 30 all_have 1
  mark
  sleep "$IDLE_SECONDS"
  since idle "$n"
  mark
  for i in $(seq 2 $((CHANGES + 1))); do
    sed "s/number,,1$/number,,$i/" "$SHEET" >"$FOLDER/next.csv"
    ctl sheet submit "$FOLDER/next.csv" >/dev/null
    sleep 0.5
  done
  submitted=$(date +%s.%N)
  wait_for 30 all_have $((CHANGES + 1))
  awk -v a="$submitted" -v b="$(date +%s.%N)" -v n="$n" 'BEGIN {printf "in force on all %d within %.1f s after the last change\n", n, b - a + 0.5}'
  since changes "$n"
  echo "mulberryctl shift status over $n VMs: $({ TIMEFORMAT=%R; time ctl shift status >/dev/null; } 2>&1) s"
  cluster_stop
done
