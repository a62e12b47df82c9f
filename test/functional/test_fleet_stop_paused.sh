#!/usr/bin/env bash
# Guards against requests that are cut by a planned stop during which the process did not
# run for a while, also where much had arrived by then.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet_stop.sh"

stop_with 3000 2700
STEP_MSEC=25 # more than is read in 50 ms
stop_with 3000 2500
echo 'good: planned stops'
