#!/usr/bin/env bash
# Guards against a response whose status is none, 000 for example, that callers get as an answer.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"

each good status-bare
each failed status-000 status-000-close status-099 status-101 status-101-upgrade status-600 status-999 \
  status-2000 status-20 status-200x status-sign status-none status-http2 status-http0
check_all
# 599 is a status, though none with a name.
own() { [ "$STATUS" = 599 ] && [ "$IS_WHOLE" = 1 ] || WRONG+="$ID: $STATUS, not 599"$'\n'; }
each own status-599
check_all
echo "good: $N responses"
