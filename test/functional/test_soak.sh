#!/usr/bin/env bash
# A short run of the soak; by hand it takes longer and goes over many seeds.
set -euo pipefail
exec bash "$2/test/soak/soak.sh" "$1" "$2" 5 8
