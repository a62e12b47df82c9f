#!/usr/bin/env bash
# Guards against uploads that are broken off, also at a planned stop, since their backend
# server pauses while it reads, and against answers that are dropped with the upload.
set -euo pipefail
BUILD=$1
SOURCE=$2
GRACE=8s
TIMEOUT=20s
source "$SOURCE/test/functional/response_ends.sh"
UPLOADS=4
UPLOAD_BYTES=8000000
head -c $UPLOAD_BYTES /dev/zero >"$FOLDER/upload"

# upload ROUTER NAME ID: its status to FOLDER/ID.status, the answer to FOLDER/ID.answer.
upload() {
  curl -s -m 20 -o "$FOLDER/$3.answer" -w '%{http_code}' -H 'Host: a.example' -H "Request-Id: $3" \
    -H 'Deadline-Ms: 20000' -H 'Expect:' --data-binary "@$FOLDER/upload" \
    "http://$(router_address "$1"):$REQUESTS_PORT/x/$2" >"$FOLDER/$3.status" || true
}

# uploads ROUTER NAME: UPLOADS at once; sets UPLOADING, their processes.
uploads() {
  local n
  UPLOADING=()
  for n in $(seq $UPLOADS); do
    upload "$1" "$2" "$2-$n" &
    UPLOADING+=($!)
  done
}

# Every upload of NAME was answered, with its own answer, and ran once.
check() {
  local n id
  for n in $(seq $UPLOADS); do
    id=$1-$n
    [ "$(cat "$FOLDER/$id.status")" = 200 ] || fail "$id: status $(cat "$FOLDER/$id.status")"
    body_of "$id" | cmp -s - "$FOLDER/$id.answer" || fail "$id: not its own answer"
    [ "$(grep -c "^$id " "$FOLDER/runs")" = 1 ] || fail "$id did not run once"
  done
}

uploads 2 answers-early
wait "${UPLOADING[@]}"
check answers-early
told() { grep -q 'event=upload_abandoned' "$FOLDER/router-2.log"; }
wait_for 5 told
each good length

uploads 1 reads-late
sleep 0.5
kill -TERM "${PIDS[router-1]}"
wait "${UPLOADING[@]}"
wait "${PIDS[router-1]}" || fail 'a router did not stop cleanly'
unset 'PIDS[router-1]'
check reads-late
check_all
echo "good: $UPLOADS uploads of each kind"
