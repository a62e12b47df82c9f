#!/usr/bin/env bash
# The administration API through real processes: credentials, sheets,
# resends, conflicts, drains, garbage; and mulberryctl's exit codes.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# expect CODE COMMAND...: the command ends with CODE; its output is kept.
expect() {
  local want=$1 got=0
  shift
  "$@" >"$FOLDER/output" 2>&1 || got=$?
  [ "$got" = "$want" ] || { cat "$FOLDER/output"; fail "exit code $got, not $want: $*"; }
}

output_has() { grep -q -- "$1" "$FOLDER/output" || { cat "$FOLDER/output"; fail "no '$1'"; }; }

# counter NAME: its sum over all labels on the first control VM.
counter() {
  curl -s "http://$FIRST:9091/metrics" | awk -v name="$1" \
    '$1 ~ "^" name "([{]|$)" { sum += $2 } END { print sum + 0 }'
}

cluster_prepare
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
set -- $CONTROL_VMS
FIRST_VM=$1
FIRST=$(vm_address "$FIRST_VM")

# A key file that others may read is refused, on both sides.
chmod 644 "$FOLDER/keys/operators"
expect 1 "$BUILD/mulberry-control" -s "$SETTINGS" -v "$FIRST_VM"
output_has 'chmod 600'
chmod 600 "$FOLDER/keys/operators"
chmod 640 "$FOLDER/operator.key"
expect 6 ctl sheet submit "$SHEET"
output_has 'chmod 600'
chmod 600 "$FOLDER/operator.key"

# No control VM at all.
expect 5 ctl -t 1 sheet submit "$SHEET"
expect 2 ctl sheet submit
expect 2 ctl no such command

for vm in $CONTROL_VMS; do start_control "$vm"; done
for vm in $CONTROL_VMS; do wait_for 10 curl -sf "http://$(vm_address "$vm"):9091/health"; done
expect 1 ctl check
output_has 'no sheet has been accepted'

# A sheet: checked, accepted, sent again, shown as it was.
expect 0 ctl sheet check "$SHEET"
output_has 'whole shift'
# The replies are compared whole; the text form also names the VM that replied.
expect 0 ctl -o json -v "$FIRST_VM" sheet submit "$SHEET"
output_has "\"number\": *$NUMBER"
cp "$FOLDER/output" "$FOLDER/first"
expect 0 ctl -o json -v "$FIRST_VM" sheet submit "$SHEET"
cmp "$FOLDER/first" "$FOLDER/output" || fail 'a resend got another answer'
expect 0 ctl -v "$FIRST_VM" sheet submit "$SHEET"
output_has "accepted: sheet $NUMBER"
expect 0 ctl -v "$FIRST_VM" sheet show
cmp "$FOLDER/output" "$SHEET" || fail 'another sheet is shown'

# Equal number and other content; a number that has passed; a bad row; the
# name of another operator.
sed 's/cost_cap,,\([0-9]*\)/cost_cap,,1\1/' "$SHEET" >"$FOLDER/other.csv"
expect 4 ctl -v "$FIRST_VM" sheet submit "$FOLDER/other.csv"
sed "s/number,,$NUMBER/number,,1/" "$SHEET" >"$FOLDER/old.csv"
expect 4 ctl -v "$FIRST_VM" sheet submit "$FOLDER/old.csv"
sed "s/,serving$/,singing/; s/number,,$NUMBER/number,,$((NUMBER + 1))/" "$SHEET" >"$FOLDER/bad.csv"
expect 3 ctl -v "$FIRST_VM" sheet submit "$FOLDER/bad.csv"
output_has "column value: unknown state 'singing'"
expect 3 ctl sheet check "$FOLDER/bad.csv"
sed "s/operator,,.*/operator,,somebody/; s/number,,$NUMBER/number,,$((NUMBER + 1))/" "$SHEET" >"$FOLDER/name.csv"
expect 6 ctl -v "$FIRST_VM" sheet submit "$FOLDER/name.csv"

# A drain is the next sheet.
BACKEND=$(sed -nE '0,/^backend/s/^backend,[^,]*,[^,]*,([^,]*),.*/\1/p' "$SHEET")
expect 0 ctl -v "$FIRST_VM" backend drain "$BACKEND"
expect 0 ctl -v "$FIRST_VM" backend list
output_has "$BACKEND .*leaving"
expect 0 ctl -v "$FIRST_VM" shift list
output_has "sheet $((NUMBER + 1)) "
expect 2 ctl -v "$FIRST_VM" backend drain nobody

# Nobody is let in without a right signature.
echo "stranger $(head -c 32 /dev/zero | od -An -v -tx1 | tr -d ' \n')" >"$FOLDER/stranger"
chmod 600 "$FOLDER/stranger"
expect 6 ctl -v "$FIRST_VM" -k "$FOLDER/stranger" sheet show
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://$FIRST:8081/v1/sheet")" = 401 ] || fail 'let in unsigned'
[ "$(curl -s -o /dev/null -w '%{http_code}' -d x "http://$FIRST:8081/v1/sheet")" = 401 ] || fail 'let in unsigned'
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Mulberry-HMAC-SHA256 operator=a' "http://$FIRST:8081/v1/status")" = 401 ] || fail 'let in garbage'
# mulberryctl signs a refused request anew twice: 3 of its own and 3 of curl.
[ "$(counter mulberry_admin_refused_total)" = 6 ] || fail "$(counter mulberry_admin_refused_total) refusals were counted, not 6"
wait_for 10 grep -q 'event=admin_request operator=[a-z.]* from=.* number='"$NUMBER" "$FOLDER/control-$FIRST_VM.log" || fail 'who did it was not logged'

# Garbage bytes end their connection; the process goes on.
head -c 65536 /dev/urandom | timeout 5 bash -c "cat >/dev/tcp/$FIRST/8081" || true
head -c 65536 /dev/urandom | timeout 5 bash -c "cat >/dev/tcp/$FIRST/9091" || true
expect 0 ctl -v "$FIRST_VM" sheet show
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://$FIRST:9091/secret")" = 404 ] || fail 'no 404'

# With entry VMs: in force on those that run, and never told of the others.
for vm in $VMS; do [ "$vm" = "$FIRST_VM" ] || start_entry "$vm"; done
in_force_on() { ctl shift status >"$FOLDER/status" || true; grep -q "in force on $1 of 9 VMs" "$FOLDER/status"; }
wait_for 20 in_force_on 8 || { cat "$FOLDER/status"; fail "in force"; }
expect 1 ctl -o json shift status
output_has '"in_force_everywhere": false'
expect 1 ctl check
output_has "mulberry-entry on $FIRST_VM: can't be reached"
start_entry "$FIRST_VM"
wait_for 20 in_force_on 9
expect 0 ctl shift status
output_has 'everywhere'
curl -s "http://$FIRST:8080/v1/lookup?service=songfind&block=1" >/dev/null
expect 0 ctl metrics
output_has 'mulberry_lookups_total 1'
output_has 'mulberry_request_usec organisation=consortium service=songfind class=search'
stop_one "entry-$FIRST_VM" || fail 'the entry VM did not stop cleanly'

# Merged metrics tell of the entry VMs that don't run.
expect 1 ctl metrics
output_has 'mulberry_sheets_total reason=accepted 4'
output_has 'is missing in these figures'
expect 0 ctl vm list
cluster_stop || fail 'a process did not stop cleanly'
echo good
