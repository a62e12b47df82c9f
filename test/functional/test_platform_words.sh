#!/usr/bin/env bash
# The platform's words stand in platform/ alone (and in tests and stand-ins,
# which speak its protocol).
set -euo pipefail
SOURCE=$2
cd "$SOURCE"
words='Request-Id|Deadline-Ms|Server-Stamp|Expect-Instance|Not-Executed|Server-Load|Cold-Ms|Affinity-Key|Config\.(Put|Get)|Evacuations\.|traffic_split|route_kind|target_latency|home_regions|next_token|page_token|MULBERRYCHUTE_CONFIG'
# Header names that our own programs used before stand with an X- of ours.
if grep -rnE "(^|[^-])\b($words)" src bench | grep -vE 'X-Request-Id'; then
  echo "words of the platform stand outside platform/" >&2
  exit 1
fi
