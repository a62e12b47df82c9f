#!/usr/bin/env bash
# Guards against a backend server that is flooded because it started again, cold, under its old id,
# while no director is in reach, so that each router knows just what it has seen itself.
set -euo pipefail
PAUSE_SECONDS=6 exec bash "$2/test/functional/test_fleet_cold_flood.sh" "$1" "$2"
