#!/usr/bin/env bash
# Guards against a response whose length, or the size of a chunk, can't be read, and that is
# passed on up to where a part of it says.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"

each good length chunks same-length-twice chunks-trailer chunks-extension chunks-small
each failed length-list length-letter length-sign length-huge length-blank length-folded \
  lengths-differ length-and-chunks other-encoding
each failed chunk-0x chunk-0x-text chunk-letter chunk-sign chunk-blank chunk-huge chunks-1.0 chunks-status
check_all
# A log line tells that a length, or the chunks, could not be read.
ROUTERS='router-1 router-2 router-3'
wait_for 10 logged 'event=backend_answered id=length-list-.* framing=invalid' $ROUTERS
for name in chunk-0x chunk-0x-text chunk-letter chunks-status; do
  wait_for 10 logged "event=backend_answered id=$name-.* framing=invalid .*end=rejected" $ROUTERS
done
echo "good: $N responses"
