# Control VMs that agree on sheets.  Source it with BUILD and SOURCE set; it starts the
# control VMs and the entry VMs, and leaves FOLDER and N, the last sheet's number.

ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
LOOP=
trap '[ -z "$LOOP" ] || kill "$LOOP" 2>/dev/null || true; cluster_kill; rm -rf "$FOLDER"' EXIT

SUBMISSIONS=${SUBMISSIONS:-300}

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# sheet_with NUMBER [CAP]: a sheet file with that number.
sheet_with() {
  sed -E "s/number,,[0-9]+/number,,$1/; s/cost_cap,,([0-9]+)/cost_cap,,${2:-}\1/" \
    "$SHEET" >"$FOLDER/sheet-$1${2:+-$2}.csv"
  echo "$FOLDER/sheet-$1${2:+-$2}.csv"
}

# The answer without the VM that gave it.
submit() { ctl -t 30 sheet submit "$(sheet_with "$1")" | sed 's/, by .*//' >"$FOLDER/answer-$1"; }

leader() {
  { ctl -o json -t 5 shift status 2>/dev/null || true; } | sed -nE 's/.*"leader": *"([^"]+)".*/\1/p' | head -1
}

has_leader() { [ -n "$(leader)" ]; }

# Its exit code tells whether the sheet is in force everywhere.
status_of() { ctl -o json -t 2 -v "$1" shift status 2>/dev/null || true; }

# votes VM: it leads or follows with a vote of its own.  Another VM's answer
# does not count.
votes() {
  status_of "$1" | tr -d ' \n' | grep -Eq "\"vm\":\"$1\",\"role\":\"(leader|follower)\""
}

in_force_everywhere() {
  local vm
  for vm in $VMS; do sheet_in_force_on "$vm" "$1" || return 1; done
}

# No entry VM ever put a lower number in force than it had, in any life.
never_back() {
  local vm
  for vm in $VMS; do
    sed -nE 's/.*event=sheet_in_force number=([0-9]+).*/\1/p' "$FOLDER/entry-$vm.log" |
      sort -n -c || fail "$vm went back"
  done
}

wipe() {
  kill_one KILL "control-$1"
  rm -rf "$FOLDER/var/$1"
  start_control "$1"
}

cluster_prepare
for vm in $CONTROL_VMS; do start_control "$vm"; done
for vm in $VMS; do start_entry "$vm"; done
wait_for 10 has_leader
N=1000
