#!/usr/bin/env bash
# Look-ups in the table, and over HTTP through one entry VM against a bare
# handler: bench/lookup.sh BUILD SOURCE.  Once with 9 entry VMs that all run, as
# today, and once with 400 of which one runs.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=45
TOP=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
source "$SOURCE/bench/scale_settings.sh"
trap 'cluster_kill; rm -rf "$TOP"' EXIT

# through VMS REGIONS DOMAINS RUNNING: measure vm-0 while RUNNING VMs run.
through() {
  local vm pid
  FOLDER=$TOP/$1
  mkdir "$FOLDER"
  scale_prepare "$1" "$2" "$3" 384
  echo "== $1 entry VMs, $4 running"
  for vm in $CONTROL_VMS; do start_control "$vm"; done
  for vm in $(seq -f 'vm-%g' 0 $(($4 - 1))); do start_entry "$vm"; done
  for vm in $CONTROL_VMS; do wait_for 20 curl -sf "http://$(vm_address "$vm"):9091/health"; done
  ctl sheet submit "$SHEET"
  wait_for 20 sheet_in_force_on vm-0 1
  sleep 2
  "$BUILD/bench/bench-lookup" "$(vm_address vm-0):8080" '/v1/lookup?service=songfind&block=10.20.30'
  pid=${PIDS[entry-vm-0]}
  echo "entry VM: $(awk '/VmRSS/ {print $2}' "/proc/$pid/status") KiB resident"
  cluster_stop
}

through 9 3 6 9
through 400 18 64 1
