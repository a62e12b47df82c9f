#!/usr/bin/env bash
# The replicated log apart from the network (bench-agreement), then how long an
# accepted sheet takes to be in force on every entry VM, and what the control
# plane sends and uses meanwhile: bench/agreement.sh BUILD SOURCE [CHANGES]
set -euo pipefail
BUILD=$1
SOURCE=$2
CHANGES=${3:-60}
ORG=consortium
NET=${NET:-43}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

IDLE_SECONDS=10
SEQUENTIAL=200

mkdir "$FOLDER/disk"
"$BUILD/bench/bench-agreement" "$FOLDER/disk"

# counters PORT NAME: the counter's sum over the VMs given by address.
counters() {
  local port=$1 name=$2 address
  shift 2
  for address in "$@"; do
    curl -s "http://$address:$port/metrics" || true
  done | awk -v name="$name" '$1 ~ "^" name "([{]|$)" { sum += $NF } END { print sum + 0 }'
}

bytes() { counters 9091 mulberry_rpc_out_bytes_total "${CONTROLS[@]}"; }
entry_bytes() { counters 9090 mulberry_rpc_out_bytes_total "${ENTRIES[@]}"; }
submitted() { ctl -t 10 sheet submit "$FOLDER/next.csv" >/dev/null; }

CONTROLS=()
ENTRIES=()
cluster_prepare
for vm in $CONTROL_VMS; do start_control "$vm"; CONTROLS+=("$(vm_address "$vm")"); done
for vm in $VMS; do start_entry "$vm"; ENTRIES+=("$(vm_address "$vm")"); done
wait_for 10 ctl -t 1 sheet submit "$SHEET"
sleep 3

FROM=$(bytes) FROM_ENTRY=$(entry_bytes)
sleep $IDLE_SECONDS
echo "idle control_out_bytes_s_vm=$((($(bytes) - FROM) / IDLE_SECONDS / ${#CONTROLS[@]}))" \
  "entry_out_bytes_s_vm=$((($(entry_bytes) - FROM_ENTRY) / IDLE_SECONDS / ${#ENTRIES[@]}))"

NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
FROM=$(bytes) FROM_ENTRY=$(entry_bytes) START=$SECONDS
for i in $(seq "$CHANGES"); do
  sed -E "s/number,,[0-9]+/number,,$((NUMBER + i))/" "$SHEET" >"$FOLDER/next.csv"
  sleep "0.$((i * 37 % 90 + 10))"
  submitted
done
sleep 2
TOOK=$((SECONDS - START))
echo "changing changes=$CHANGES seconds=$TOOK control_out_bytes_s_vm=$((($(bytes) - FROM) / TOOK / ${#CONTROLS[@]}))" \
  "entry_out_bytes_s_vm=$((($(entry_bytes) - FROM_ENTRY) / TOOK / ${#ENTRIES[@]}))"

# One mulberryctl after the other; each is a process, a signature and a sync.
FIRST=$(date +%s%N)
for i in $(seq $((CHANGES + 1)) $((CHANGES + SEQUENTIAL))); do
  sed -E "s/number,,[0-9]+/number,,$((NUMBER + i))/" "$SHEET" >"$FOLDER/next.csv"
  submitted
done
echo "sequential submissions=$SEQUENTIAL each_us=$((($(date +%s%N) - FIRST) / SEQUENTIAL / 1000))"

# The first replica that applied a number, and each entry VM's time after it.
grep -h 'event=sheet_applied' "$FOLDER"/control-*.log |
  sed -nE 's/^time=[^T]*T([0-9:.]*)Z.*event=sheet_applied number=([0-9]+).*/\2 \1/p' |
  sort -k1,1 -k2,2 | sort -u -k1,1 >"$FOLDER/applied"
grep -h 'event=sheet_in_force' "$FOLDER"/entry-*.log |
  sed -nE 's/^time=[^T]*T([0-9:.]*)Z.*event=sheet_in_force number=([0-9]+).*/\2 \1/p' |
  awk -v last=$((NUMBER + CHANGES)) '$1 <= last' | sort -k1,1 >"$FOLDER/in-force"
join "$FOLDER/applied" "$FOLDER/in-force" |
  awk 'function s(t, p) { split(t, p, ":"); return p[1] * 3600 + p[2] * 60 + p[3] } { print int((s($3) - s($2)) * 1000) }' |
  sort -n | awk '{ a[NR] = $1 } END { print "in_force n=" NR " p50_ms=" a[int(NR * .5)] " p99_ms=" a[int(NR * .99)] " max_ms=" a[NR] }'
for vm in $CONTROL_VMS; do
  pid=${PIDS[control-$vm]}
  echo "control vm=$vm $(awk '/VmHWM/ { print "peak_kb=" $2 }' "/proc/$pid/status") cpu_ticks=$(awk '{ print $14 + $15 }' "/proc/$pid/stat")"
done
cluster_stop
