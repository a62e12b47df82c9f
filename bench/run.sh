#!/usr/bin/env bash
# Run all load and experiment tools with their default arguments, one after
# the other: bench/run.sh BUILD SOURCE.  A tool bench-NAME that needs other
# processes has a bench/NAME.sh, which is run in its place.
set -uo pipefail
BUILD=$(realpath "$1")
SOURCE=$(realpath "$2")
BOUND_SECONDS=300
failed=0

for program in "$BUILD"/bench/bench-*; do
  [ -f "$program" ] && [ -x "$program" ] || continue
  name=${program##*/bench-}
  command=("$program")
  script=$SOURCE/bench/${name//-/_}.sh
  [ -f "$script" ] && command=(bash "$script" "$BUILD" "$SOURCE")
  echo "== $name: ${command[*]}"
  if ! timeout --kill-after=10 "$BOUND_SECONDS" "${command[@]}"; then
    echo "== $name FAILED or took over $BOUND_SECONDS s" >&2
    failed=1
  fi
done
exit $failed
