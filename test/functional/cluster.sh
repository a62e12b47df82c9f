# Shell functions that run one organisation's processes on loopback; sourced
# by functional tests and the demo.  The caller sets:
#   BUILD, SOURCE   build and source folders
#   ORG             consortium or cooperative
#   NET             second byte of all addresses (127.NET.x.y); empty: any free one
#   FOLDER          an empty folder for settings, keys, data and logs

set -euo pipefail
source "$SOURCE/test/functional/addresses.sh"
declare -A PIDS=()

# Settings, sheet and keys, with the example's addresses moved to 127.NET.
cluster_prepare() {
  [ -n "$NET" ] || addresses_hold
  mkdir -p "$FOLDER/keys" "$FOLDER/var"
  SETTINGS=$FOLDER/$ORG.yaml
  SHEET=$FOLDER/sheet.csv
  sed -E "s/127\.(10|20)\./127.$NET./" "$SOURCE/examples/$ORG.yaml" >"$SETTINGS"
  sed -E "s/127\.(10|20)\./127.$NET./" "$SOURCE/examples/$ORG-sheet.csv" >"$SHEET"
  [ -f "$FOLDER/keys/peer.key" ] || (
    umask 077
    od -An -N32 -tx1 /dev/urandom | tr -d ' \n' >"$FOLDER/keys/peer.key"
  )
  cluster_operator "$(sed -nE 's/^shift,,,operator,,(.*)$/\1/p' "$SHEET")"
  VMS=$(sed -nE 's/.*\{name: ([^,]*), failure_domain.*/\1/p' "$SETTINGS")
  CONTROL_VMS=$(sed -nE 's/.*\{name: ([^,]*), failure_domain.*control: true.*/\1/p' "$SETTINGS")
  DOMAINS=$(sed -nE 's/.*\{name: ([^,]*), region: .*/\1/p' "$SETTINGS")
  ADMINS=$(for vm in $CONTROL_VMS; do echo "$(vm_address "$vm"):8081"; done)
}

# No request may take longer than MS, so that an entry VM that was restarted
# admits again after that time.
short_deadlines() { # MS
  awk -v max="$1" '
    match($0, /deadline_(max_)?ms: [0-9]+/) {
      split(substr($0, RSTART, RLENGTH), field, ": ")
      if (field[2] > max)
        $0 = substr($0, 1, RSTART - 1) field[1] ": " max substr($0, RSTART + RLENGTH)
    }
    { print }' "$SETTINGS" >"$SETTINGS.short"
  mv "$SETTINGS.short" "$SETTINGS"
}

# A key for operator NAME, in control's list and in the operator's own file.
cluster_operator() (
  umask 077
  [ -f "$FOLDER/operator.key" ] && return
  echo "$1 $(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')" >"$FOLDER/operator.key"
  cp "$FOLDER/operator.key" "$FOLDER/keys/operators"
)

# mulberryctl as that operator.
ctl() { "$BUILD/mulberryctl" -s "$SETTINGS" "$@"; }

vm_address() {
  sed -nE "s/.*\{name: $1, failure_domain.*address: ([0-9.]*).*/\1/p" "$SETTINGS"
}

# start NAME PROGRAM ARGS...: run in the background; what control and entry
# processes write, their logs, goes to FOLDER/NAME.log; of others only standard
# error, and the rest to FOLDER/NAME.out.
start() {
  local name=$1 out="$FOLDER/$1.out"
  case $name in control-*|entry-*) out="$FOLDER/$name.log" ;; esac
  shift
  "$@" >>"$out" 2>>"$FOLDER/$name.log" &
  PIDS[$name]=$!
}

start_control() { start "control-$1" "$BUILD/mulberry-control" -s "$SETTINGS" -v "$1"; }
start_entry() { start "entry-$1" "$BUILD/mulberry-entry" -s "$SETTINGS" -v "$1"; }

# One fake backend server process for each failure domain.
start_backends() {
  local domain=$1 row args=()
  while IFS=, read -r record service place name address _; do
    [ "$record" = backend ] && [ "$place" = "$domain" ] || continue
    local slots
    slots=$(sed -nE "s/.*\{name: $service, .*slots: ([0-9]+).*/\1/p" "$SETTINGS")
    args+=(--backend "$name,$service,${address%:*},${address#*:},$slots")
  done <"$SHEET"
  start "backends-$domain" "$BUILD/test/fake-backend" "${args[@]}" \
    --journal "$FOLDER/journal-$domain" --service-time-us "${SERVICE_TIME_US:-2000}"
}

cluster_start() {
  local vm domain
  for domain in $DOMAINS; do start_backends "$domain"; done
  for vm in $CONTROL_VMS; do start_control "$vm"; done
  for vm in $VMS; do start_entry "$vm"; done
  cluster_runs
}

# Whether all processes that were started still run; one whose address is taken
# has ended by then.
cluster_runs() {
  local name
  sleep 0.3
  for name in "${!PIDS[@]}"; do
    kill -0 "${PIDS[$name]}" 2>/dev/null && continue
    echo "$name did not start" >&2
    tail -2 "$FOLDER/$name.log" >&2
    return 1
  done
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "never came true: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

# kill_one SIGNAL NAME
kill_one() {
  kill "-$1" "${PIDS[$2]}"
  if [ "$1" = KILL ]; then
    wait "${PIDS[$2]}" 2>/dev/null || true
    unset "PIDS[$2]"
  fi
}

# Stop NAME with SIGTERM and pass on its exit code.
stop_one() {
  local pid=${PIDS[$1]}
  unset "PIDS[$1]"
  kill -TERM "$pid" 2>/dev/null || true # it may have had the signal already
  wait "$pid"
}

# Stop all that runs; fails where one did not end cleanly.
cluster_stop() {
  local name code failed=0
  for name in "${!PIDS[@]}"; do
    case $name in entry-*) kill -TERM "${PIDS[$name]}" 2>/dev/null || true ;; esac
  done
  for name in $(printf '%s\n' "${!PIDS[@]}" | sort -r); do
    code=0
    stop_one "$name" || code=$?
    [ $code -ne 0 ] || continue
    echo "$name did not stop cleanly: exit code $code; the end of its log:" >&2
    tail -n 60 "$FOLDER/$name.log" >&2 || true
    failed=1
  done
  return $failed
}

# For an EXIT trap: nothing that was started is left behind.
cluster_kill() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

sheet_in_force_on() {
  grep -q "event=sheet_in_force number=$2" "$FOLDER/entry-$1.log"
}
