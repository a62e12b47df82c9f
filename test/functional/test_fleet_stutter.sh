#!/usr/bin/env bash
# Guards against requests that fail because their backend server has answered an earlier
# request on the connection twice, and against such a server being left out.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/stutter.sh"

# none_failed NAME KIND
none_failed() {
  load "$1" "$2"
  check_told "$1" "$2"
  [ "$N_FAILED" = 0 ] || WRONG+="$1, $2: $N_FAILED of $N_TOLD were not served: $(grep -v '^200' "$FOLDER/told" | head -n 3)"$'\n'
}

# The ids of requests that were sent on a kept connection after their router had seen that
# the backend server answers twice.
on_kept_connections() {
  awk '
    FNR == 1 { delete stutters; delete sent }
    { delete field; for (i = 1; i <= NF; i++) { at = index($i, "="); field[substr($i, 1, at - 1)] = substr($i, at + 1) } }
    field["event"] == "backend_stutters" { stutters[field["backend"]] = 1 }
    field["event"] == "backend_stutter_ended" { delete stutters[field["backend"]] }
    field["event"] == "request_sent" && field["backend"] in stutters { sent[field["id"]] = 1 }
    field["event"] == "backend_answered" && field["id"] in sent && field["reused"] == 1 { print field["id"] }
  ' "$FOLDER"/router-*.log
}

none_failed twice-late non_idempotent
EACH=50
none_failed twice-before non_idempotent
none_failed twice-at-once non_idempotent

put "$(config 00000006 idempotent /x/)" || fail 'the configuration was refused'
in_force() {
  local i
  for i in 1 2 3; do grep -q 'event=config_in_force .*version=6' "$FOLDER/router-$i.log" || return 1; done
}
wait_for 10 in_force
EACH=167
none_failed twice-late idempotent

[ -z "$WRONG" ] || fail "$WRONG"
# A log line tells that a backend server answers twice.
wait_for 10 logged 'event=backend_stutters .*seen=' router-1 router-2 router-3
kept=$(on_kept_connections)
[ -z "$kept" ] || fail "sent on a kept connection to a backend server that answers twice:" $kept
end_all router-1 router-2 router-3
! grep -h 'event=backend_probed' "$FOLDER"/router-*.log || fail 'a backend server was left out for it'
echo good
