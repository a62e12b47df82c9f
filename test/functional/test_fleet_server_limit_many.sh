#!/usr/bin/env bash
# Guards against a limit that holds for a few routers and not for many: each sends too little to one
# backend server to be told at once.
set -euo pipefail
N_ROUTERS=40 exec bash "$2/test/functional/test_fleet_server_limit.sh" "$1" "$2"
