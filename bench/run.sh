#!/usr/bin/env bash
# Run all load and experiment tools with their default arguments, one after
# the other: bench/run.sh BUILD SOURCE.  bench/NAME.sh runs real processes; a
# program bench-NAME without such a script runs by itself.
set -uo pipefail
BUILD=$(realpath "$1")
SOURCE=$(realpath "$2")
BOUND_SECONDS=300
failed=0

bench() { # NAME COMMAND...
  local name=$1
  shift
  echo "== $name: $*"
  if ! timeout --kill-after=10 "$BOUND_SECONDS" "$@"; then
    echo "== $name FAILED or took over $BOUND_SECONDS s" >&2
    failed=1
  fi
}

for program in "$BUILD"/bench/bench-*; do
  name=${program##*/bench-}
  # The scripts' own tool needs their processes.
  [ "$name" = load ] && continue
  [ -f "$SOURCE/bench/$name.sh" ] || bench "$name" "$program"
done
for script in agreement capacity entry lookup overload; do
  bench "$script" bash "$SOURCE/bench/$script.sh" "$BUILD" "$SOURCE"
done
exit $failed
