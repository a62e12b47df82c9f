#!/usr/bin/env bash
# A shift's spend stays under its cap, summed over what backend servers really
# started, while entry VMs are killed and come back with empty memory.
# test_cost_cap.sh BUILD SOURCE
BUILD=$1 SOURCE=$2 ORG=consortium NET=${NET:-}
FOLDER=$(mktemp -d)
. "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT
CAP=10 # yen: about 2,000 requests

cluster_prepare
short_deadlines 3000
sed -i "s/^shift,,,cost_cap,,.*/shift,,,cost_cap,,$CAP/; /^shift,,,expected_requests/d" "$SHEET"
cluster_start
wait_for 10 ctl sheet submit "$SHEET"
number=$(sed -nE 's/^shift,,,number,,//p' "$SHEET")
for vm in $VMS; do wait_for 10 sheet_in_force_on "$vm" "$number"; done

entries=()
for vm in $VMS; do entries+=(--entry "$(vm_address "$vm"):8080"); done
load() { # SEED
  timeout 60 "$BUILD/bench/bench-load" "${entries[@]}" --seed "$1" --connections 16 \
    --service songfind:GET:search:1500 --service dedicate:POST:dedication:500 >>"$FOLDER/load"
}

# What was started, by the region's price for 1,000: thousandths of a yen.
spent() {
  local total=0 region price count
  while IFS=, read -r region price; do
    count=$(cat "$FOLDER"/journal-"$region"-* | grep -c '^start ' || true)
    total=$((total + count * price))
  done < <(sed -nE 's/^price,,([^,]*),,,(.*)$/\1,\2/p' "$SHEET")
  echo "$total"
}

# Load until the cap lets nothing through; entry VMs are killed on the way.
KILL_ROUNDS=3 ROUNDS_MAX=20
for round in $(seq $ROUNDS_MAX); do
  if [ "$round" -le $KILL_ROUNDS ]; then
    for vm in sapporo-1b asahikawa-2a; do
      kill_one KILL "entry-$vm"
      start_entry "$vm"
      wait_for 10 curl -sf "http://$(vm_address "$vm"):9090/health"
    done
  fi
  before=$(spent)
  load "$round" || { cat "$FOLDER/load"; exit 1; }
  [ "$round" -le $KILL_ROUNDS ] || [ "$(spent)" -gt "$before" ] || break
done
cat "$FOLDER/load"
total=$(spent)
echo "spent $total of $((CAP * 1000)) thousandths"
[ "$total" -le $((CAP * 1000)) ] || { echo "over the cap" >&2; exit 1; }
# Little may be stranded: what six killed entry VMs and the last steps held.
[ "$total" -ge $((CAP * 500)) ] || { echo "less than half was usable" >&2; exit 1; }
refused=$(curl -s "http://$(vm_address sapporo-1a):8080/s/songfind/item" -H 'X-Request-Id: last')
case $refused in
*cost_cap*) ;;
*) echo "not refused for the cap: $refused" >&2; exit 1 ;;
esac
cluster_stop
