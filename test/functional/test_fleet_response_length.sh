#!/usr/bin/env bash
# Guards against a response whose length can't be read, and that is passed on up to where
# a part of the length says.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"

each good length chunks same-length-twice
each failed length-list length-letter length-sign length-huge length-blank length-folded \
  lengths-differ length-and-chunks other-encoding
check_all
grep -q 'event=backend_answered id=length-list-.* framing=invalid' "$FOLDER"/router-*.log ||
  fail 'no log line tells that a length could not be read'
echo "good: $N responses"
