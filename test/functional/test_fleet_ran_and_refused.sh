#!/usr/bin/env bash
# Guards against a request that a backend server ran and that its caller is told has not run.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"

ran() { grep -q "^$ID " "$FOLDER/runs"; }

# 408, 421, 429 and 503 promise that it has not run and never will.
no_promise() {
  case $STATUS in
    408 | 421 | 429 | 503) ! ran || WRONG+="$ID: told $STATUS, and ran"$'\n' ;;
  esac
}

# A response of a backend server that promises nothing is passed on as it is, without the field
# that its status contradicts.  One that was not passed on did not reach a backend server.
passed_on() {
  local status=${ID#ran-}
  no_promise
  [ "$STATUS" = "${status%%-*}" ] && [ "$IS_WHOLE" = 1 ] || { [ "$STATUS" = 503 ] && ! ran; } ||
    WRONG+="$ID: $STATUS, whole $IS_WHOLE"$'\n'
  ! grep -qi '^Not-Executed:' "$FOLDER/head.text" || WRONG+="$ID: told the field"$'\n'
}

all() {
  ROUNDS=5 each no_promise ran-408 ran-421 ran-429 ran-503
  ROUNDS=5 each passed_on ran-200-stated ran-404-stated ran-500-stated ran-504-stated
}

all
# No response was one of a run that is known: the estimates of the router's first request hold.
estimates() { sed -n 's/.*event=request_sent id=ran-.* \(run_ms=[0-9]* fresh_run_ms=[0-9]*\) .*/\1/p' "$FOLDER/router-$1.log" | sort -u; }
for i in 1 2 3; do
  [ "$(estimates $i | wc -l)" = 1 ] || fail "router $i estimates run times from contradictions: $(estimates $i)"
done
check_all
# A request that may run again gets the same answers: its caller, too, is told no promise.
wait_for 15 put "$(config 00000006 idempotent /x/)"
in_force() { logged 'event=config_in_force version=6' router-1 && logged 'event=config_in_force version=6' router-2 &&
  logged 'event=config_in_force version=6' router-3; }
wait_for 10 in_force
all
[ -z "$WRONG" ] || fail "$(echo "$WRONG" | sed '/^$/d' | wc -l) of $N, idempotent: $WRONG"
# A backend server that limits one caller does not use up the retries of others; one that has no room is retried.
! logged 'event=request_sent id=ran-\(408\|429\)-.* try=2' router-1 router-2 router-3 ||
  fail '408 or 429 was sent to another backend server'
asked_503() { ROUNDS=3 each no_promise ran-503 && logged 'event=request_sent id=ran-503-.* try=2' router-1 router-2 router-3; }
wait_for 15 asked_503
[ -z "$WRONG" ] || fail "of $N, idempotent: $WRONG"
# The fault itself can be found in the logs.
! logged 'event=request_ended .* status=\(408\|421\|429\|503\) may_have_run=1' router-1 router-2 router-3 ||
  fail 'a request that may have run ended with a promise'
echo "good: $N responses"
