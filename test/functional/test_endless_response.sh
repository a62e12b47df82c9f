#!/usr/bin/env bash
# Guards against an entry VM or mulberryctl whose memory fills, or whose other callers get no
# answer, while a faulty endpoint sends heads, bodies or trailers without end.
set -euo pipefail
BUILD=$1
SOURCE=$2
ORG=consortium
NET=${NET:-}
FOLDER=$(mktemp -d)
source "$SOURCE/test/functional/cluster.sh"
source "$SOURCE/test/functional/endless.sh"
trap 'cluster_kill; rm -rf "$FOLDER"' EXIT
AT_ONCE=6              # requests that get such a response
OTHERS=6               # requests to another service beside them, at once
CTL_KIB=$((1024 * 1024)) # memory of mulberryctl, so that this machine's is safe

# The sanitizers reserve far more address space than they use, so they bound what is used.
limit_memory() {
  if [ -e "$BUILD/test/libfault-shim.so" ]; then ulimit -v $CTL_KIB; else export ASAN_OPTIONS=$ASAN_OPTIONS:hard_rss_limit_mb=$((CTL_KIB / 1024)); fi
}

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

cluster_prepare
short_deadlines 2000
NUMBER=$(sed -nE 's/^shift,,,number,,(.*)$/\1/p' "$SHEET")
SERVICE_TIME_US=1000

# The backend servers of songfind send what the path says.
grep -v '^backend,songfind,' "$SHEET" >"$FOLDER/others.csv"
n=0
for address in $(sed -nE 's/^backend,songfind,[^,]*,[^,]*,([^,]*),.*/\1/p' "$SHEET"); do
  n=$((n + 1))
  start "raw-$n" "$BUILD/test/fake-raw-backend" "${address%:*}" "${address#*:}" 1 "$FOLDER"
done
WHOLE=$SHEET
SHEET=$FOLDER/others.csv # start_backends reads it
cluster_start
SHEET=$WHOLE
submitted() { ctl sheet submit -k "$FOLDER/operator.key" "$SHEET"; }
wait_for 20 submitted
for vm in $VMS; do wait_for 20 sheet_in_force_on "$vm" "$NUMBER"; done
sleep 2.5 # the quiet time of the owners of slots

set -- $VMS
ENTRY=entry-$1
HERE=$(vm_address "$1"):8080

ask() { # NAME: its status goes to FOLDER/NAME.told
  curl -s -m 5 -o /dev/null -w '%{http_code}\n' "http://$HERE/s/songfind/$1?caller=c" >>"$FOLDER/$1.told" || true
}
other() { # NAME: its milliseconds go to FOLDER/NAME
  local told
  told=$(curl -s -m 5 -o /dev/null -w '%{http_code} %{time_total}' "http://$HERE/s/queueboard/q?caller=o") || true
  [ "${told% *}" = 200 ] || { echo "beside $1 another caller was told $told" >&2; return 1; }
  awk -v seconds="${told#* }" 'BEGIN { printf "%d\n", seconds * 1000 }' >>"$FOLDER/$1"
}
good() { [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$HERE/s/songfind/length?caller=c")" = 200 ]; }
wait_for 10 good

for name in $ENDLESS_HEADS $ENDLESS_OTHER $ENDLESS_BODIES $ENDLESS_CHUNKS $STALLED_HEADS; do
  asking=()
  others=()
  for ((i = 0; i < AT_ONCE; i++)); do ask "$name" & asking+=($!); done
  sleep 0.1
  for ((i = 0; i < OTHERS; i++)); do other "$name" & others+=($!); done
  for pid in "${others[@]}"; do wait "$pid" || fail "beside $name another caller was not answered"; done
  wait "${asking[@]}"
  check_peak "$name" "$ENTRY"
  [ "$name" = endless-after ] || ! grep -q 200 "$FOLDER/$name.told" || fail "$name was told as 200"
  echo "$name: told $(sort "$FOLDER/$name.told" | uniq -c | tr -s ' \n' ' '); others $(sort -n "$FOLDER/$name" | tr '\n' ' ')ms; entry $(peak_kib "$ENTRY") KiB"
done
wait_for 20 good
cluster_stop
PIDS=()

# mulberryctl, of a VM whose pages and answers have no end.
rm -f "$FOLDER/endless"
VM=$(vm_address "$1")
ctl_peak() { # ARGS...: the most memory that mulberryctl had
  local pid peak=0 now
  (limit_memory && exec "$BUILD/mulberryctl" -s "$SETTINGS" -t 2 -k "$FOLDER/operator.key" "$@") >"$FOLDER/ctl.out" 2>&1 &
  pid=$!
  while now=$(awk '$1 == "VmHWM:" { print $2; found = 1 } END { exit !found }' "/proc/$pid/status" 2>/dev/null); do
    peak=$now
    sleep 0.02
  done
  wait "$pid" || true
  echo "$peak"
}
for name in endless-fields endless-informational endless-body endless-trailers; do
  for port in 9090 8081; do
    start "ctl-$port" "$BUILD/test/fake-raw-backend" "$VM" $port 1 "$FOLDER" "$name"
  done
  sleep 0.2
  for command in 'metrics' 'shift list'; do
    peak=$(ctl_peak $command)
    [ "$peak" -lt $VM_KIB ] || fail "mulberryctl $command, $name: it had $peak KiB of $VM_KIB"
    echo "mulberryctl $command, $name: $peak KiB"
  done
  begun "$name" || fail "mulberryctl did not ask the faulty VM"
  for port in 9090 8081; do kill_one KILL "ctl-$port"; done
done
echo passed
