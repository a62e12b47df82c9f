#!/usr/bin/env bash
# Guards against requests that are cut by a planned stop during which the process did not
# run for a while.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet_stop.sh"

stop_with 3000 2700
echo 'good: planned stops'
