#!/usr/bin/env bash
# A short run of the soak; by hand it takes longer and goes over many seeds.
set -euo pipefail
export SOAK_DRAIN_SLACK=5000
exec bash "$2/test/soak/soak.sh" "$1" "$2" 5 8
