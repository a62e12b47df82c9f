#!/usr/bin/env bash
# Build the stand-ins of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for program in platform client order; do
  cc -std=gnu11 -O2 -Wall -Wextra -Wno-format-truncation -D_GNU_SOURCE -pthread -o "bin/standin-$program" \
    "standin/standin_$program.c" standin/io.c
done
