#!/usr/bin/env bash
# Guards against answers that wait, up to their time limit, for the memory of the uploads that
# they would end.
set -euo pipefail
BUILD=$1
SOURCE=$2
BODY_MEMORY_MB=16 # 12 MiB for large bodies; UPLOADS fit into it, and leave no room for an answer
UPLOADS=6
UPLOAD_BYTES=2090000
ADMITTED=4 # what half of the memory holds
LIMIT_MSEC=6000
TIMEOUT=7s
source "$SOURCE/test/functional/fleet.sh"
fleet_start
head -c $UPLOAD_BYTES /dev/zero >"$FOLDER/upload"

# upload ID: its status to FOLDER/ID.status.
upload() {
  curl -s -m 10 -o "$FOLDER/$1.answer" -w '%{http_code}' -H 'Host: a.example' -H "Request-Id: $1" \
    -H "Deadline-Ms: $LIMIT_MSEC" -H 'Expect:' --data-binary "@$FOLDER/upload" \
    "http://$(router_address 1):$REQUESTS_PORT/x/slow-large" >"$FOLDER/$1.status" || true
}

for round in 1 2 3; do
  uploading=()
  for n in $(seq $UPLOADS); do
    upload "up-$round-$n" &
    uploading+=($!)
  done
  wait "${uploading[@]}"
  n_answered=0
  for n in $(seq $UPLOADS); do
    id=up-$round-$n
    runs=$(grep -c "^$id " "$FOLDER/runs" || true)
    case "$(cat "$FOLDER/$id.status") $runs" in
      '200 1') n_answered=$((n_answered + 1)) ;;
      '503 0') ;;
      *) fail "$id: status $(cat "$FOLDER/$id.status"), run $runs times" ;;
    esac
  done
  [ $n_answered -ge $ADMITTED ] || fail "round $round: only $n_answered of $UPLOADS were answered"
  echo "round $round: $n_answered of $UPLOADS answered, the others refused and not run"
done
upload alone
[ "$(cat "$FOLDER/alone.status")" = 200 ] || fail "afterwards an upload is told $(cat "$FOLDER/alone.status")"
