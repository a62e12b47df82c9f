#!/usr/bin/env bash
# Load while entry VMs and backend servers are killed, frozen, restarted and
# stopped on a seeded schedule; then the journals of what ran are compared with
# what callers were told.  SECONDS_OF_LOAD and SEED change its length and
# schedule.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
SEED=${SEED:-1}
LOAD_SECONDS=${SECONDS_OF_LOAD:-12}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; [ -n "${KEEP_LOGS:-}" ] && cp -r "$FOLDER" "$KEEP_LOGS"; rm -rf "$FOLDER"' EXIT

cluster_prepare
short_deadlines 2000
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
SERVICE_TIME_US=2000
cluster_start

admin_answers() { curl -s -m 2 -o "$FOLDER/probe" "http://${ADMINS%% *}/"; }
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done
# The quiet time of the owners of slots.
sleep 2.5

ENTRIES=()
for vm in $VMS; do ENTRIES+=(--entry "$(vm_address "$vm"):8080"); done
start load timeout $((LOAD_SECONDS + 30)) "$BUILD/bench/bench-load" "${ENTRIES[@]}" \
  --service queueboard:GET:host-read:1000000 --service dedicate:POST:dedication:1000000 \
  --service songfind:GET:search:1000000 --rate 1500 --connections 128 --duration "$LOAD_SECONDS" \
  --deadline-ms 1500 --resend 3 --seed "$SEED" --journal "$FOLDER/told"
LOAD=${PIDS[load]}

RANDOM=$SEED
pick() { local items=("$@"); echo "${items[RANDOM % ${#items[@]}]}"; }
END=$((SECONDS + LOAD_SECONDS - 3))
while [ $SECONDS -lt $END ]; do
  vm=$(pick $VMS)
  domain=$(pick $DOMAINS)
  fault=$((RANDOM % 5))
  case $fault in
    0) echo "kill entry $vm"
       kill_one KILL "entry-$vm"
       sleep 0.3
       start_entry "$vm" ;;
    1) echo "freeze entry $vm"
       kill_one STOP "entry-$vm"
       sleep 1.2
       kill_one CONT "entry-$vm" ;;
    2) echo "kill backend servers of $domain"
       kill_one KILL "backends-$domain"
       sleep 0.2
       start_backends "$domain" ;;
    3) echo "freeze backend servers of $domain"
       kill_one STOP "backends-$domain"
       sleep 1
       kill_one CONT "backends-$domain" ;;
    4) echo "stop entry $vm"
       stop_one "entry-$vm"
       start_entry "$vm" ;;
  esac
  sleep 0.3
done

unset 'PIDS[load]'
wait "$LOAD" || { echo "bench-load failed" >&2; cat "$FOLDER/load.out" "$FOLDER/load.log" >&2; exit 1; }
cat "$FOLDER/load.out"
cluster_stop
[ -z "${KEEP:-}" ] || cp "$FOLDER/told" "$FOLDER"/journal-* "$KEEP"
awk -f "$SOURCE/test/functional/check_journals.awk" "$FOLDER"/journal-* "$FOLDER/told"
