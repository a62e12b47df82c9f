# What endpoints that send without end do to the memory of a process.  Source it with
# FOLDER and PIDS set.

# Memory of a small VM, in KiB: body_memory_mb (64) leaves room for the rest of a router
# on it (src/settings/fleet_settings.h).
VM_KIB=$((160 * 1024))

# The sanitizers keep what was freed, 256 MB of it; here little of that counts as memory.
[ -e "$BUILD/test/libfault-shim.so" ] || export ASAN_OPTIONS=quarantine_size_mb=1

# Responses without end; each ends by itself (test/fakes/raw_backend_endless.c).
ENDLESS_HEADS='endless-reason endless-field endless-name endless-fields endless-folded endless-informational'
ENDLESS_OTHER='endless-bytes endless-lines endless-other-body endless-others'
ENDLESS_BODIES='endless-body endless-length endless-after'
ENDLESS_CHUNKS='endless-chunks endless-small-chunks endless-size endless-extension endless-trailer endless-trailers'
STALLED_HEADS='stalled-field stalled-fields'

# The most memory that the process NAME has had, in KiB; fails if it has ended.
peak_kib() {
  awk '$1 == "VmHWM:" { print $2; found = 1 } END { exit !found }' "/proc/${PIDS[$1]}/status"
}

# check_peak WHAT NAME...: each of these runs, and has never held more than its VM has.
check_peak() {
  local what=$1 name peak
  shift
  for name in "$@"; do
    peak=$(peak_kib "$name") || fail "$what: $name has ended"
    [ "$peak" -lt $VM_KIB ] || fail "$what: $name had $peak KiB of $VM_KIB"
  done
}

# How many responses NAME were begun.
n_begun() { grep -c "^$1 " "$FOLDER/endless" 2>/dev/null || true; }
begun() { [ "$(n_begun "$1")" -gt 0 ]; }
