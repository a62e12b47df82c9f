#!/usr/bin/env bash
# Look-ups in the table, and over HTTP through one entry VM of a system with
# 400 of them, against a bare handler: bench/lookup.sh BUILD SOURCE
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=45
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
source "$SOURCE/bench/scale_settings.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

scale_prepare 400 18 64 384
for vm in $CONTROL_VMS; do start_control "$vm"; done
start_entry vm-0
for vm in $CONTROL_VMS; do wait_for 20 curl -sf "http://$(vm_address "$vm"):9091/health"; done
ctl sheet submit "$SHEET"
wait_for 20 sheet_in_force_on vm-0 1
"$BUILD/bench/bench-lookup" "$(vm_address vm-0):8080" '/v1/lookup?service=songfind&block=10.20.30'
pid=${PIDS[entry-vm-0]}
echo "entry VM: $(awk '/VmRSS/ {print $2}' "/proc/$pid/status") KiB resident with 400 VMs, 384 backend servers"
cluster_stop
