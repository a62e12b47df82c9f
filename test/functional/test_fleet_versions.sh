#!/usr/bin/env bash
# Guards against directors and routers of two builds that do not understand each other while VMs are replaced.
#
# PRODUCTION, or `production` of deploy/system.toml, names the commit of the other build.  It is built from this
# repository's history and kept in BUILD.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/fleet.sh"
PRODUCTION=${PRODUCTION:-$(sed -n 's/^production *= *"\([0-9a-f]*\)".*/\1/p' "$SOURCE/deploy/system.toml")}
[ -n "$PRODUCTION" ] || fail 'deploy/system.toml names no production'
EARLIER=$BUILD/production-$PRODUCTION
NOT_UNDERSTOOD='event=\(share\|routers\|backends\|crashes\)_not_understood\|event=message_refused'

build_earlier() {
  [ -x "$EARLIER/mulberry-director" ] && [ -x "$EARLIER/mulberry-router" ] && return
  git clone -q --no-checkout "$SOURCE" "$FOLDER/history"
  git -C "$FOLDER/history" checkout -q "$PRODUCTION" ||
    fail "the history has no commit $PRODUCTION: fetch all of it"
  cmake -S "$FOLDER/history" -B "$EARLIER" -DCMAKE_BUILD_TYPE=Release -DMULBERRY_TESTS=OFF >"$FOLDER/build.log" 2>&1 &&
    cmake --build "$EARLIER" -j 6 --target mulberry-router mulberry-director >>"$FOLDER/build.log" 2>&1 ||
    fail "commit $PRODUCTION can't be built: $(tail -n 3 "$FOLDER/build.log")"
}

VERSION=5
SENT=0
REFUSED=0
# One configuration, at any director: it is sent again until it is accepted.
put_next() {
  local i
  VERSION=$((VERSION + 1))
  SENT=$((SENT + 1))
  for i in {1..15}; do
    AT=$((i % 3 + 1)) put "$(two_routes "$(printf %08x $VERSION)")" && return
    sleep 0.2
  done
  REFUSED=$((REFUSED + 1))
}

# replace KIND NUMBER: in order, by the build in PROGRAMS.
replace() {
  end_all "$1-$2"
  start_vm "$1" "$2"
  sleep 0.5
  [ "$1" = director ] || wait_for 10 ready "$2"
  put_next
}

# The states in which two builds run beside each other; a server names a limit and one returns cold.
replace_all() {
  local i
  echo 'north-a-0 20' >"$FOLDER/limited"
  for i in 1 2 3; do replace director $i; done
  for i in 1 2 3; do
    replace router $i
    [ $i != 2 ] || request 2 /p/restart "g-restart-$SECONDS" >/dev/null || true
  done
  rm "$FOLDER/limited"
}

newest() { [ "$(AT=$1 order GET /Config.Get)" = 200 ] && grep -q "\"version\":\"$(printf %08x $VERSION)\"" "$FOLDER/body"; }

build_earlier
start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" 0 "${DOMAINS[@]}"
PROGRAMS=$EARLIER
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
wait_for 15 put "$(two_routes 00000005)"
FIRST_START=false
for i in 1 2 3; do wait_for 10 served $i; done
CALLERS=()
for n in {1..3}; do
  "$BUILD/test/fake-caller" --ends "plain" --again 20 "$n" "$FOLDER/enough" "$NET".2.{1,2,3}:$REQUESTS_PORT >"$FOLDER/told-$n" &
  CALLERS+=($!)
  PIDS[caller-$n]=$!
done

PROGRAMS=$BUILD
replace_all
show=$("$BUILD/mulberryctl" fleet show "$(director_address 1):$OPERATORS_PORT" 2>&1) || true
PROGRAMS=$EARLIER
replace_all
put_next
for i in 1 2 3; do wait_for 10 newest $i; done
touch "$FOLDER/enough"
wait "${CALLERS[@]}"
sleep 0.7 # longer than a run
cat "$FOLDER"/told-* >"$FOLDER/told"
awk -v name=versions -f "$SOURCE/test/functional/check_tries.awk" "$FOLDER/runs" "$FOLDER/told" ||
  fail 'a request was told as not run and ran, or ran twice'
awk '$2 == 200 { n++ } END { exit n < 200 }' "$FOLDER/told" || fail 'too few were answered'
[ $REFUSED = 0 ] || fail "$REFUSED of $SENT configurations were not accepted"
n=$(cat "$FOLDER"/director-*.log "$FOLDER"/router-*.log | grep -c "$NOT_UNDERSTOOD" || true)
[ "$n" = 0 ] || fail "$n messages were not understood: $(grep -h "$NOT_UNDERSTOOD" "$FOLDER"/*.log | head -n 3)"
echo "$show" | grep -q 'FORM' || fail "fleet show tells no forms: $show"
echo "good: $SENT configurations"
