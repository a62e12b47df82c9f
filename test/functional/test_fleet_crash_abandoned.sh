#!/usr/bin/env bash
# Guards against a request that ends its backend servers and is sent on because its callers leave
# before the end, or because its calls reach their time limit before it.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
source "$SOURCE/test/functional/crash_load.sh"

fleet_start
LEAVES=0.5 try left 1 0.5 800 16
LEAVES=0.3 try left-many 6 0.3 1400 12
DEADLINE_MSEC=700 try expired 2 0.5 1000 12
[ -z "$FAULTS" ] || fail "$FAULTS"
echo 'good: a request that ends its backend servers after its callers have left'
