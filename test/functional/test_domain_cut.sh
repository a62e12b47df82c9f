#!/usr/bin/env bash
# A failure domain is cut off by relays that swallow what passes: both ways and
# each way.  Inside it callers are still served, reads and non-idempotent
# requests alike; outside they are too; what callers are told stays true on
# both sides, also for requests that were under way when it was cut.
# test_domain_cut.sh BUILD SOURCE
BUILD=$1 SOURCE=$2 ORG=consortium NET=${NET:-}
FOLDER=$(mktemp -d)
. "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT
CUT=hakodate-2a # the only entry VM of its failure domain
CALLER=8080 ENTRY_PEER=7070 CONTROL_PEER=7071

cluster_prepare
short_deadlines 2000
number=$(sed -nE 's/^shift,,,number,,//p' "$SHEET")

# Each side reaches the other by relays alone: its settings say so.
INSIDE=$FOLDER/inside.yaml OUTSIDE=$FOLDER/outside.yaml
cp "$SETTINGS" "$INSIDE"
cp "$SETTINGS" "$OUTSIDE"
routes=()
relay() { # PLACE ADDRESS: the ports of ADDRESS, at 127.NET.PLACE
  local port
  for port in $CALLER $ENTRY_PEER $CONTROL_PEER; do
    routes+=(--route "127.$NET.$1:$port,$2:$port")
  done
}
i=0
for vm in $VMS; do
  [ "$vm" = "$CUT" ] && continue
  i=$((i + 1))
  relay "9.$i" "$(vm_address "$vm")"
  sed -i -E "/name: $vm,/s/address: [0-9.]+/address: 127.$NET.9.$i/" "$INSIDE"
done
relay 8.1 "$(vm_address "$CUT")"
sed -i -E "/name: $CUT,/s/address: [0-9.]+/address: 127.$NET.8.1/" "$OUTSIDE"
echo pass >"$FOLDER/relay"

start relay "$BUILD/test/fake-relay" --control "$FOLDER/relay" "${routes[@]}"
for domain in $DOMAINS; do start_backends "$domain"; done
for vm in $CONTROL_VMS; do start "control-$vm" "$BUILD/mulberry-control" -s "$OUTSIDE" -v "$vm"; done
outside=()
for vm in $VMS; do
  side=$OUTSIDE
  [ "$vm" = "$CUT" ] && side=$INSIDE || outside+=(--entry "$(vm_address "$vm"):$CALLER")
  start "entry-$vm" "$BUILD/mulberry-entry" -s "$side" -v "$vm"
done
cluster_runs
wait_for 10 ctl sheet submit "$SHEET"
for vm in $VMS; do wait_for 10 sheet_in_force_on "$vm" "$number"; done
inside=(--entry "$(vm_address "$CUT"):$CALLER")

named() { # how many entry VMs a look-up inside names
  curl -sf "http://$(vm_address "$CUT"):$CALLER/v1/lookup?service=songfind&block=10.0.0.0" |
    grep -o "127\.[0-9.]*:$CALLER" | wc -l
}
alone() { [ "$(named)" -eq 1 ]; }
joined() { [ "$(named)" -gt 1 ]; }
serves() { curl -sf "http://$(vm_address "$1"):$CALLER/s/songfind/item?caller=probe" -o "$FOLDER/probe"; }
for vm in $VMS; do wait_for 10 serves "$vm"; done
wait_for 10 joined

seed=1
load() { # NAME READS WRITES ARGS...
  local name=$1 reads=$2 writes=$3
  shift 3
  seed=$((seed + 1))
  start "load-$name" timeout 60 "$BUILD/bench/bench-load" --service "songfind:GET:search:$reads" \
    --service "dedicate:POST:dedication:$writes" --seed $seed --resend 2 --deadline-ms 1500 \
    --journal "$FOLDER/told-$seed" "$@"
}
finish() { # NAME: wait for it, and show what it says
  local pid=${PIDS[load-$1]}
  unset "PIDS[load-$1]"
  wait "$pid" || { cat "$FOLDER/load-$1".*; return 1; }
}
# Each class that NAME sent was answered to 95% at least.
served() {
  awk '/^(songfind|dedicate) / { print FILENAME ": " $0; if ($5 < 0.95 * $4) bad = 1 } END { exit bad }' \
    "$FOLDER/load-$1.out" || { echo "$1: too few were answered" >&2; return 1; }
}

for way in drop drop-to drop-from; do
  # Under way when it is cut, and when it heals.
  load "across-$way" 100000 100000 "${inside[@]}" "${outside[@]}" --connections 32 --rate 400 --duration 7
  wait_for 10 grep -q '^start' "$FOLDER/journal-hakodate-2"
  echo "$way" >"$FOLDER/relay"
  wait_for 10 alone
  load "inside-$way" 300 150 "${inside[@]}" --connections 4
  load "outside-$way" 300 150 "${outside[@]}" --connections 8
  finish "inside-$way"
  finish "outside-$way"
  served "inside-$way"
  served "outside-$way"
  echo pass >"$FOLDER/relay"
  wait_for 10 joined
  finish "across-$way"
  cat "$FOLDER/load-across-$way.out"
done
cluster_stop
awk -f "$SOURCE/test/functional/check_journals.awk" "$FOLDER"/journal-* "$FOLDER"/told-*
