#!/usr/bin/env bash
# How each role's cost grows with the system, by real processes at three sizes:
# bench/capacity.sh BUILD SOURCE.  docs/CAPACITY.md says what follows from it.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=46
# VMS:DOMAINS:BACKENDS:PULL_INTERVAL_MS.  The first three grow the failure
# domains, the next two their number; then a domain as large as at the size to
# design for, at two intervals; then the sheet grows.
SIZES="${SIZES:-24:12:96:500 48:12:96:500 96:12:96:500 96:24:96:500 96:48:96:500
  100:4:96:500 100:4:96:2000 24:12:1200:500 24:12:4800:500}"
IDLE_SECONDS=${IDLE_SECONDS:-6}
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

# entry_bytes FILE: RPC bytes in and out of each entry VM so far, a line each.
entry_bytes() {
  local vm urls=()
  for vm in $ENTRIES; do urls+=("http://$(vm_address "$vm"):9090/metrics"); done
  curl -s "${urls[@]}" | awk '$1 == "mulberry_rpc_in_bytes_total" { n = $2 }
    $1 == "mulberry_rpc_out_bytes_total" { print n + $2 }' >"$1"
}

# mark: remember the counters; since LABEL: print the rates.
mark() {
  entry_bytes "$FOLDER/before"
  CONTROL_CPU=$(cpu control-)
  ENTRY_CPU=$(cpu entry-)
  IN=$(page_sum mulberry_rpc_in_bytes_total)
  OUT=$(page_sum mulberry_rpc_out_bytes_total)
  STARTED=$(date +%s.%N)
}

since() {
  local t control entry bytes
  t=$(awk -v a="$STARTED" -v b="$(date +%s.%N)" 'BEGIN {print b - a}')
  control=$(($(cpu control-) - CONTROL_CPU))
  entry=$(($(cpu entry-) - ENTRY_CPU))
  bytes=$(($(page_sum mulberry_rpc_in_bytes_total) - IN + $(page_sum mulberry_rpc_out_bytes_total) - OUT))
  entry_bytes "$FOLDER/after"
  paste "$FOLDER/before" "$FOLDER/after" | awk -v label="$1" -v n="$n" -v t="$t" \
    -v ticks="$TICKS" -v control="$control" -v entry="$entry" -v bytes="$bytes" \
    -v control_rss="$(rss control-)" -v entry_rss="$(rss entry-)" '
    { sum += $2 - $1; if ($2 - $1 > most) most = $2 - $1 }
    END {
      printf "%-8s control (3 VMs) %5.2f%% of a core, %6d KiB, %7.0f B/s; entry VM %6.3f%%, %6d KiB, %5.0f B/s, the most %6.0f B/s\n",
        label, 100 * control / ticks / t, control_rss, bytes / t,
        100 * entry / ticks / t / n, entry_rss, sum / t / n, most / t }'
}

for size in $SIZES; do
  IFS=: read -r n domains backends PULL_INTERVAL_MS <<<"$size"
  FOLDER=$TOP/run-$size
  mkdir "$FOLDER"
  scale_prepare "$n" $((domains < 6 ? domains : 6)) "$domains" "$backends"
  echo "== $n entry VMs in $domains failure domains, $backends backend servers, pulls every $PULL_INTERVAL_MS ms"
  ENTRIES=$(seq -f 'vm-%g' 0 $((n - 1)))
  for vm in $CONTROL_VMS; do start_control "$vm"; done
  for vm in $CONTROL_VMS; do wait_for 20 curl -sf "http://$(vm_address "$vm"):9091/health"; done
  for vm in $ENTRIES; do start_entry "$vm"; done
  wait_for 20 ctl sheet submit "$SHEET"
  wait_for 30 all_have 1
  mark
  sleep "$IDLE_SECONDS"
  since idle
  mark
  for i in $(seq 2 $((CHANGES + 1))); do
    sed "s/number,,1$/number,,$i/" "$SHEET" >"$FOLDER/next.csv"
    ctl sheet submit "$FOLDER/next.csv" >/dev/null
    sleep 0.5
  done
  submitted=$(date +%s.%N)
  wait_for 30 all_have $((CHANGES + 1))
  awk -v a="$submitted" -v b="$(date +%s.%N)" -v n="$n" 'BEGIN {printf "in force on all %d within %.1f s after the last change\n", n, b - a + 0.5}'
  since changes
  echo "mulberryctl shift status over $n VMs: $({ TIMEFORMAT=%R; time ctl shift status >/dev/null; } 2>&1) s"
  cluster_stop
done
