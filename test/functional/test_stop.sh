#!/usr/bin/env bash
# Planned stops of entry VMs under load cut and refuse no request.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=cooperative
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

cluster_prepare
short_deadlines 2000
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
SERVICE_TIME_US=2000
cluster_start
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done
sleep 2.5 # the quiet time of the owners of slots

ENTRIES=()
for vm in $VMS; do ENTRIES+=(--entry "$(vm_address "$vm"):8080"); done
start load timeout 40 "$BUILD/bench/bench-load" "${ENTRIES[@]}" \
  --service kalendar:GET:read:1000000 --service rezervacie:POST:booking:1000000 \
  --rate 800 --connections 64 --duration 9 --deadline-ms 1500 --journal "$FOLDER/told"
LOAD=${PIDS[load]}
sleep 1
set -- $VMS
for vm in "$1" "$5"; do
  stop_one "entry-$vm"
  start_entry "$vm"
  sleep 0.5
done
unset 'PIDS[load]'
wait "$LOAD" || { cat "$FOLDER/load.out" "$FOLDER/load.log" >&2; exit 1; }
cat "$FOLDER/load.out"
cluster_stop
awk -f "$SOURCE/test/functional/check_journals.awk" "$FOLDER"/journal-* "$FOLDER/told"
if grep -q 'outcome=unknown' "$FOLDER/told"; then
  echo "a planned stop cut a request" >&2
  awk '/outcome=unknown/ && n++ < 10' "$FOLDER/told" >&2
  exit 1
fi
# A look-up that no entry VM took was no request yet.
refused=$(awk '/outcome=not-run/ && !/reason=no_lookup/' "$FOLDER/told")
if [ -n "$refused" ]; then
  echo "a planned stop refused $(wc -l <<<"$refused") requests" >&2
  sed -n '1,10p' <<<"$refused" >&2
  exit 1
fi
