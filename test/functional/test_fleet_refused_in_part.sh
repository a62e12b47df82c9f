#!/usr/bin/env bash
# Guards against "not run" that is taken from where it is not stated of the whole request: from
# trailers, an informational head, a part of a response, one of two backend servers.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"

ran() { grep -q "^$ID " "$FOLDER/runs"; }

# 502, or the backend server's 500; 503 if none ran it.
no_promise() {
  case $STATUS in
    502) ;;
    500) [ "${ID%%-*}" = failed ] || WRONG+="$ID: 500"$'\n' ;;
    503) ! ran || WRONG+="$ID: told 503, and ran"$'\n' ;;
    *) WRONG+="$ID: $STATUS"$'\n' ;;
  esac
}

# twice NAME: ask until such a request has reached two backend servers, as the retry budget allows.
reached_two() { logged "event=request_sent id=$1-.* try=2" router-1 router-2 router-3; }
asked_twice() { ROUNDS=3 each no_promise "$1" && reached_two "$1"; }
twice() { wait_for 15 asked_twice "$1"; }

parts() {
  each no_promise trailer-503 hints-503 folded-503 named-503 other-id-503 cut-503
}

# A HEAD has no body; its head states as much as that of a GET.
head_only() {
  ask "$1" "$ID" --head
  no_promise
}

each no_promise ran-then-refused failed-then-refused reset-then-refused
twice refused-then-ran
parts
check_all
for name in ran-408 ran-421 ran-429 ran-503; do
  N=$((N + 1))
  ID=head-$name-$N
  head_only $name
done
# A backend server that wants nothing for a while rests, whether it states "not run" or not.
rests_ran() { ROUNDS=1 each no_promise rests-503 && ran; }
wait_for 10 rests_ran
check_all
wait_for 5 logged "event=backend_resting id=$ID " "router-$((N % 3 + 1))"
wait_for 15 put "$(config 00000006 idempotent /x/)"
in_force() { logged 'event=config_in_force version=6' router-1 && logged 'event=config_in_force version=6' router-2 &&
  logged 'event=config_in_force version=6' router-3; }
wait_for 10 in_force
for name in refused-then-ran ran-then-refused failed-then-refused reset-then-refused; do twice $name; done
parts
[ -z "$WRONG" ] || fail "idempotent, of $N: $WRONG"
echo "good: $N responses"
