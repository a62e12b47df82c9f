#!/usr/bin/env bash
# Guards against a response without a length that ended early, and that callers are told
# is whole.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"

each good length chunks close same-length-twice
each not_whole close-early close-empty
each failed reset-early length-early length-reset chunks-early
check_all
echo "good: $N responses"
