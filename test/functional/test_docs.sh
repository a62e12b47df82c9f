#!/usr/bin/env bash
# docs/ keeps up with the code: every log event, settings key, error kind and
# command stands in it, and every link leads to a file.
set -euo pipefail
BUILD=$1
SOURCE=$2
cd "$SOURCE"
failed=0

# missing WHAT PAGE WORD...: each word has to stand in the page.
missing() {
  local what=$1 page=$2 word
  shift 2
  for word in "$@"; do
    grep -qE "(^|[^a-z_])$word([^a-z_]|\$)" "$page" && continue
    echo "$page does not tell of the $what '$word'" >&2
    failed=1
  done
}

events=$(cat src/*/*.c | tr '\n' ' ' |
  grep -oE '(LOG_EVENT|log_error) ?\( *LOG_LEVEL_[A-Z]+, *"[a-z_]+"' |
  sed -E 's/.*"([a-z_]+)"/\1/' | sort -u)
missing 'log event' docs/OPERATIONS.md $events
keys=$(grep -oE '\{ "[a-z_]+", *YAML_FIELD_[A-Z0-9]+' src/settings/settings.c |
  grep -v YAML_FIELD_NODE | sed -E 's/.*"([a-z_]+)".*/\1/' | sort -u)
missing 'settings key' docs/OPERATIONS.md $keys
kinds=$(sed -nE 's/^      return "([a-z]+)";$/\1/p' src/base/error.c | grep -v none)
missing 'error kind' docs/OPERATIONS.md $kinds

reasons=$(sed -nE 's/^ *\[REASON_[A-Z_]+\] = "([a-z_]+)",$/\1/p' src/delivery/outcome.c | grep -v none)
missing 'reason' docs/API.md $reasons

# Each command has a page, and each page's options are those of its help.
"$BUILD/mulberryctl" --help | sed -nE 's/^  ([a-z]+( [a-z]+)?)( [A-Z]+)? {2,}.*/\1/p' | while read -r command; do
  page=docs/help/mulberryctl-${command// /-}.md
  [ -f "$page" ] || { echo "no page $page" >&2; exit 1; }
  for option in $("$BUILD/mulberryctl" $command --help | grep -oE -- '--[a-z]+' | sort -u); do
    case $option in --help | --usage | --version) continue ;; esac
    grep -q -- "$option" "$page" || { echo "$page lacks $option" >&2; exit 1; }
  done
done || failed=1

for page in README.md docs/*.md docs/*/*.md; do
  for link in $(grep -oE '\]\([^)#]+\)' "$page" | sed -E 's/\]\((.*)\)/\1/' | grep -v '^http' || true); do
    [ -e "$(dirname "$page")/$link" ] || { echo "$page: no file $link" >&2; failed=1; }
  done
done
exit $failed
