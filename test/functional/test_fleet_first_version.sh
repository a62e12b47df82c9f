#!/usr/bin/env bash
# Guards against a first configuration that is acknowledged and not kept: version 00000000, which
# stands for none.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; done

put_gets() { [ "$(order POST /Config.Put "$2")" = "$1" ]; }
newest_is() { [ "$(order GET /Config.Get)" = 200 ] && grep -q "\"version\":\"$1\"" "$FOLDER/body"; }

for AT in 1 2 3; do
  wait_for 15 put_gets 400 "$(config 00000000 idempotent /x/)"
  grep -q '00000001' "$FOLDER/body" || fail "the refusal does not say which version to begin with: $(cat "$FOLDER/body")"
  [ "$(order GET /Config.Get)" = 503 ] || fail 'a configuration that was refused is told'
done
echo 'good: refused with a reason'

# Where a configuration is stored, an older version is acknowledged and changes nothing.
wait_for 15 put_gets 200 "$(config 00000001 idempotent /x/)"
for AT in 1 2 3; do
  [ "$(order POST /Config.Put "$(config 00000000 idempotent /y/)")" = 200 ] || fail 'an older version was not acknowledged'
  wait_for 5 newest_is 00000001
done
echo 'good: acknowledged'
