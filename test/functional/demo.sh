#!/usr/bin/env bash
# Run one organisation: 9 entry VMs, 5 control processes, fake backend servers;
# submit the sheet, send requests of every class, print what became of them.
# demo.sh BUILD SOURCE ORG [COUNT]; exits non-zero where an answer was wrong,
# short or another caller's, or where something did not stop cleanly.
BUILD=$(realpath "$1") SOURCE=$(realpath "$2") ORG=$3 COUNT=${4:-2000}
case $ORG in
consortium) NET=${NET:-10} ;;
cooperative) NET=${NET:-20} ;;
*)
  echo "ORG must be consortium or cooperative" >&2
  exit 2
  ;;
esac
FOLDER=$(mktemp -d)
. "$SOURCE/test/functional/cluster.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT

cluster_prepare
cluster_start
wait_for 10 ctl sheet submit "$SHEET"
ctl sheet submit "$SHEET" # a resend gets the same answer
number=$(sed -nE 's/^shift,,,number,,//p' "$SHEET")
for vm in $VMS; do wait_for 10 sheet_in_force_on "$vm" "$number"; done
echo "sheet $number is in force on all entry VMs"

# An entry VM that has just started admits nothing until what it may have sent
# before is surely over.
all_serve() {
  local vm service
  for vm in $VMS; do
    for service in $(sed -nE 's/.*\{name: ([^,]*), class: .*/\1/p' "$SETTINGS"); do
      curl -sf "http://$(vm_address "$vm"):8080/s/$service/item" -H 'X-Request-Id: probe' -o "$FOLDER/probe"
    done
  done
}
wait_for 20 all_serve

# Reads and writes as the settings list the services: the second one writes.
args=()
for vm in $VMS; do args+=(--entry "$(vm_address "$vm"):8080"); done
services=$(sed -nE 's/.*\{name: ([^,]*), class: ([^,]*), .*/\1,\2/p' "$SETTINGS")
while IFS=, read -r service class; do
  case $service in
  dedicate | rezervacie) method=POST ;;
  *) method=GET ;;
  esac
  args+=(--service "$service:$method:$class:$COUNT")
done <<<"$services"
echo "organisation: $ORG"
result=0
"$BUILD/bench/bench-load" "${args[@]}" --connections 24 --resend 2 --bytes 4096 || result=1
violations=$(cat "$FOLDER"/journal-* | grep -c '^violation' || true)
if [ "$violations" -gt 0 ]; then
  echo "requests sent over a backend server's slots or connections: $violations" >&2
  result=1
fi
cluster_stop || result=1
exit $result
