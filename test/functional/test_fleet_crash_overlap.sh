#!/usr/bin/env bash
# Guards against a request that ends its backend servers and is sent on for as long as its runs
# overlap: many callers send it at once, each end comes late in its run, and others run beside it.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
source "$SOURCE/test/functional/crash_load.sh"

fleet_start
try few 3 1 1400 12
try many 12 0.1 1400 10
try late 12 0.1 3000 14
try timed 3 0.3 300-504 10
[ -z "$FAULTS" ] || fail "$FAULTS"
echo 'good: a request that ends its backend servers, sent by many at once'
