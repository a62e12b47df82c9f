#!/usr/bin/env bash
# A backend server that is drained gets nothing new after 3 s, though callers
# go on with cached look-ups, and the drain cuts and refuses no request.
# test_drain.sh BUILD SOURCE
BUILD=$1 SOURCE=$2 ORG=cooperative NET=${NET:-}
FOLDER=$(mktemp -d)
. "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT
LEAVE_SECONDS=3 LOAD_SECONDS=10

cluster_prepare
short_deadlines 2000
cluster_start
wait_for 10 ctl sheet submit "$SHEET"
number=$(sed -nE 's/^shift,,,number,,//p' "$SHEET")
for vm in $VMS; do wait_for 10 sheet_in_force_on "$vm" "$number"; done
entries=()
for vm in $VMS; do entries+=(--entry "$(vm_address "$vm"):8080"); done
warm() { curl -sf "http://$(vm_address "$1"):8080/s/kalendar/item" -H 'X-Request-Id: warm' -o "$FOLDER/warm"; }
for vm in $VMS; do wait_for 10 warm "$vm"; done

drained=kalendar-stred-1-1
starts() { cat "$FOLDER"/journal-* | grep -c "^start backend=$drained " || true; }
busy() { [ "$(starts)" -gt "$1" ]; }

timeout 60 "$BUILD/bench/bench-load" "${entries[@]}" --connections 24 --rate 1200 \
  --duration $LOAD_SECONDS --service kalendar:GET:read:9000 --service rezervacie:POST:booking:3000 \
  >"$FOLDER/load" &
load=$!
wait_for 10 busy 20 # the backend server has work
ctl backend drain $drained
sleep $LEAVE_SECONDS
after=$(starts)
if ! wait $load; then
  cat "$FOLDER/load"
  exit 1
fi
cat "$FOLDER/load"
end=$(starts)
echo "started on $drained: $after until $LEAVE_SECONDS s after the drain, $end in all"
[ "$end" -eq "$after" ] || { echo "new work after $LEAVE_SECONDS s" >&2; exit 1; }
others=$(cat "$FOLDER"/journal-* | grep -c '^start backend=kalendar-')
[ "$others" -gt $((2 * end)) ] || { echo "the load did not go on" >&2; exit 1; }
cut=$(cat "$FOLDER"/journal-* | grep "backend=$drained " | grep -c 'how=cut' || true)
[ "$cut" -eq 0 ] || { echo "$cut runs were cut" >&2; exit 1; }
awk '/^(kalendar|rezervacie) / { if ($6 != 0 || $7 != 0) exit 1 }' "$FOLDER/load" ||
  { echo "the drain refused a request" >&2; exit 1; }
cluster_stop
