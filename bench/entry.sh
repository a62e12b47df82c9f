#!/usr/bin/env bash
# What an entry VM adds: the same requests sent straight to the fake backend
# servers of one failure domain and through the cluster, then requests a second
# through one entry VM.  bench/entry.sh BUILD SOURCE
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-43}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

cluster_prepare
short_deadlines 2000
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
SERVICE_TIME_US=${SERVICE_TIME_US:-0}
cluster_start
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done
sleep 2.5

backends() { # SERVICE
  while IFS=, read -r record service _ _ address _; do
    [ "$record" = backend ] && [ "$service" = "$1" ] && echo "--direct $address"
  done <"$SHEET"
  true
}
entries() { for vm in $VMS; do echo "--entry $(vm_address "$vm"):8080"; done; }
load() { timeout 60 "$BUILD/bench/bench-load" "$@"; }
rows() { grep -E 'GET|POST|total'; }

for rate in 500 2000; do
  echo "== $rate requests a second, 24 callers"
  echo "direct, reads"
  load $(backends songfind) -s songfind:GET:search:$((rate * 5)) -r $rate -c 24 -w 2 | rows
  echo "direct, dedications"
  load $(backends dedicate) -s dedicate:POST:dedication:$((rate * 5)) -r $rate -c 24 -w 2 | rows
  echo "through the entry VMs, reads"
  load $(entries) -s songfind:GET:search:$((rate * 5)) -r $rate -c 24 -w 2 | rows
  echo "through the entry VMs, dedications"
  load $(entries) -s dedicate:POST:dedication:$((rate * 5)) -r $rate -c 24 -w 2 | rows
done
set -- $VMS
echo "== closed loop through one entry VM's own backend servers and its peers"
load --entry "$(vm_address "$1"):8080" -s songfind:GET:search:40000 -c 16 | rows
echo "== closed loop, direct"
load $(backends songfind) -s songfind:GET:search:40000 -c 16 | rows
