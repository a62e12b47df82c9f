#!/usr/bin/env bash
# Guards against requests that are taken during a planned stop and cut, without an answer
# or while their backend server is at work.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet_stop.sh"

stop_with 2000
stop_with 6000
echo 'good: planned stops'
